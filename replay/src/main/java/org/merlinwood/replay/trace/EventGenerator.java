package org.merlinwood.replay.trace;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;

/** Draws the events of one trace from a seed. Not thread-safe. */
final class EventGenerator {

    private static final int MINIMUM_OWN_TOKENS = 200;
    private static final int THREAD_GROWTH_TOKENS = 400;
    private static final double MILLIS_PER_SECOND = 1_000;

    private final UniformRandomProvider random;
    private final ZigguratSampler.NormalizedGaussian gaussian;
    private final ZigguratSampler.Exponential exponential;
    private final List<TraceEvent> events = new ArrayList<>();
    private final List<TraceEvent.ModelRequest> earlier = new ArrayList<>();
    private int nextThread;

    EventGenerator(long seed) {
        this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        this.gaussian = ZigguratSampler.NormalizedGaussian.of(random);
        this.exponential = ZigguratSampler.Exponential.of(random);
    }

    EventGenerator models(Workload workload, double perSecond, long fromMillis, long untilMillis) {
        double atMillis = fromMillis + gapMillis(perSecond);
        while (atMillis < untilMillis) {
            events.add(model(workload, Math.round(atMillis)));
            atMillis += gapMillis(perSecond);
        }
        return this;
    }

    EventGenerator plains(String callerClass, int callers, double perSecond, long fromMillis, long untilMillis) {
        double atMillis = fromMillis + gapMillis(perSecond);
        while (atMillis < untilMillis) {
            String caller = callerClass + "-" + random.nextInt(callers);
            events.add(new TraceEvent.PlainRequest(Math.round(atMillis), caller, callerClass));
            atMillis += gapMillis(perSecond);
        }
        return this;
    }

    EventGenerator domainLost(long atMillis, String failureDomain) {
        events.add(new TraceEvent.DomainLost(atMillis, failureDomain));
        return this;
    }

    List<TraceEvent> events() {
        return events.stream()
                .sorted(Comparator.comparingLong(TraceEvent::atMillis))
                .toList();
    }

    private double gapMillis(double perSecond) {
        return exponential.sample() * MILLIS_PER_SECOND / perSecond;
    }

    private TraceEvent.ModelRequest model(Workload workload, long atMillis) {
        boolean returns = !earlier.isEmpty() && random.nextDouble() < workload.returnShare();
        TraceEvent.ModelRequest request = returns ? next(workload, atMillis) : first(workload, atMillis);
        earlier.add(request);
        return request;
    }

    private TraceEvent.ModelRequest first(Workload workload, long atMillis) {
        double own = workload.ownTokensMedian() * Math.exp(workload.ownTokensSigma() * gaussian.sample());
        int prompt = workload.sharedTokens() + (int) Math.max(MINIMUM_OWN_TOKENS, own);
        return new TraceEvent.ModelRequest(
                atMillis,
                workload.callerClass() + "-" + random.nextInt(workload.callers()),
                workload.callerClass(),
                Math.min(workload.maximumPromptTokens(), prompt),
                "shared-" + random.nextInt(workload.sharedPrefixes()),
                workload.sharedTokens(),
                "thread-" + nextThread++,
                output(workload),
                workload.maximumOutputTokens());
    }

    private TraceEvent.ModelRequest next(Workload workload, long atMillis) {
        TraceEvent.ModelRequest before = earlier.get(random.nextInt(earlier.size()));
        int prompt = before.promptTokens() + THREAD_GROWTH_TOKENS;
        return new TraceEvent.ModelRequest(
                atMillis,
                before.caller(),
                before.callerClass(),
                Math.min(workload.maximumPromptTokens(), prompt),
                before.sharedPrefix(),
                before.sharedTokens(),
                before.thread(),
                output(workload),
                workload.maximumOutputTokens());
    }

    private int output(Workload workload) {
        return random.nextInt(workload.minimumOutputTokens(), workload.maximumOutputTokens() + 1);
    }
}
