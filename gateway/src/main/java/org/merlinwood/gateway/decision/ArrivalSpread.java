package org.merlinwood.gateway.decision;

import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

/**
 * Spreads arrivals over instances so that each completes as early as possible, one after the other. Stateless.
 *
 * <p>Many entries choose by about the same reports, all of which are a little out of date. If each chose the instance
 * that looks best, that one would get everything that arrives before the next report. Therefore the arrivals since the
 * reports are spread over the instances, and a request goes to an instance with the probability of its share of them.
 */
final class ArrivalSpread {

    /** Upper bound of the steps in which arrivals are spread; more arrivals are spread in larger steps. */
    private static final int MAXIMUM_STEPS = 200;

    private ArrivalSpread() {}

    /**
     * An instance among those that may get an arrival.
     *
     * @param backlog its backlog
     * @param costFactor factor by which its cost is higher because of its errors, at least 1
     * @param addedLoad number of requests by which it counts as more loaded
     */
    record Target(Backlog backlog, double costFactor, double addedLoad) {

        private double cost(double added) {
            return backlog.cost(backlog.remaining() + added + addedLoad) * costFactor;
        }
    }

    /** Chooses an instance for one request, and returns its index among the targets, of which there is one at least. */
    static int choose(List<Target> targets, SplittableRandom random) {
        double[] shares = shares(targets, arrivals(targets) + 1);
        double point = random.nextDouble() * Arrays.stream(shares).sum();
        for (int index = 0; index < shares.length; index++) {
            point -= shares[index];
            if (point < 0) {
                return index;
            }
        }
        return shares.length - 1;
    }

    /** Returns the expected number of arrivals since the reports: what has completed has been replaced. */
    static double arrivals(List<Target> targets) {
        return targets.stream()
                .mapToDouble(target -> target.backlog().completed())
                .sum();
    }

    /** Returns how many of the arrivals each target gets. */
    static double[] shares(List<Target> targets, double arrivals) {
        double step = Math.max(1, arrivals / MAXIMUM_STEPS);
        double[] shares = new double[targets.size()];
        for (double left = arrivals; left > 0; left -= step) {
            shares[cheapest(targets, shares)] += Math.min(step, left);
        }
        return shares;
    }

    private static int cheapest(List<Target> targets, double[] shares) {
        double[] costs = IntStream.range(0, shares.length)
                .mapToDouble(index -> targets.get(index).cost(shares[index]))
                .toArray();
        int best = 0;
        for (int index = 1; index < costs.length; index++) {
            if (costs[index] < costs[best]) {
                best = index;
            }
        }
        return best;
    }
}
