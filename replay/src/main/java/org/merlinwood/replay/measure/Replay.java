package org.merlinwood.replay.measure;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.merlinwood.configuration.rules.CallerClass;
import org.merlinwood.core.identity.InstanceName;
import org.merlinwood.decision.prefix.PrefixBlocks;
import org.merlinwood.replay.fake.SidecarBehaviour;
import org.merlinwood.replay.fake.VirtualTime;
import org.merlinwood.replay.policy.BaselineDecisions;
import org.merlinwood.replay.policy.FakeEntry;
import org.merlinwood.replay.policy.FleetFakes;
import org.merlinwood.replay.policy.MerlinwoodDecisions;
import org.merlinwood.replay.policy.ModelRun;
import org.merlinwood.replay.policy.PolicyName;
import org.merlinwood.replay.policy.RoutingDecisions;
import org.merlinwood.replay.policy.RunListener;
import org.merlinwood.replay.policy.RunOutcome;
import org.merlinwood.replay.trace.Trace;
import org.merlinwood.replay.trace.TraceEvent;
import org.merlinwood.replay.trace.TraceHeader;

/**
 * Replays one trace under one policy in virtual time. The result depends on trace, policy and seed alone. Used once;
 * not thread-safe.
 */
public final class Replay {

    private final Trace trace;
    private final PolicyName policy;
    private final VirtualTime time = new VirtualTime();
    private final Tally tally = new Tally();
    private final UniformRandomProvider random;
    private final FleetFakes fleet;
    private final List<FakeEntry> entries = new ArrayList<>();
    private int nextEntry;

    // ------------------------------------------------------------------ life-cycle

    /**
     * Creates a replay.
     *
     * @param trace the trace
     * @param policy the policy
     * @param seed seeds everything random that the trace does not state
     */
    public Replay(Trace trace, PolicyName policy, long seed) {
        this.trace = trace;
        this.policy = policy;
        this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        SidecarBehaviour behaviour =
                policy == PolicyName.MERLINWOOD ? SidecarBehaviour.GRANT_BOOK : SidecarBehaviour.FIRST_COME;
        this.fleet = new FleetFakes(time, trace.header().fleet(), behaviour, this::cacheEvent);
        for (int entry = 0; entry < trace.header().fleet().entries(); entry++) {
            entries.add(new FakeEntry(fleet, decisions(entry)));
        }
    }

    private RoutingDecisions decisions(int entry) {
        TraceHeader header = trace.header();
        return policy == PolicyName.MERLINWOOD
                ? new MerlinwoodDecisions(time, header, fleet.inventory(), entry, random)
                : new BaselineDecisions(time, header, fleet, policy, entry);
    }

    // ------------------------------------------------------------------ public API

    /**
     * Runs the trace to its end.
     *
     * @return what it showed
     */
    public Measurement run() {
        for (TraceEvent event : trace.events()) {
            time.after(TimeUnit.MILLISECONDS.toMicros(event.atMillis()), () -> happen(event));
        }
        time.run();
        return tally.measurement(policy.label(), trace.header().trace());
    }

    /**
     * Returns the goodput as a rate, after {@link #run}.
     *
     * @return requests answered whole within both targets, for each second in which requests came
     */
    public double goodPerSecond() {
        long lastMillis = trace.events().get(trace.events().size() - 1).atMillis();
        return (double) tally.good() * TimeUnit.SECONDS.toMillis(1) / lastMillis;
    }

    // ------------------------------------------------------------------ internals

    private void happen(TraceEvent event) {
        switch (event) {
            case TraceEvent.ModelRequest request -> {
                tally.offered();
                send(request, 1);
            }
            case TraceEvent.PlainRequest request -> {
                tally.offered();
                sendPlain(request);
            }
            case TraceEvent.DomainLost lost -> fleet.loseDomain(lost.failureDomain());
        }
    }

    private void send(TraceEvent.ModelRequest request, int sends) {
        CallerClass callerClass = trace.header().callerClass(request.callerClass());
        SendListener listener = new SendListener(request, sends);
        ModelRun run = new ModelRun(time, request, callerClass, tally.gapMillis(), listener);
        listener.run = run;
        long patienceMicros =
                TimeUnit.MILLISECONDS.toMicros(trace.header().callers().patienceMillis());
        time.after(patienceMicros, run::losePatience);
        entry().model(run);
    }

    private void sendPlain(TraceEvent.PlainRequest request) {
        long sentMicros = time.nowMicros();
        long targetMillis = trace.header().callerClass(request.callerClass()).firstTokenTargetMillis();
        RunListener listener = (outcome, comeBackMillis) -> {
            long tookMillis = TimeUnit.MICROSECONDS.toMillis(time.nowMicros() - sentMicros);
            tally.plainEnded(outcome, tookMillis <= targetMillis);
        };
        entry().plain(listener);
    }

    private FakeEntry entry() {
        FakeEntry entry = entries.get(nextEntry);
        nextEntry = (nextEntry + 1) % entries.size();
        return entry;
    }

    private void cacheEvent(InstanceName instance, PrefixBlocks blocks) {
        if (random.nextDouble() < trace.header().fleet().reports().cacheEventLossShare()) {
            return;
        }
        long delayMicros =
                TimeUnit.MILLISECONDS.toMicros(trace.header().fleet().reports().cacheEventDelayMillis());
        time.after(delayMicros, () -> entries.forEach(entry -> entry.cached(instance, blocks)));
    }

    /** Counts the end of one send, and sends again where the caller does. */
    private final class SendListener implements RunListener {
        private final TraceEvent.ModelRequest request;
        private final int sends;
        private ModelRun run;

        SendListener(TraceEvent.ModelRequest request, int sends) {
            this.request = request;
            this.sends = sends;
        }

        @Override
        public void ended(RunOutcome outcome, long comeBackMillis) {
            tally.modelEnded(run, outcome);
            tally.prefills(run, outcome);
            if (outcome != RunOutcome.WHOLE && sends < trace.header().callers().maximumSends()) {
                long backMillis =
                        comeBackMillis == NO_TIME ? trace.header().callers().resendMillis() : comeBackMillis;
                time.after(TimeUnit.MILLISECONDS.toMicros(backMillis), () -> send(request, sends + 1));
            }
        }
    }
}
