package org.merlinwood.proving.demo;

import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.logging.LogManager;
import org.merlinwood.proving.caller.CallerClient;
import org.merlinwood.proving.caller.CallerResponse;
import org.merlinwood.proving.fleet.Fleet;
import org.merlinwood.proving.fleet.FleetDocuments;
import org.merlinwood.proving.fleet.FleetPlan;
import org.merlinwood.proving.fleet.FleetPlan.PlainPool;
import org.merlinwood.standin.network.Addresses;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Main class of the demo. The exit status is 0 only if every request got the expected response. */
@Command(
        name = "demo",
        description = "Starts a whole fleet on the loopback interface and sends requests of both deployments.",
        mixinStandardHelpOptions = true)
public final class DemoMain implements Callable<Integer> {

    private static final int FAILED_STATUS = 1;
    private static final int LINE_BREAK = '\n';

    @Option(names = "--keep", description = "Leaves the fleet running until Enter or a signal.")
    private boolean keep;

    private final PrintStream output = System.out;

    /**
     * Runs the demo.
     *
     * @param arguments command line options
     */
    public static void main(String[] arguments) {
        System.exit(new CommandLine(new DemoMain()).execute(arguments));
    }

    @Override
    public Integer call() throws IOException, InterruptedException {
        quietLogs();
        output.println("starting stand-ins, entries and sidecars");
        try (Fleet fleet = Fleet.start(plan());
                CallerClient client = new CallerClient()) {
            return keep ? keepRunning(fleet) : sendAll(fleet, client);
        } catch (IllegalStateException exception) {
            output.println(exception.getMessage());
            output.println("demo: 0 answered, 1 failed");
            return FAILED_STATUS;
        }
    }

    private static FleetPlan plan() {
        return FleetPlan.builder()
                .entries(2)
                .engines(2, 2)
                .plainServices(
                        List.of(new PlainPool(FleetDocuments.LEDGER, 2), new PlainPool(FleetDocuments.PORTAL, 1)))
                .build();
    }

    private int sendAll(Fleet fleet, CallerClient client) {
        List<InetSocketAddress> entries =
                fleet.entries().stream().map(entry -> entry.callerAddress()).toList();
        int answered = 0;
        int failed = 0;
        for (DemoRequest request : new DemoScript(fleet, client).requests(entries.getFirst())) {
            int number = (answered + failed) % entries.size();
            CallerResponse response = client.response(entries.get(number), request.request());
            Optional<String> fault = DemoScript.fault(request, response);
            answered += fault.isEmpty() ? 1 : 0;
            failed += fault.isEmpty() ? 0 : 1;
            print(request, fleet.entries().get(number).process().name(), response, fault);
        }
        output.printf("demo: %d answered, %d failed%n", answered, failed);
        return failed == 0 ? 0 : FAILED_STATUS;
    }

    private void print(DemoRequest request, String entry, CallerResponse response, Optional<String> fault) {
        output.printf(
                "%-10s %-20s %s  status %d  code %s  first token %s  whole %d ms%s  %s%n",
                request.deployment(),
                request.description(),
                entry,
                response.status(),
                response.codeText(),
                response.firstTokenMillis() > 0 ? response.firstTokenMillis() + " ms" : "-",
                response.totalMillis(),
                response.replayed() ? "  stored answer" : "",
                fault.map(text -> "FAILED: " + text).orElse("answered"));
    }

    private int keepRunning(Fleet fleet) throws IOException, InterruptedException {
        fleet.entries()
                .forEach(entry -> output.printf(
                        "%-18s callers %s  operators %s%n",
                        entry.process().name(),
                        Addresses.text(entry.callerAddress()),
                        Addresses.text(entry.operatorAddress())));
        fleet.sidecars()
                .forEach(sidecar -> output.printf(
                        "%-18s peers %s  operators %s  upstream %s  its commands %s%n",
                        sidecar.name(),
                        sidecar.instance().address(),
                        Addresses.text(sidecar.operatorAddress()),
                        Addresses.text(sidecar.upstream().address()),
                        Addresses.text(sidecar.upstream().administration())));
        output.printf(
                "%-18s %s  commands %s%n",
                "configuration",
                Addresses.text(fleet.platform().configurationService()),
                Addresses.text(fleet.platform().administration()));
        output.printf(
                "%-18s %s%n", "weight store", Addresses.text(fleet.platform().weightStore()));
        output.printf(
                "tokens: %s (inspector), %s (manager); models: %s, %s%n",
                FleetDocuments.INSPECTOR_TOKEN,
                FleetDocuments.MANAGER_TOKEN,
                FleetDocuments.SUMMARY_MODEL,
                FleetDocuments.REPLY_MODEL);
        output.println("running; Enter ends it");
        awaitEnter();
        return 0;
    }

    private static void awaitEnter() throws IOException, InterruptedException {
        int read = System.in.read();
        while (read >= 0 && read != LINE_BREAK) {
            read = System.in.read();
        }
        if (read < 0) {
            new CountDownLatch(1).await();
        }
    }

    private static void quietLogs() {
        LogManager.getLogManager().reset();
    }
}
