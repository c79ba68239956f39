package org.merlinwood.sidecar.suspicion;

import com.codahale.metrics.MetricRegistry;
import com.google.protobuf.ByteString;
import java.util.List;
import java.util.function.Consumer;
import org.merlinwood.configuration.inventory.Instance;
import org.merlinwood.core.identity.InstanceName;
import org.merlinwood.core.identity.RequestIdentifier;
import org.merlinwood.core.time.MillisClock;
import org.merlinwood.decision.idempotency.Fingerprint;
import org.merlinwood.decision.suspicion.SuspicionDecision;
import org.merlinwood.decision.suspicion.SuspicionRegistry;
import org.merlinwood.decision.suspicion.SuspicionState;
import org.merlinwood.following.ActiveConfiguration;
import org.merlinwood.operation.control.ControlLoop;
import org.merlinwood.protocol.Exchange;
import org.merlinwood.protocol.PeerEndpoint;
import org.merlinwood.protocol.WireValues;
import org.merlinwood.wire.Frame;
import org.merlinwood.wire.SuspicionAnswer;
import org.merlinwood.wire.SuspicionEvent;
import org.merlinwood.wire.SuspicionReport;

/**
 * Reports crashes to the homes of a request's fingerprint, and queries them before the request runs. Each fingerprint
 * has two homes, chosen by rendezvous hashing over the sidecars of the service.
 *
 * <p>A home that does not respond in time counts as one without suspicion. Used by the control thread only.
 */
public final class SuspicionStage {

    private final InstanceName self;
    private final ControlLoop loop;
    private final SuspicionRegistry registry;
    private final MetricRegistry metrics;
    private final SuspicionHomes homes = new SuspicionHomes();
    private final PrefixSuspicionStage prefixes;
    private PeerEndpoint endpoint;

    /**
     * Creates a stage without any suspects.
     *
     * @param self name of this instance
     * @param clock measures the age of suspicions
     * @param loop the control loop
     * @param metrics registry for the counter of reported crashes
     */
    public SuspicionStage(InstanceName self, MillisClock clock, ControlLoop loop, MetricRegistry metrics) {
        this.self = self;
        this.loop = loop;
        this.registry = new SuspicionRegistry(clock);
        this.metrics = metrics;
        this.prefixes = new PrefixSuspicionStage(self, clock, loop, homes, metrics);
    }

    /**
     * Sets the endpoint for queries to peers.
     *
     * @param started endpoint that connects to peers
     */
    public void start(PeerEndpoint started) {
        endpoint = started;
        prefixes.start(started);
    }

    /**
     * Applies new inventory and rules.
     *
     * @param active the active inventory and rules
     * @param own inventory entry of this instance
     */
    public void configure(ActiveConfiguration active, Instance own) {
        registry.configure(active.rules().limits().quarantineMillis());
        prefixes.configure(active.rules().limits().quarantineMillis());
        homes.configure(active.inventory(), own.service());
    }

    /**
     * Returns the suspicions of the prefixes of prompts.
     *
     * @return their stage
     */
    public PrefixSuspicionStage prefixes() {
        return prefixes;
    }

    /**
     * Queries how a request may run.
     *
     * @param fingerprint fingerprint of the request
     * @param request identifier of the request
     * @param onDecision called once, on the control thread
     */
    public void query(Fingerprint fingerprint, RequestIdentifier request, Consumer<SuspicionDecision> onDecision) {
        notifyHomes(report(fingerprint, request, SuspicionEvent.INQUIRY).build(), onDecision);
    }

    /**
     * Reports that the engine crashed while a request ran.
     *
     * @param fingerprint fingerprint of the request
     * @param request identifier of the request
     * @param alone whether no other request ran
     * @param onDecision called once, on the control thread, when each home has recorded the crash or timed out
     */
    public void reportCrash(
            Fingerprint fingerprint, RequestIdentifier request, boolean alone, Consumer<SuspicionDecision> onDecision) {
        metrics.counter("suspicion.crashes_reported").inc();
        notifyHomes(
                report(fingerprint, request, SuspicionEvent.CRASHED)
                        .setAlone(alone)
                        .build(),
                onDecision);
    }

    /**
     * Reports that an isolated suspect completed without crashing the engine.
     *
     * @param fingerprint fingerprint of the request
     * @param request identifier of the request
     */
    public void reportSurvival(Fingerprint fingerprint, RequestIdentifier request) {
        notifyHomes(report(fingerprint, request, SuspicionEvent.SURVIVED).build(), decision -> {});
    }

    /**
     * Responds to the report or query of a peer.
     *
     * @param exchange the exchange
     * @param report the report or query
     */
    public void respond(Exchange exchange, SuspicionReport report) {
        exchange.send(Frame.newBuilder().setSuspicionAnswer(toWire(report.getFingerprint(), decide(report))));
        exchange.finish();
    }

    /**
     * Returns the size of the suspicion registry, for the state dump.
     *
     * @return a snapshot
     */
    public SuspicionState state() {
        return registry.state();
    }

    private SuspicionReport.Builder report(Fingerprint fingerprint, RequestIdentifier request, SuspicionEvent event) {
        return SuspicionReport.newBuilder()
                .setFingerprint(ByteString.copyFrom(fingerprint.digest()))
                .setInstance(self.value())
                .setRequest(WireValues.toWire(request, 1))
                .setEvent(event);
    }

    private void notifyHomes(SuspicionReport report, Consumer<SuspicionDecision> onDecision) {
        List<Instance> notified = homes.of(report.getFingerprint().toByteArray());
        StrictestDecision<SuspicionDecision> strictest = new StrictestDecision<>(
                notified.size(), new SuspicionDecision.Free(), SuspicionDecision::stricter, onDecision);
        notified.forEach(home -> {
            if (home.name().equals(self)) {
                strictest.add(decide(report));
            } else {
                SuspicionQuery.open(endpoint, loop, home, report, strictest::add);
            }
        });
    }

    private SuspicionDecision decide(SuspicionReport report) {
        Fingerprint fingerprint = Fingerprint.of(report.getFingerprint().toByteArray());
        return switch (report.getEvent()) {
            case INQUIRY -> registry.decide(fingerprint, WireValues.fromWire(report.getRequest()));
            case SURVIVED -> {
                registry.recordSurvival(fingerprint);
                yield new SuspicionDecision.Free();
            }
            case CRASHED, UNRECOGNIZED -> registry.recordCrash(fingerprint, report.getAlone());
        };
    }

    private static SuspicionAnswer toWire(ByteString fingerprint, SuspicionDecision decision) {
        SuspicionAnswer.Builder message = SuspicionAnswer.newBuilder().setFingerprint(fingerprint);
        switch (decision) {
            case SuspicionDecision.Free free -> {}
            case SuspicionDecision.Isolate isolate -> message.setIsolate(true).setCrashes(isolate.crashes());
            case SuspicionDecision.Wait wait -> message.setRetryAfterMillis((int) wait.retryAfterMillis());
            case SuspicionDecision.Quarantined quarantined ->
                message.setQuarantined(true).setCrashes(quarantined.crashes()).setExpiresInMillis((int)
                        quarantined.expiresInMillis());
        }
        return message.build();
    }

    static SuspicionDecision fromWire(SuspicionAnswer message) {
        if (message.getQuarantined()) {
            return new SuspicionDecision.Quarantined(
                    message.getCrashes(), Integer.toUnsignedLong(message.getExpiresInMillis()));
        }
        if (message.getRetryAfterMillis() != 0) {
            return new SuspicionDecision.Wait(Integer.toUnsignedLong(message.getRetryAfterMillis()));
        }
        return message.getIsolate()
                ? new SuspicionDecision.Isolate(message.getCrashes())
                : new SuspicionDecision.Free();
    }
}
