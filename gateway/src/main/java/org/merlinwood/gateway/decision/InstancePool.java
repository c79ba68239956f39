package org.merlinwood.gateway.decision;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToDoubleFunction;
import org.merlinwood.core.time.MillisClock;
import org.merlinwood.gateway.fleet.FleetState;
import org.merlinwood.gateway.fleet.Stage;
import org.merlinwood.gateway.fleet.UpstreamInstance;
import org.merlinwood.gateway.upstream.UpstreamLoad;

/**
 * Chooses instances by load and health.
 *
 * <p>Used by the event loop alone. An instance that failed is left out for a pause that doubles with each failure; then
 * one request at a time tries it. Where every instance is paused, the one whose pause ends first is tried: a bad guess
 * is better than none.
 */
public final class InstancePool {

    /** What crossing failure domains adds to the load of an instance, as a part of one request. */
    private static final double OTHER_DOMAIN_LOAD = 0.4;

    /** How strongly an error share above that of the other instances counts. */
    private static final double ERROR_WEIGHT = 12;

    private final FleetState fleet;
    private final MillisClock clock;
    private final String ownDomain;
    private final Map<String, InstanceRecord> records = new HashMap<>();

    /**
     * Creates a pool.
     *
     * @param fleet the registered instances
     * @param clock the time
     * @param ownDomain failure domain of this entry
     */
    public InstancePool(FleetState fleet, MillisClock clock, String ownDomain) {
        this.fleet = fleet;
        this.clock = clock;
        this.ownDomain = ownDomain;
    }

    // ------------------------------------------------------------------ choices

    /**
     * Chooses an instance of a plain service.
     *
     * @param service name of the service
     * @param excluded identifiers of instances that were tried already
     * @return the best instance, or empty if none is left
     */
    public Optional<UpstreamInstance> choosePlain(String service, Set<String> excluded) {
        List<UpstreamInstance> candidates = candidates(service, Stage.PLAIN, excluded);
        double lowestError = lowestErrorShare(candidates);
        double meanMillis = meanMillis(candidates);
        return best(candidates, instance -> plainScore(instance, lowestError, meanMillis));
    }

    /**
     * Chooses the instance that is to generate an answer.
     *
     * @param service name of the service
     * @param tokens memory that the request needs
     * @param excluded identifiers of instances that were tried already
     * @return the best instance, or empty if none is left
     */
    public Optional<UpstreamInstance> chooseDecode(String service, int tokens, Set<String> excluded) {
        List<UpstreamInstance> candidates = candidates(service, Stage.DECODE, excluded);
        double lowestError = lowestErrorShare(candidates);
        double meanMillis = meanMillis(candidates);
        return best(candidates, instance -> {
            InstanceRecord record = record(instance.identifier());
            double memory = record.allTokens() + tokens;
            return memory * slowness(record, meanMillis) * errorFactor(record, lowestError)
                    + distance(instance, ownDomain) * tokens;
        });
    }

    /**
     * Chooses the instance that is to compute a prompt.
     *
     * @param service name of the service
     * @param nearDomain failure domain of the instance that will take the result over
     * @param tokens length of the prompt
     * @param excluded identifiers of instances that were tried already
     * @return the best instance, or empty if none is left
     */
    public Optional<UpstreamInstance> choosePrefill(
            String service, String nearDomain, int tokens, Set<String> excluded) {
        List<UpstreamInstance> candidates = candidates(service, Stage.PREFILL, excluded);
        double meanMillis = meanMillis(candidates);
        return best(candidates, instance -> {
            InstanceRecord record = record(instance.identifier());
            return (record.allTokens() + tokens) * slowness(record, meanMillis)
                    + distance(instance, nearDomain) * tokens;
        });
    }

    /**
     * Counts the places of a model service.
     *
     * @param service name of the service
     * @return instances that generate answers and take work
     */
    public int decodeInstances(String service) {
        return candidates(service, Stage.DECODE, Set.of()).size();
    }

    // ------------------------------------------------------------------ work and health

    /**
     * Notes that work was sent to an instance.
     *
     * @param identifier the instance
     * @param tokens memory or prompt length of the work
     */
    public void begin(String identifier, int tokens) {
        record(identifier).begin(tokens);
    }

    /**
     * Notes that work at an instance ended.
     *
     * @param identifier the instance
     * @param tokens as given to {@link #begin}
     */
    public void end(String identifier, int tokens) {
        record(identifier).end(tokens);
    }

    /**
     * Notes a whole and successful answer.
     *
     * @param identifier the instance
     * @param tookMillis how long it took, in milliseconds
     */
    public void succeeded(String identifier, long tookMillis) {
        record(identifier).succeeded(tookMillis);
    }

    /**
     * Notes an answer with which the instance reported a fault of its own.
     *
     * @param identifier the instance
     */
    public void answeredError(String identifier) {
        record(identifier).answeredError();
    }

    /**
     * Notes that an instance was unreachable, silent or broke an answer off.
     *
     * @param identifier the instance
     * @return how long it gets no new work, in milliseconds
     */
    public long failed(String identifier) {
        return record(identifier).failed(clock.monotonicMillis());
    }

    /**
     * Notes the load that an instance told of.
     *
     * @param identifier the instance
     * @param load the load
     */
    public void told(String identifier, UpstreamLoad load) {
        record(identifier).told(load, clock.monotonicMillis());
    }

    /**
     * Notes the work of all other entries at an instance.
     *
     * @param identifier the instance
     * @param running their requests
     * @param tokens their tokens
     */
    public void peers(String identifier, int running, int tokens) {
        record(identifier).peers(running, tokens);
    }

    /**
     * Forgets an instance that is gone.
     *
     * @param identifier the instance
     */
    public void forget(String identifier) {
        InstanceRecord known = records.get(identifier);
        if (known != null && known.running() == 0) {
            records.remove(identifier);
        }
    }

    /**
     * Visits the work of this entry, for its peers.
     *
     * @param visitor gets identifier, requests and tokens of each instance with work
     */
    public void visitWork(WorkVisitor visitor) {
        records.forEach((identifier, known) -> {
            if (known.running() > 0) {
                visitor.visit(identifier, known.running(), known.tokens());
            }
        });
    }

    /** Receives the work at one instance. */
    @FunctionalInterface
    public interface WorkVisitor {
        /**
         * Visits one instance.
         *
         * @param identifier the instance
         * @param running requests there
         * @param tokens tokens of those requests
         */
        void visit(String identifier, int running, int tokens);
    }

    // ------------------------------------------------------------------ internals

    private InstanceRecord record(String identifier) {
        return records.computeIfAbsent(identifier, ignored -> new InstanceRecord());
    }

    private List<UpstreamInstance> candidates(String service, Stage stage, Set<String> excluded) {
        return fleet.instances(service).stream()
                .filter(instance -> instance.stage() == stage)
                .filter(instance -> !instance.leaving())
                .filter(instance -> !excluded.contains(instance.identifier()))
                .toList();
    }

    private Optional<UpstreamInstance> best(
            List<UpstreamInstance> candidates, ToDoubleFunction<UpstreamInstance> score) {
        long now = clock.monotonicMillis();
        Optional<UpstreamInstance> open = candidates.stream()
                .filter(instance -> record(instance.identifier()).open(now))
                .min(Comparator.comparingDouble(score));
        return open.or(() -> candidates.stream()
                .min(Comparator.comparingLong(
                        instance -> record(instance.identifier()).pausedUntilMillis())));
    }

    private double plainScore(UpstreamInstance instance, double lowestError, double meanMillis) {
        InstanceRecord record = record(instance.identifier());
        double load = 1 + record.allRunning(clock.monotonicMillis()) + distance(instance, ownDomain);
        return load * slowness(record, meanMillis) * errorFactor(record, lowestError);
    }

    private double lowestErrorShare(List<UpstreamInstance> candidates) {
        return candidates.stream()
                .mapToDouble(instance -> record(instance.identifier()).errorShare())
                .min()
                .orElse(0);
    }

    private double meanMillis(List<UpstreamInstance> candidates) {
        return candidates.stream()
                .mapToDouble(instance -> record(instance.identifier()).averageMillis())
                .filter(millis -> millis > 0)
                .average()
                .orElse(0);
    }

    private static double slowness(InstanceRecord record, double meanMillis) {
        if (meanMillis <= 0 || record.averageMillis() <= 0) {
            return 1;
        }
        return Math.max(0.5, record.averageMillis() / meanMillis);
    }

    private static double errorFactor(InstanceRecord record, double lowestError) {
        return 1 + ERROR_WEIGHT * Math.max(0, record.errorShare() - lowestError);
    }

    private static double distance(UpstreamInstance instance, String domain) {
        return instance.domain().equals(domain) ? 0 : OTHER_DOMAIN_LOAD;
    }
}
