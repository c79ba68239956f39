package org.merlinwood.gateway.decision;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Random;
import java.util.Set;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.merlinwood.core.time.ManualMillisClock;
import org.merlinwood.gateway.fleet.FleetState;
import org.merlinwood.gateway.fleet.Stage;
import org.merlinwood.gateway.fleet.UpstreamInstance;
import org.merlinwood.gateway.request.Prompt;
import org.merlinwood.gateway.request.PromptPart;
import org.merlinwood.gateway.route.EngineLimits;
import org.merlinwood.gateway.upstream.HeldPart;

/**
 * Guards against streams of sessions that go on at another version, and against their refusal, after all entries were
 * lost at once: a seeded simulation of sessions at instances of two versions, whose memories evict prompts, and of
 * which one may crash or stay silent with the entries.
 */
final class SessionVersionsTest {

    private static final int SEEDS = 40;

    private static final int PROMPT_TOKENS = 5_000;
    private static final int OUTPUT_TOKENS = 130;

    /** Number of such requests that the memory of an instance has room for at the same time. */
    private static final int REQUESTS_PER_INSTANCE = 12;

    private static final EngineLimits LIMITS =
            new EngineLimits(64, REQUESTS_PER_INSTANCE * (PROMPT_TOKENS + OUTPUT_TOKENS), 2, 500, 2_000, 6_000);

    /** Streams of a day that may hold events of two versions. */
    private static final int ALLOWED_MIXED_STREAMS = 2;

    /** What became of the streams of one or more seeds. */
    private static final class Counts {

        private int goingOn;
        private int mixed;
        private int refused;

        private void add(Counts other) {
            goingOn += other.goingOn;
            mixed += other.mixed;
            refused += other.refused;
        }

        @Override
        public String toString() {
            return goingOn + " go on, " + mixed + " mixed, " + refused + " refused";
        }
    }

    /** One seed: the instances, their memories and the requests that run. */
    private static final class Simulation {

        private final Random random;
        private final ManualMillisClock clock = new ManualMillisClock(1_000);
        private final FleetState fleet = new FleetState();
        private final InstancePool pool;
        private final Map<String, Memory> memoryByInstance = new LinkedHashMap<>();
        private final Deque<Running> former = new ArrayDeque<>();

        /** A request that runs, with the last part of its prompt. */
        private record Running(String session, ActiveGeneration generation) {}

        private Simulation(long seed) {
            random = new Random(seed);
            pool = new InstancePool(fleet, clock, "domain", seed);
            for (String version : List.of("v1", "v2")) {
                int instances = 2 + random.nextInt(4);
                for (int number = 0; number < instances; number++) {
                    register(version + "-" + number, version);
                }
            }
        }

        private void register(String identifier, String version) {
            fleet.put(new UpstreamInstance(
                    identifier,
                    "service",
                    new InetSocketAddress("127.0.0.1", 1),
                    "domain",
                    64,
                    false,
                    Stage.DECODE,
                    UpstreamInstance.UNKNOWN_START,
                    version));
            memoryByInstance.put(identifier, new Memory());
        }

        /** Replaces an instance of the first version by one of the second, as a release does. */
        private void releaseOneInstance() {
            fleet.remove("v1-0");
            memoryByInstance.remove("v1-0");
            register("v2-new", "v2");
        }

        private int sessions(double load) {
            return (int) (load * REQUESTS_PER_INSTANCE * memoryByInstance.size());
        }

        private List<String> inAnyOrder(int sessions) {
            List<String> names = new ArrayList<>();
            for (int session = 0; session < sessions; session++) {
                names.add("session-" + session);
            }
            Collections.shuffle(names, random);
            return names;
        }

        /** Begins a request of a session where the product places it; empty if no instance has room. */
        private Optional<Running> begin(String session) {
            clock.advanceMillis(10);
            Prompt prompt = new Prompt(
                    "m",
                    PROMPT_TOKENS,
                    OUTPUT_TOKENS,
                    OptionalInt.empty(),
                    List.of(new PromptPart("shared", 200), new PromptPart(session, PROMPT_TOKENS - 200)));
            PendingGeneration pending = PendingGeneration.of(prompt);
            return pool.chooseDecode("service", pending, LIMITS, Set.of()).map(instance -> {
                memoryByInstance.get(instance.identifier()).begin(session);
                return new Running(session, pool.beginGeneration(instance.identifier(), pending));
            });
        }

        private void end(Running request) {
            memoryByInstance.get(request.generation().instance()).end(request.session());
            pool.endGeneration(request.generation());
        }

        /** Runs a former request of each session, with as many at the same time as there are streams later. */
        private void runFormerRequests(int sessions, int turns) {
            for (int turn = 0; turn < turns; turn++) {
                for (String session : inAnyOrder(sessions)) {
                    begin(session).ifPresent(former::add);
                    if (former.size() > sessions / 2) {
                        end(former.poll());
                    }
                }
            }
            former.forEach(this::end);
        }

        private List<Running> beginStreams(int sessions) {
            List<Running> streams = new ArrayList<>();
            for (String session : inAnyOrder(sessions)) {
                begin(session).ifPresent(streams::add);
            }
            return streams;
        }

        /** Loses all entries, and asks the instances what they hold, of which one may not answer. */
        private HeldPrompts ask(Optional<String> unknownInstance) {
            HeldPrompts heldPrompts = new HeldPrompts(fleet, clock);
            memoryByInstance.forEach((identifier, memory) -> {
                UpstreamInstance instance = fleet.find(identifier).orElseThrow();
                if (unknownInstance.equals(Optional.of(identifier))) {
                    heldPrompts.recordUnanswered(instance, clock.monotonicMillis());
                } else {
                    heldPrompts.record(instance, clock.monotonicMillis(), memory.held());
                }
            });
            return heldPrompts;
        }

        private Counts count(List<Running> streams, HeldPrompts heldPrompts) {
            Counts counts = new Counts();
            for (Running stream : streams) {
                String began =
                        fleet.find(stream.generation().instance()).orElseThrow().version();
                HeldVersion held = heldPrompts.versionHolding(
                        new HeldPrompts.Key("service", "m", stream.session()), Set.of(), clock.monotonicMillis());
                Optional<String> found = held.versionAt(HomeVersion.of(stream.session(), fleet.instances("service")));
                if (found.isEmpty()) {
                    counts.refused++;
                } else if (found.get().equals(began)) {
                    counts.goingOn++;
                } else {
                    counts.mixed++;
                }
            }
            return counts;
        }
    }

    /** The memory of an instance, in requests: the least recently used prompts yield to running ones. */
    private static final class Memory {

        private final Map<String, Integer> runningBySession = new HashMap<>();
        private final LinkedHashMap<String, Boolean> prompts = new LinkedHashMap<>();

        private void begin(String session) {
            runningBySession.merge(session, 1, Integer::sum);
            prompts.remove(session);
            prompts.put(session, true);
            var oldestFirst = prompts.keySet().iterator();
            while (prompts.size() > REQUESTS_PER_INSTANCE && oldestFirst.hasNext()) {
                if (runningBySession.getOrDefault(oldestFirst.next(), 0) == 0) {
                    oldestFirst.remove();
                }
            }
        }

        private void end(String session) {
            runningBySession.merge(session, -1, Integer::sum);
        }

        private List<HeldPart> held() {
            return prompts.keySet().stream()
                    .map(session -> new HeldPart("m", session, PROMPT_TOKENS))
                    .toList();
        }
    }

    /** What happens with the entries, or before. */
    enum Trouble {
        /** Nothing besides. */
        NONE,
        /** An instance crashes, or stays silent: nobody knows what it held. */
        UNKNOWN_INSTANCE,
        /** An instance is released between the former requests of the sessions and their streams. */
        RELEASE,
        /** Both. */
        RELEASE_AND_UNKNOWN_INSTANCE
    }

    /** Plays one seed. */
    private static Counts play(long seed, int formerRequests, double load, Trouble trouble) {
        Simulation simulation = new Simulation(seed);
        int sessions = simulation.sessions(load);
        simulation.runFormerRequests(sessions, formerRequests);
        if (trouble == Trouble.RELEASE || trouble == Trouble.RELEASE_AND_UNKNOWN_INSTANCE) {
            simulation.releaseOneInstance();
        }
        List<Simulation.Running> streams = simulation.beginStreams(sessions);
        boolean unknown = trouble == Trouble.UNKNOWN_INSTANCE || trouble == Trouble.RELEASE_AND_UNKNOWN_INSTANCE;
        List<String> instances = List.copyOf(simulation.memoryByInstance.keySet());
        Optional<String> unknownInstance =
                unknown ? Optional.of(instances.get(simulation.random.nextInt(instances.size()))) : Optional.empty();
        return simulation.count(streams, simulation.ask(unknownInstance));
    }

    /**
     * Guards against sessions whose prompts instances of both versions hold, so that nobody can tell which of them
     * began a stream. The load is the share of the memory of all instances that the streams need.
     */
    @ParameterizedTest
    @MethodSource("loads")
    void streamsOfSessionsGoOnAtTheVersionThatBeganThem(int formerRequests, double load, Trouble trouble) {
        Counts all = new Counts();
        List<Long> brokenSeeds = new ArrayList<>();
        for (long seed : LongStream.rangeClosed(1, SEEDS).toArray()) {
            Counts counts = play(seed, formerRequests, load, trouble);
            all.add(counts);
            if (counts.mixed > ALLOWED_MIXED_STREAMS || counts.goingOn < counts.mixed + counts.refused) {
                brokenSeeds.add(seed);
            }
        }
        assertThat(brokenSeeds).as("seeds that break a rule; of all: %s", all).isEmpty();
    }

    static Stream<Arguments> loads() {
        return Stream.of(0, 1, 3, 6)
                .flatMap(formerRequests -> Stream.of(0.4, 0.8, 1.0)
                        .flatMap(load -> Stream.of(Trouble.values())
                                .map(trouble -> Arguments.of(formerRequests, load, trouble))));
    }
}
