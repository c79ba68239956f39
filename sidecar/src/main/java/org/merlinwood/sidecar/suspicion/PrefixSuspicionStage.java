package org.merlinwood.sidecar.suspicion;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import com.google.protobuf.ByteString;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.function.Consumer;
import org.merlinwood.configuration.inventory.Instance;
import org.merlinwood.core.identity.InstanceName;
import org.merlinwood.core.time.MillisClock;
import org.merlinwood.decision.idempotency.Fingerprint;
import org.merlinwood.decision.prefix.PrefixBlocks;
import org.merlinwood.decision.suspicion.EngineCrash;
import org.merlinwood.decision.suspicion.PrefixDecision;
import org.merlinwood.decision.suspicion.PrefixSuspicionRegistry;
import org.merlinwood.operation.control.ControlLoop;
import org.merlinwood.protocol.Exchange;
import org.merlinwood.protocol.PeerEndpoint;
import org.merlinwood.wire.Frame;
import org.merlinwood.wire.PrefixAnswer;
import org.merlinwood.wire.PrefixEvent;
import org.merlinwood.wire.PrefixReport;

/**
 * Reports crashes and first tokens to the homes of a prompt's prefixes, and queries them before a request runs. All
 * prompts with the same first block have the same homes, which therefore can compare their prefixes.
 *
 * <p>A home that does not respond in time counts as one without suspicion. Used by the control thread only.
 */
public final class PrefixSuspicionStage {

    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final InstanceName self;
    private final ControlLoop loop;
    private final MetricRegistry metrics;
    private final SuspicionHomes homes;
    private final PrefixSuspicionRegistry registry;
    private PeerEndpoint endpoint;

    PrefixSuspicionStage(
            InstanceName self, MillisClock clock, ControlLoop loop, SuspicionHomes homes, MetricRegistry metrics) {
        this.self = self;
        this.loop = loop;
        this.homes = homes;
        this.registry = new PrefixSuspicionRegistry(clock);
        this.metrics = metrics;
    }

    void start(PeerEndpoint started) {
        endpoint = started;
    }

    void configure(long retentionMillis) {
        registry.configure(retentionMillis);
    }

    /**
     * Queries whether a request may run.
     *
     * @param prefixes prefixes of its prompt; without any it may
     * @param onDecision called once, on the control thread
     */
    public void query(PrefixBlocks prefixes, Consumer<PrefixDecision> onDecision) {
        notifyHomes(report(prefixes, PrefixEvent.PREFIX_INQUIRY).build(), onDecision);
    }

    /**
     * Reports that the engine crashed before a request got its first token.
     *
     * @param crashNumber number of the crash since the start of this process
     * @param prefixes prefixes of the prompt
     * @param fingerprint fingerprint of the request
     * @param onRecorded called once, on the control thread, when each home has recorded the crash or timed out
     */
    public void reportCrash(int crashNumber, PrefixBlocks prefixes, Fingerprint fingerprint, Runnable onRecorded) {
        PrefixReport report = report(prefixes, PrefixEvent.ENGINE_CRASHED)
                .setFingerprint(ByteString.copyFrom(fingerprint.digest()))
                .setCrash(crashNumber)
                .build();
        notifyHomes(report, decision -> onRecorded.run());
    }

    /**
     * Reports that a request got its first token.
     *
     * @param prefixes prefixes of the prompt
     */
    public void reportFirstToken(PrefixBlocks prefixes) {
        notifyHomes(report(prefixes, PrefixEvent.FIRST_TOKEN).build(), decision -> {});
    }

    /**
     * Responds to the report or query of a peer.
     *
     * @param exchange the exchange
     * @param report the report or query
     */
    public void respond(Exchange exchange, PrefixReport report) {
        exchange.send(Frame.newBuilder().setPrefixAnswer(toWire(decide(report))));
        exchange.finish();
    }

    private PrefixReport.Builder report(PrefixBlocks prefixes, PrefixEvent event) {
        return PrefixReport.newBuilder()
                .addAllPrefixBlocks(prefixes.hashes())
                .setInstance(self.value())
                .setEvent(event);
    }

    private void notifyHomes(PrefixReport report, Consumer<PrefixDecision> onDecision) {
        List<Instance> notified = report.getPrefixBlocksCount() == 0 ? List.of() : homes.of(firstBlock(report));
        StrictestDecision<PrefixDecision> strictest = new StrictestDecision<>(
                notified.size(), new PrefixDecision.Free(), PrefixDecision::stricter, onDecision);
        notified.forEach(home -> {
            if (home.name().equals(self)) {
                strictest.add(decide(report));
            } else {
                PrefixQuery.open(endpoint, loop, home, report, strictest::add);
            }
        });
    }

    private static byte[] firstBlock(PrefixReport report) {
        return ByteBuffer.allocate(Long.BYTES)
                .putLong(report.getPrefixBlocks(0))
                .array();
    }

    private PrefixDecision decide(PrefixReport report) {
        PrefixBlocks prefixes = PrefixBlocks.ofHashes(report.getPrefixBlocksList());
        switch (report.getEvent()) {
            case ENGINE_CRASHED -> recordCrash(report, prefixes);
            case FIRST_TOKEN -> registry.recordFirstToken(prefixes);
            case PREFIX_INQUIRY, UNRECOGNIZED -> {}
        }
        return registry.decide(prefixes);
    }

    private void recordCrash(PrefixReport report, PrefixBlocks prefixes) {
        EngineCrash crash = new EngineCrash(new InstanceName(report.getInstance()), report.getCrash());
        registry.recordCrash(
                crash, prefixes, Fingerprint.of(report.getFingerprint().toByteArray()));
        metrics.counter("suspicion.prefix_crashes_recorded").inc();
        logger.atWarning().log(
                "%s: a request with %d prefixes was about to begin; the prompt is now: %s",
                crash, prefixes.size(), registry.decide(prefixes));
    }

    private static PrefixAnswer toWire(PrefixDecision decision) {
        PrefixAnswer.Builder message = PrefixAnswer.newBuilder();
        switch (decision) {
            case PrefixDecision.Free free -> {}
            case PrefixDecision.Watch watch -> message.setWatch(true);
            case PrefixDecision.Refuse refuse ->
                message.setRefused(true).setCrashes(refuse.crashes()).setExpiresInMillis((int)
                        refuse.expiresInMillis());
        }
        return message.build();
    }

    static PrefixDecision fromWire(PrefixAnswer message) {
        if (message.getRefused()) {
            return new PrefixDecision.Refuse(
                    message.getCrashes(), Integer.toUnsignedLong(message.getExpiresInMillis()));
        }
        return message.getWatch() ? new PrefixDecision.Watch() : new PrefixDecision.Free();
    }
}
