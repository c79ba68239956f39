package org.merlinwood.replay.trace;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;

/** Generates the events of one trace from a seed. Not thread-safe. */
final class EventGenerator {

    private static final int MINIMUM_OWN_TOKENS = 200;
    private static final int THREAD_GROWTH_TOKENS = 400;
    private static final double MILLIS_PER_SECOND = 1_000;

    private final UniformRandomProvider random;
    private final ZigguratSampler.NormalizedGaussian gaussian;
    private final ZigguratSampler.Exponential exponential;
    private final List<TraceEvent> events = new ArrayList<>();
    private final List<TraceEvent.ModelRequest> earlierRequests = new ArrayList<>();
    private int nextThread;

    EventGenerator(long seed) {
        this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        this.gaussian = ZigguratSampler.NormalizedGaussian.of(random);
        this.exponential = ZigguratSampler.Exponential.of(random);
    }

    EventGenerator addModelRequests(Workload workload, double perSecond, long fromMillis, long untilMillis) {
        double atMillis = fromMillis + gapMillis(perSecond);
        while (atMillis < untilMillis) {
            events.add(modelRequest(workload, Math.round(atMillis)));
            atMillis += gapMillis(perSecond);
        }
        return this;
    }

    EventGenerator addPlainRequests(
            String callerClass, int callers, double perSecond, long fromMillis, long untilMillis) {
        double atMillis = fromMillis + gapMillis(perSecond);
        while (atMillis < untilMillis) {
            String caller = callerClass + "-" + random.nextInt(callers);
            events.add(new TraceEvent.PlainRequest(Math.round(atMillis), caller, callerClass));
            atMillis += gapMillis(perSecond);
        }
        return this;
    }

    EventGenerator addDomainLoss(long atMillis, String failureDomain) {
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

    private TraceEvent.ModelRequest modelRequest(Workload workload, long atMillis) {
        boolean continuesThread = !earlierRequests.isEmpty() && random.nextDouble() < workload.returnShare();
        TraceEvent.ModelRequest request =
                continuesThread ? nextInThread(workload, atMillis) : firstInThread(workload, atMillis);
        earlierRequests.add(request);
        return request;
    }

    private TraceEvent.ModelRequest firstInThread(Workload workload, long atMillis) {
        double ownTokens = workload.ownTokensMedian() * Math.exp(workload.ownTokensSigma() * gaussian.sample());
        int promptTokens = workload.sharedTokens() + (int) Math.max(MINIMUM_OWN_TOKENS, ownTokens);
        return new TraceEvent.ModelRequest(
                atMillis,
                workload.callerClass() + "-" + random.nextInt(workload.callers()),
                workload.callerClass(),
                Math.min(workload.maximumPromptTokens(), promptTokens),
                "shared-" + random.nextInt(workload.sharedPrefixes()),
                workload.sharedTokens(),
                "thread-" + nextThread++,
                outputTokens(workload),
                workload.maximumOutputTokens());
    }

    private TraceEvent.ModelRequest nextInThread(Workload workload, long atMillis) {
        TraceEvent.ModelRequest previous = earlierRequests.get(random.nextInt(earlierRequests.size()));
        int promptTokens = previous.promptTokens() + THREAD_GROWTH_TOKENS;
        return new TraceEvent.ModelRequest(
                atMillis,
                previous.caller(),
                previous.callerClass(),
                Math.min(workload.maximumPromptTokens(), promptTokens),
                previous.sharedPrefix(),
                previous.sharedTokens(),
                previous.thread(),
                outputTokens(workload),
                workload.maximumOutputTokens());
    }

    private int outputTokens(Workload workload) {
        return random.nextInt(workload.minimumOutputTokens(), workload.maximumOutputTokens() + 1);
    }
}
