package org.merlinwood.proving.overhead;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.logging.LogManager;
import java.util.stream.Stream;
import org.merlinwood.configuration.inventory.InstanceRole;
import org.merlinwood.core.time.MillisClock;
import org.merlinwood.core.time.SystemMillisClock;
import org.merlinwood.proving.caller.CallerClient;
import org.merlinwood.proving.caller.CallerRequest;
import org.merlinwood.proving.caller.CallerResponse;
import org.merlinwood.proving.fleet.Entry;
import org.merlinwood.proving.fleet.Fleet;
import org.merlinwood.proving.fleet.FleetDocuments;
import org.merlinwood.proving.fleet.FleetPlan;
import org.merlinwood.proving.fleet.FleetPlan.PlainPool;
import org.merlinwood.proving.fleet.FleetProcess;
import org.merlinwood.proving.fleet.Sidecar;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/**
 * Main class of the overhead measurement. It measures plain look-ups directly at the stand-in and through entry and
 * sidecar, alternately within one run, and the time from start to ready. Prints one line of JSON for each.
 */
@Command(
        name = "overhead",
        description = "Measures what entry and sidecar add to a request, and the time from start to ready.",
        mixinStandardHelpOptions = true)
public final class OverheadMain implements Callable<Integer> {

    private static final int WARM_UP_REQUESTS = 400;
    private static final int REQUESTS_PER_SAMPLE = 20;
    private static final int SAMPLES = 60;
    private static final int STARTS = 5;
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final CallerRequest LOOK_UP =
            CallerRequest.plain(FleetDocuments.INSPECTOR_TOKEN, "GET", "/hydrants/H-17", "");

    private final MillisClock clock = SystemMillisClock.shared();

    /**
     * Runs the measurement.
     *
     * @param arguments command line options
     */
    public static void main(String[] arguments) {
        System.exit(new CommandLine(new OverheadMain()).execute(arguments));
    }

    @Override
    public Integer call() throws JsonProcessingException {
        LogManager.getLogManager().reset();
        try (Fleet fleet = Fleet.start(plan());
                CallerClient client = new CallerClient()) {
            for (OverheadLine line : measure(fleet, client)) {
                System.out.println(MAPPER.writeValueAsString(line));
            }
        }
        return 0;
    }

    private static FleetPlan plan() {
        return FleetPlan.builder()
                .entries(1)
                .engines(1, 1)
                .plainServices(List.of(new PlainPool(FleetDocuments.LEDGER, 1)))
                .build();
    }

    private List<OverheadLine> measure(Fleet fleet, CallerClient client) {
        Entry entry = fleet.entries().getFirst();
        Sidecar plain = fleet.sidecars(InstanceRole.PLAIN).getFirst();
        Sidecar decode = fleet.sidecars(InstanceRole.DECODE).getFirst();
        return Stream.concat(
                        lookUps(client, plain.upstream().address(), entry.callerAddress()),
                        Stream.of(
                                startToReady(fleet, "merlinwood-entry", entry.process(), entry.operatorAddress()),
                                startToReady(
                                        fleet,
                                        "merlinwood-sidecar, plain service",
                                        plain.process(),
                                        plain.operatorAddress()),
                                startToReady(
                                        fleet,
                                        "merlinwood-sidecar, engine",
                                        decode.process(),
                                        decode.operatorAddress())))
                .toList();
    }

    private Stream<OverheadLine> lookUps(CallerClient client, InetSocketAddress direct, InetSocketAddress through) {
        Samples directSamples = new Samples("plain look-up", "direct");
        Samples throughSamples = new Samples("plain look-up", "through");
        lookUp(client, direct, WARM_UP_REQUESTS);
        lookUp(client, through, WARM_UP_REQUESTS);
        for (int sample = 0; sample < SAMPLES; sample++) {
            directSamples.add(lookUp(client, direct, REQUESTS_PER_SAMPLE), REQUESTS_PER_SAMPLE);
            throughSamples.add(lookUp(client, through, REQUESTS_PER_SAMPLE), REQUESTS_PER_SAMPLE);
        }
        return Stream.of(directSamples.line(), throughSamples.line());
    }

    private long lookUp(CallerClient client, InetSocketAddress address, int requests) {
        long startMillis = clock.monotonicMillis();
        for (int call = 0; call < requests; call++) {
            CallerResponse response = client.response(address, LOOK_UP);
            if (!response.isOk()) {
                throw new IllegalStateException("a look-up failed: " + response);
            }
        }
        return clock.monotonicMillis() - startMillis;
    }

    private OverheadLine startToReady(Fleet fleet, String name, FleetProcess process, InetSocketAddress operator) {
        Samples samples = new Samples("start to ready", name);
        for (int start = 0; start < STARTS; start++) {
            process.kill();
            long startMillis = clock.monotonicMillis();
            process.start();
            fleet.awaitReady(process, operator);
            samples.add(clock.monotonicMillis() - startMillis, 1);
        }
        return samples.line();
    }
}
