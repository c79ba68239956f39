package org.merlinwood.gateway.decision;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.merlinwood.core.time.ManualMillisClock;
import org.merlinwood.gateway.crash.CrashReport;
import org.merlinwood.gateway.fleet.FleetState;
import org.merlinwood.gateway.fleet.Stage;
import org.merlinwood.gateway.follow.StorePosition;
import org.merlinwood.gateway.upstream.UpstreamLoad;

/**
 * Simulates entries that send plain requests to instances whose speeds differ and change. Seeded, in virtual time and
 * without network. A request has one attempt.
 */
final class UnevenInstancesSimulation {

    /** Speeds of the instances, in turn, relative to the usual one. */
    private static final double[] SPEEDS = {0.55, 1.2, 1.2, 1.2};

    private static final int QUEUE_LIMIT = 24;
    private static final double SLOW_SHARE = 0.15;
    private static final double SLOW_FACTOR = 2.5;
    private static final double SLOW_PIECE_MILLIS = 600;
    private static final double WORK_SPREAD = 0.5;
    private static final double LONG_WORK_SHARE = 0.01;
    private static final double LONG_WORK_FACTOR = 5;

    /** Simulated time, in milliseconds; requests that arrive within the warm-up are not counted. */
    private static final double END_MILLIS = 20_000;

    private static final double WARM_UP_MILLIS = 2_000;

    /**
     * What is simulated.
     *
     * @param instances number of instances
     * @param slots number of requests that each runs concurrently
     * @param meanWorkMillis mean time of a request at the usual speed, in milliseconds
     * @param targetMillis target time of a response, in milliseconds
     * @param timeoutMillis time after which a request is given up, in milliseconds
     * @param entries number of entries
     * @param statusDelayMillis time that a status takes to the other entries, in milliseconds
     * @param peersReachable whether entries receive the status messages of others at all
     * @param urgentShare share of the requests with priority 0, between 0 and 1; the others have priority 1
     */
    record Deployment(
            int instances,
            int slots,
            double meanWorkMillis,
            long targetMillis,
            long timeoutMillis,
            int entries,
            long statusDelayMillis,
            boolean peersReachable,
            double urgentShare) {

        /** Returns the requests per millisecond that all instances together can complete. */
        double capacity() {
            double speeds = IntStream.range(0, instances)
                    .mapToDouble(index -> SPEEDS[index % SPEEDS.length])
                    .sum();
            double meanSpeed = 1 - SLOW_SHARE + SLOW_SHARE / SLOW_FACTOR;
            double meanMillis = meanWorkMillis * (1 + LONG_WORK_SHARE * (LONG_WORK_FACTOR - 1));
            return slots * speeds * meanSpeed / meanMillis;
        }

        Deployment withStatusDelay(long millis) {
            return new Deployment(
                    instances,
                    slots,
                    meanWorkMillis,
                    targetMillis,
                    timeoutMillis,
                    entries,
                    millis,
                    peersReachable,
                    urgentShare);
        }

        Deployment withoutPeers() {
            return new Deployment(
                    instances,
                    slots,
                    meanWorkMillis,
                    targetMillis,
                    timeoutMillis,
                    entries,
                    statusDelayMillis,
                    false,
                    urgentShare);
        }

        Deployment withUrgentShare(double share) {
            return new Deployment(
                    instances,
                    slots,
                    meanWorkMillis,
                    targetMillis,
                    timeoutMillis,
                    entries,
                    statusDelayMillis,
                    peersReachable,
                    share);
        }
    }

    /** Chooses instances for all entries. */
    interface Chooser {

        /** Returns the number of the instance for a request that arrives at an entry now, or {@link #REFUSED}. */
        int choose(int entry, int priority);

        /** Result of a choice that refuses the request. */
        int REFUSED = -1;
    }

    /** Counts of finished requests. */
    static final class Counts {

        private int inTime;
        private int late;
        private int refused;
        private int declined;

        double share(int count) {
            return count / (double) Math.max(1, inTime + late + refused + declined);
        }

        double inTimeShare() {
            return share(inTime);
        }

        double lateShare() {
            return share(late);
        }

        double refusedShare() {
            return share(refused);
        }

        double declinedShare() {
            return share(declined);
        }

        @Override
        public String toString() {
            return "in time %.3f, late %.3f, refused %.3f, declined %.3f"
                    .formatted(inTimeShare(), lateShare(), refusedShare(), declinedShare());
        }
    }

    private record Event(double atMillis, long number, Runnable action) {}

    final Deployment deployment;
    final ManualMillisClock clock = new ManualMillisClock(0);
    final List<InstancePool> pools = new ArrayList<>();
    final SplittableRandom random;
    private final boolean speedsReported;
    private final List<Instance> instances = new ArrayList<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingDouble(Event::atMillis).thenComparingLong(Event::number));
    private final Counts[] countsByPriority = {new Counts(), new Counts()};
    private double nowMillis;
    private long eventCount;

    /**
     * Creates a simulation.
     *
     * @param deployment what is simulated
     * @param seed seed of all random numbers
     * @param speedsReported whether the instances report how long work takes there
     */
    UnevenInstancesSimulation(Deployment deployment, long seed, boolean speedsReported) {
        this.deployment = deployment;
        this.random = new SplittableRandom(seed);
        this.speedsReported = speedsReported;
        FleetState fleet = new FleetState();
        for (int index = 0; index < deployment.instances(); index++) {
            instances.add(new Instance(name(index), SPEEDS[index % SPEEDS.length], random.split()));
            fleet.put(InstancePoolFixture.instance(name(index), Stage.PLAIN, InstancePoolFixture.OWN_DOMAIN, false));
        }
        for (int entry = 0; entry < deployment.entries(); entry++) {
            InstancePool pool = new InstancePool(fleet, clock, InstancePoolFixture.OWN_DOMAIN, seed * 1_000 + entry);
            pool.entryCount(deployment.entries());
            pools.add(pool);
        }
    }

    private static String name(int index) {
        return "i" + index;
    }

    static int number(String name) {
        return Integer.parseInt(name.substring(1));
    }

    /** Runs the simulation at a load, relative to the capacity; returns the counts by priority, 0 and 1. */
    Counts[] run(double load, Chooser chooser) {
        double meanGapMillis = 1 / (load * deployment.capacity());
        scheduleArrival(meanGapMillis, chooser);
        long interval = 100L * Math.max(1, deployment.entries() / 10);
        for (int entry = 0; entry < deployment.entries(); entry++) {
            int sender = entry;
            schedule(random.nextDouble((double) interval), () -> sendStatus(sender, interval));
        }
        while (!events.isEmpty() && nowMillis < END_MILLIS + deployment.timeoutMillis()) {
            Event event = events.remove();
            nowMillis = event.atMillis();
            clock.advanceMillis((long) nowMillis - clock.monotonicMillis());
            event.action().run();
        }
        return countsByPriority;
    }

    private void schedule(double delayMillis, Runnable action) {
        events.add(new Event(nowMillis + delayMillis, eventCount++, action));
    }

    private void scheduleArrival(double meanGapMillis, Chooser chooser) {
        double gapMillis = -StrictMath.log(1 - random.nextDouble()) * meanGapMillis;
        if (nowMillis + gapMillis < END_MILLIS) {
            schedule(gapMillis, () -> {
                arrive(chooser);
                scheduleArrival(meanGapMillis, chooser);
            });
        }
    }

    private void arrive(Chooser chooser) {
        int entry = random.nextInt(deployment.entries());
        int priority = random.nextDouble() < deployment.urgentShare() ? 0 : 1;
        Counts counts = nowMillis < WARM_UP_MILLIS ? new Counts() : countsByPriority[priority];
        int chosen = chooser.choose(entry, priority);
        if (chosen == Chooser.REFUSED) {
            counts.refused++;
            return;
        }
        new Request(pools.get(entry), instances.get(chosen), counts).send();
    }

    private void sendStatus(int sender, long intervalMillis) {
        EntryStatus status = status(sender);
        if (deployment.peersReachable()) {
            schedule(
                    (double) deployment.statusDelayMillis(),
                    () -> IntStream.range(0, pools.size())
                            .filter(receiver -> receiver != sender)
                            .forEach(
                                    receiver -> pools.get(receiver).sharedWork().updatePeer(status)));
        }
        schedule((double) intervalMillis, () -> sendStatus(sender, intervalMillis));
    }

    private EntryStatus status(int sender) {
        SharedWork work = pools.get(sender).sharedWork();
        return new EntryStatus(
                "entry-" + sender,
                List.of(),
                StorePosition.START,
                work.own(),
                List.of(),
                List.of(),
                List.of(),
                0,
                List.of(),
                CrashReport.EMPTY,
                new EntryReport(1, 1, EntryReport.AllotmentReport.EMPTY, work.drainReportedLoads(), List.of()));
    }

    /** One request, from its arrival until it is answered or given up. */
    private final class Request {

        private final InstancePool pool;
        private final Instance instance;
        private final Counts counts;
        private final double workMillis = drawWorkMillis();
        private final double sentMillis = nowMillis;
        private final ActivePlainAttempt attempt;
        private boolean ended;

        private Request(InstancePool pool, Instance instance, Counts counts) {
            this.pool = pool;
            this.instance = instance;
            this.counts = counts;
            this.attempt = pool.beginPlainAttempt(instance.name);
        }

        private void send() {
            if (!instance.accept(this)) {
                counts.declined++;
                recordResponse();
                return;
            }
            schedule((double) deployment.timeoutMillis(), this::giveUp);
        }

        private void recordResponse() {
            ended = true;
            pool.recordPlainResponse(attempt);
            pool.recordLoad(instance.name, instance.load());
            pool.endPlainAttempt(attempt);
        }

        private void complete() {
            if (ended) {
                return;
            }
            recordResponse();
            double latencyMillis = nowMillis - sentMillis;
            pool.recordSuccess(instance.name, Math.round(latencyMillis));
            pool.plainForecasts().recordSuccess(attempt, Math.round(latencyMillis));
            if (latencyMillis <= deployment.targetMillis()) {
                counts.inTime++;
            } else {
                counts.late++;
            }
        }

        private void giveUp() {
            if (!ended) {
                ended = true;
                counts.late++;
                instance.queue.remove(this);
                pool.endPlainAttempt(attempt);
            }
        }
    }

    private double drawWorkMillis() {
        double normal = Math.sqrt(-2 * StrictMath.log(1 - random.nextDouble()))
                * StrictMath.cos(2 * Math.PI * random.nextDouble());
        double factor = StrictMath.exp(WORK_SPREAD * normal - WORK_SPREAD * WORK_SPREAD / 2);
        double longFactor = random.nextDouble() < LONG_WORK_SHARE ? LONG_WORK_FACTOR : 1;
        return deployment.meanWorkMillis() * factor * longFactor;
    }

    /** An instance with slots, a queue and a speed that changes. */
    private final class Instance {

        private final String name;
        private final double speed;
        private final SplittableRandom pieces;
        private final List<Boolean> slowPieces = new ArrayList<>();
        private final Deque<Request> queue = new ArrayDeque<>();
        private int running;

        private Instance(String name, double speed, SplittableRandom pieces) {
            this.name = name;
            this.speed = speed;
            this.pieces = pieces;
        }

        /** Returns how long work takes now, relative to the usual time. */
        private double workFactor() {
            int piece = (int) (nowMillis / SLOW_PIECE_MILLIS);
            while (slowPieces.size() <= piece) {
                slowPieces.add(pieces.nextDouble() < SLOW_SHARE);
            }
            return (slowPieces.get(piece) ? SLOW_FACTOR : 1) / speed;
        }

        private boolean accept(Request request) {
            if (running >= deployment.slots() && queue.size() >= QUEUE_LIMIT) {
                return false;
            }
            queue.add(request);
            startNext();
            return true;
        }

        private void startNext() {
            if (running < deployment.slots() && !queue.isEmpty()) {
                Request request = queue.remove();
                running++;
                schedule(request.workMillis * workFactor(), () -> {
                    running--;
                    startNext();
                    request.complete();
                });
            }
        }

        private UpstreamLoad load() {
            int workPercent = speedsReported ? (int) Math.round(100 * workFactor()) : 0;
            return new UpstreamLoad(running, queue.size(), deployment.slots(), workPercent);
        }
    }
}
