package org.merlinwood.sidecar.suspicion;

import com.codahale.metrics.MetricRegistry;
import com.google.protobuf.ByteString;
import java.util.List;
import java.util.function.Consumer;
import org.merlinwood.configuration.inventory.Instance;
import org.merlinwood.configuration.inventory.InstanceState;
import org.merlinwood.core.identity.InstanceName;
import org.merlinwood.core.identity.RequestIdentifier;
import org.merlinwood.core.time.MillisClock;
import org.merlinwood.decision.idempotency.Fingerprint;
import org.merlinwood.decision.idempotency.RendezvousOrder;
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
 * Keeps the suspicion of each fingerprint at two homes, chosen by rendezvous hashing over the sidecars of the service,
 * and asks them.
 *
 * <p>A home that does not answer in time counts as one that knows nothing. Used by the control thread only.
 */
public final class SuspicionStage {

    private static final int HOMES = 2;

    private final InstanceName self;
    private final ControlLoop loop;
    private final SuspicionRegistry book;
    private final MetricRegistry metrics;
    private List<Instance> service = List.of();
    private PeerEndpoint endpoint;

    // ------------------------------------------------------------------ configuration

    /**
     * Creates a stage that knows nothing.
     *
     * @param self this instance
     * @param clock judges ages
     * @param loop the control thread
     * @param metrics counts crashes
     */
    public SuspicionStage(InstanceName self, MillisClock clock, ControlLoop loop, MetricRegistry metrics) {
        this.self = self;
        this.loop = loop;
        this.book = new SuspicionRegistry(clock);
        this.metrics = metrics;
    }

    /**
     * Lets the stage ask peers.
     *
     * @param started connects to peers
     */
    public void start(PeerEndpoint started) {
        endpoint = started;
    }

    /**
     * Puts inventory and rules in force.
     *
     * @param inForce both documents
     * @param own the row of this instance
     */
    public void configure(ActiveConfiguration inForce, Instance own) {
        book.configure(inForce.rules().limits().quarantineMillis());
        service = inForce.inventory().instances().values().stream()
                .filter(instance -> instance.service().equals(own.service()))
                .filter(instance -> instance.state() != InstanceState.RETIRED)
                .toList();
    }

    // ------------------------------------------------------------------ public API

    /**
     * Asks how a request may run.
     *
     * @param fingerprint of the request
     * @param request the request
     * @param onVerdict called once, on the control thread
     */
    public void query(Fingerprint fingerprint, RequestIdentifier request, Consumer<SuspicionDecision> onVerdict) {
        tellHomes(report(fingerprint, request, SuspicionEvent.INQUIRY).build(), onVerdict);
    }

    /**
     * Reports that the engine ended while a request ran.
     *
     * @param fingerprint of the request
     * @param request the request
     * @param alone true if nothing else ran
     * @param onVerdict called once, on the control thread, when the homes know or did not answer in time
     */
    public void crashed(
            Fingerprint fingerprint, RequestIdentifier request, boolean alone, Consumer<SuspicionDecision> onVerdict) {
        metrics.counter("suspicion.crashes_reported").inc();
        tellHomes(
                report(fingerprint, request, SuspicionEvent.CRASHED)
                        .setAlone(alone)
                        .build(),
                onVerdict);
    }

    /**
     * Reports that a suspect ran alone to its end.
     *
     * @param fingerprint of the request
     * @param request the request
     */
    public void survived(Fingerprint fingerprint, RequestIdentifier request) {
        tellHomes(report(fingerprint, request, SuspicionEvent.SURVIVED).build(), verdict -> {});
    }

    /**
     * Answers a peer.
     *
     * @param exchange the exchange
     * @param report what it reports or asks
     */
    public void respond(Exchange exchange, SuspicionReport report) {
        exchange.send(Frame.newBuilder().setSuspicionAnswer(toWire(report.getFingerprint(), decide(report))));
        exchange.finish();
    }

    /**
     * Returns the size of the book, for the state dump.
     *
     * @return a copy
     */
    public SuspicionState state() {
        return book.state();
    }

    // ------------------------------------------------------------------ internals

    private SuspicionReport.Builder report(Fingerprint fingerprint, RequestIdentifier request, SuspicionEvent event) {
        return SuspicionReport.newBuilder()
                .setFingerprint(ByteString.copyFrom(fingerprint.digest()))
                .setInstance(self.value())
                .setRequest(WireValues.toWire(request, 1))
                .setEvent(event);
    }

    private void tellHomes(SuspicionReport report, Consumer<SuspicionDecision> onVerdict) {
        List<Instance> homes = homes(report.getFingerprint().toByteArray());
        StrictestDecision strictest = new StrictestDecision(homes.size(), onVerdict);
        homes.forEach(home -> {
            if (home.name().equals(self)) {
                strictest.add(decide(report));
            } else {
                SuspicionQuery.open(endpoint, loop, home, report, strictest::add);
            }
        });
    }

    private List<Instance> homes(byte[] fingerprint) {
        return RendezvousOrder.order(fingerprint, service.stream()).stream()
                .limit(HOMES)
                .toList();
    }

    private SuspicionDecision decide(SuspicionReport report) {
        Fingerprint fingerprint = Fingerprint.of(report.getFingerprint().toByteArray());
        return switch (report.getEvent()) {
            case INQUIRY -> book.decide(fingerprint, WireValues.fromWire(report.getRequest()));
            case SURVIVED -> {
                book.recordSurvival(fingerprint);
                yield new SuspicionDecision.Free();
            }
            case CRASHED, UNRECOGNIZED -> book.recordCrash(fingerprint, report.getAlone());
        };
    }

    private static SuspicionAnswer toWire(ByteString fingerprint, SuspicionDecision verdict) {
        SuspicionAnswer.Builder answer = SuspicionAnswer.newBuilder().setFingerprint(fingerprint);
        switch (verdict) {
            case SuspicionDecision.Free free -> {}
            case SuspicionDecision.Isolate isolate -> answer.setIsolate(true).setCrashes(isolate.crashes());
            case SuspicionDecision.Wait wait -> answer.setRetryAfterMillis((int) wait.retryAfterMillis());
            case SuspicionDecision.Quarantined quarantined ->
                answer.setQuarantined(true).setCrashes(quarantined.crashes()).setExpiresInMillis((int)
                        quarantined.expiresInMillis());
        }
        return answer.build();
    }

    static SuspicionDecision fromWire(SuspicionAnswer answer) {
        if (answer.getQuarantined()) {
            return new SuspicionDecision.Quarantined(
                    answer.getCrashes(), Integer.toUnsignedLong(answer.getExpiresInMillis()));
        }
        if (answer.getRetryAfterMillis() != 0) {
            return new SuspicionDecision.Wait(Integer.toUnsignedLong(answer.getRetryAfterMillis()));
        }
        return answer.getIsolate() ? new SuspicionDecision.Isolate(answer.getCrashes()) : new SuspicionDecision.Free();
    }

    /** Collects the verdicts of all homes. */
    private static final class StrictestDecision {

        private final Consumer<SuspicionDecision> onVerdict;
        private int open;
        private SuspicionDecision strictest = new SuspicionDecision.Free();

        private StrictestDecision(int homes, Consumer<SuspicionDecision> onVerdict) {
            this.open = homes;
            this.onVerdict = onVerdict;
            if (homes == 0) {
                onVerdict.accept(strictest);
            }
        }

        private void add(SuspicionDecision verdict) {
            strictest = SuspicionDecision.stricter(strictest, verdict);
            open--;
            if (open == 0) {
                onVerdict.accept(strictest);
            }
        }
    }
}
