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
import org.merlinwood.replay.policy.AttemptResultListener;
import org.merlinwood.replay.policy.BaselineDecisions;
import org.merlinwood.replay.policy.FakeEntry;
import org.merlinwood.replay.policy.FleetFakes;
import org.merlinwood.replay.policy.MerlinwoodDecisions;
import org.merlinwood.replay.policy.ModelAttempt;
import org.merlinwood.replay.policy.PolicyName;
import org.merlinwood.replay.policy.RoutingDecisions;
import org.merlinwood.replay.policy.RunOutcome;
import org.merlinwood.replay.trace.Trace;
import org.merlinwood.replay.trace.TraceEvent;
import org.merlinwood.replay.trace.TraceHeader;

/**
 * Replays one trace under one policy in virtual time. The result depends only on trace, policy and seed. An instance is
 * used for one replay. Not thread-safe.
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

    /**
     * Creates a replay.
     *
     * @param trace the trace
     * @param policy the policy
     * @param seed seed for all random choices that the trace does not determine
     */
    public Replay(Trace trace, PolicyName policy, long seed) {
        this.trace = trace;
        this.policy = policy;
        this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        SidecarBehaviour behaviour =
                policy == PolicyName.MERLINWOOD ? SidecarBehaviour.GRANT_MANAGER : SidecarBehaviour.FIRST_COME;
        this.fleet = new FleetFakes(time, trace.header().fleet(), behaviour, this::onCacheEvent);
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

    /**
     * Replays the trace to its end. Called once.
     *
     * @return the measurement
     */
    public Measurement run() {
        for (TraceEvent event : trace.events()) {
            time.after(TimeUnit.MILLISECONDS.toMicros(event.atMillis()), () -> handle(event));
        }
        time.run();
        return tally.measurement(policy.label(), trace.header().trace());
    }

    /**
     * Returns the goodput as a rate. Valid after {@link #run}.
     *
     * @return requests with a complete response within both targets, per second up to the last event of the trace
     */
    public double goodPerSecond() {
        long lastMillis = trace.events().get(trace.events().size() - 1).atMillis();
        return (double) tally.good() * TimeUnit.SECONDS.toMillis(1) / lastMillis;
    }

    private void handle(TraceEvent event) {
        switch (event) {
            case TraceEvent.ModelRequest request -> {
                tally.offered();
                startModelAttempt(request, 1);
            }
            case TraceEvent.PlainRequest request -> {
                tally.offered();
                startPlainRequest(request);
            }
            case TraceEvent.DomainLost lost -> fleet.failDomain(lost.failureDomain());
        }
    }

    private void startModelAttempt(TraceEvent.ModelRequest request, int attemptNumber) {
        CallerClass callerClass = trace.header().callerClass(request.callerClass());
        ModelAttemptListener listener = new ModelAttemptListener(request, attemptNumber);
        ModelAttempt attempt = new ModelAttempt(time, request, callerClass, tally.gapMillis(), listener);
        listener.attempt = attempt;
        long callerTimeoutMicros =
                TimeUnit.MILLISECONDS.toMicros(trace.header().callers().patienceMillis());
        time.after(callerTimeoutMicros, attempt::onCallerTimeout);
        selectEntry().handleModelRequest(attempt);
    }

    private void startPlainRequest(TraceEvent.PlainRequest request) {
        long sentMicros = time.nowMicros();
        long targetMillis = trace.header().callerClass(request.callerClass()).firstTokenTargetMillis();
        AttemptResultListener listener = (outcome, retryAfterMillis) -> {
            long durationMillis = TimeUnit.MICROSECONDS.toMillis(time.nowMicros() - sentMicros);
            tally.recordPlainEnd(outcome, durationMillis <= targetMillis);
        };
        selectEntry().handlePlainRequest(listener);
    }

    private FakeEntry selectEntry() {
        FakeEntry entry = entries.get(nextEntry);
        nextEntry = (nextEntry + 1) % entries.size();
        return entry;
    }

    private void onCacheEvent(InstanceName instance, PrefixBlocks blocks) {
        if (random.nextDouble() < trace.header().fleet().reports().cacheEventLossShare()) {
            return;
        }
        long delayMicros =
                TimeUnit.MILLISECONDS.toMicros(trace.header().fleet().reports().cacheEventDelayMillis());
        time.after(delayMicros, () -> entries.forEach(entry -> entry.recordCached(instance, blocks)));
    }

    /** Counts the outcome of an attempt and starts the next one if the caller sends the request again. */
    private final class ModelAttemptListener implements AttemptResultListener {
        private final TraceEvent.ModelRequest request;
        private final int attemptNumber;
        private ModelAttempt attempt;

        ModelAttemptListener(TraceEvent.ModelRequest request, int attemptNumber) {
            this.request = request;
            this.attemptNumber = attemptNumber;
        }

        @Override
        public void onEnded(RunOutcome outcome, long retryAfterMillis) {
            tally.recordModelEnd(attempt, outcome);
            tally.recordPrefills(attempt, outcome);
            if (outcome != RunOutcome.WHOLE
                    && attemptNumber < trace.header().callers().maximumSends()) {
                long delayMillis = retryAfterMillis == NO_RETRY_AFTER
                        ? trace.header().callers().resendMillis()
                        : retryAfterMillis;
                time.after(
                        TimeUnit.MILLISECONDS.toMicros(delayMillis),
                        () -> startModelAttempt(request, attemptNumber + 1));
            }
        }
    }
}
