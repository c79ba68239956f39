package org.merlinwood.entry.machine;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.merlinwood.configuration.inventory.Instance;
import org.merlinwood.configuration.inventory.InstanceRole;
import org.merlinwood.configuration.inventory.InstanceState;
import org.merlinwood.configuration.inventory.NetworkAddress;
import org.merlinwood.configuration.inventory.OrderFencing;
import org.merlinwood.core.identity.FailureDomain;
import org.merlinwood.core.identity.InstanceName;
import org.merlinwood.core.identity.ServiceName;
import org.merlinwood.core.result.ExecutionState;
import org.merlinwood.core.result.Failure;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.wire.CacheHandle;

/** Checks invariants of the state machines for random sequences of events, generated from fixed seeds. */
class RandomWalkTest {

    private static final int WALKS = 2_000;
    private static final int MAXIMUM_EVENTS = 200;
    private static final List<ResultCode> CODES = List.of(
            ResultCode.NO_CAPACITY,
            ResultCode.DRAINING,
            ResultCode.CONNECTION_LOST,
            ResultCode.PEER_SILENT,
            ResultCode.UPSTREAM_UNREACHABLE,
            ResultCode.GRANT_EXPIRED,
            ResultCode.TRANSFER_FAILED,
            ResultCode.UPSTREAM_CRASHED,
            ResultCode.REVISION_BEHIND,
            ResultCode.REQUEST_QUARANTINED);

    static Stream<Function<Placement, RequestMachine>> machines() {
        return Stream.concat(
                Stream.of(ModelMachine::new),
                Stream.of(PlainMachine.Binding.values())
                        .map(binding -> placement -> new PlainMachine(placement, binding)));
    }

    @ParameterizedTest
    @MethodSource("machines")
    void everyWalkCompletesOnceAndEndsAllAttempts(Function<Placement, RequestMachine> create) {
        for (int seed = 0; seed < WALKS; seed++) {
            new Walk(seed, create).run();
        }
    }

    @ParameterizedTest
    @EnumSource(value = PlainMachine.Binding.class, mode = EnumSource.Mode.EXCLUDE, names = "ANY_REPEATED")
    void nonRepeatableRequestExecutesAtMostOnce(PlainMachine.Binding binding) {
        for (int seed = 0; seed < WALKS; seed++) {
            Walk walk = new Walk(seed, placement -> new PlainMachine(placement, binding));
            walk.run();
            assertThat(walk.executions).isLessThanOrEqualTo(1);
        }
    }

    /** Simulates the sidecars of one request: applies the actions of its state machine and generates random events. */
    private static final class Walk {

        private final Random random;
        private final RequestMachine stateMachine;
        private final Map<Integer, String> openAttempts = new HashMap<>();
        private final List<RequestAction> actions = new ArrayList<>();
        private int completions;
        private int executions;
        private boolean executionSent;
        private Optional<Failure> outcome = Optional.empty();
        private boolean isAwaitingRevisions;
        private boolean isAwaitingInstance;

        private Walk(int seed, Function<Placement, RequestMachine> create) {
            this.random = new Random(seed);
            this.stateMachine = create.apply(new RandomPlacement(random));
        }

        private void run() {
            apply(stateMachine.start());
            for (int event = 0; event < MAXIMUM_EVENTS && completions == 0; event++) {
                apply(stateMachine.handle(nextEvent()));
            }
            assertThat(completions).as(actions.toString()).isEqualTo(1);
            assertThat(openAttempts).as(actions.toString()).isEmpty();
            assertThat(stateMachine.handle(new RequestEvent.Granted(1))).isEmpty();
            if (executions > 0 && outcome.isPresent() && executionSent) {
                assertThat(outcome.get().executionState()).isNotEqualTo(ExecutionState.NOT_RUN);
            }
        }

        private RequestEvent nextEvent() {
            if (isAwaitingRevisions) {
                isAwaitingRevisions = false;
                return new RequestEvent.RevisionsWaitEnded(random.nextBoolean());
            }
            if (isAwaitingInstance) {
                isAwaitingInstance = false;
                return new RequestEvent.InstanceWaitEnded();
            }
            if (openAttempts.isEmpty() || random.nextInt(20) == 0) {
                return new RequestEvent.GivenUp(Failure.of(ResultCode.DEADLINE_PASSED, "the deadline passed"));
            }
            List<Integer> numbers = List.copyOf(openAttempts.keySet());
            int attempt = numbers.get(random.nextInt(numbers.size()));
            return event(attempt, openAttempts.get(attempt));
        }

        private RequestEvent event(int attempt, String phase) {
            ResultCode code = CODES.get(random.nextInt(CODES.size()));
            return switch (phase) {
                case "asking" -> asking(attempt, code);
                case "granted" -> ended(attempt, new RequestEvent.Refused(attempt, failure(code)));
                case "prefilling" ->
                    random.nextBoolean()
                            ? ended(attempt, new RequestEvent.PrefillDone(attempt, CacheHandle.getDefaultInstance()))
                            : ended(attempt, new RequestEvent.ResponseFailed(attempt, failure(code)));
                default -> executing(attempt, code);
            };
        }

        private RequestEvent asking(int attempt, ResultCode code) {
            return switch (random.nextInt(4)) {
                case 0 -> ended(attempt, new RequestEvent.Refused(attempt, failure(code)));
                case 1 -> ended(attempt, new RequestEvent.Lost(attempt, failure(code)));
                default -> {
                    openAttempts.put(attempt, "granted");
                    yield new RequestEvent.Granted(attempt);
                }
            };
        }

        private RequestEvent executing(int attempt, ResultCode code) {
            Failure failure = failure(code).withExecutionState(ExecutionState.UNKNOWN);
            executionSent = true;
            return switch (random.nextInt(3)) {
                case 0 -> ended(attempt, new RequestEvent.ResponseCompleted(attempt));
                case 1 -> ended(attempt, new RequestEvent.Lost(attempt, failure));
                default -> ended(attempt, new RequestEvent.ResponseFailed(attempt, failure));
            };
        }

        private RequestEvent ended(int attempt, RequestEvent event) {
            openAttempts.remove(attempt);
            return event;
        }

        private void apply(List<RequestAction> returned) {
            returned.forEach(this::apply);
        }

        private void apply(RequestAction action) {
            assertThat(completions).as(actions + " then " + action).isZero();
            actions.add(action);
            switch (action) {
                case RequestAction.RequestGrant request -> openAttempts.put(request.attempt(), "asking");
                case RequestAction.ExecutePrefill execute -> openAttempts.put(execute.attempt(), "prefilling");
                case RequestAction.ExecuteDecode execute -> openAttempts.put(execute.attempt(), "executing");
                case RequestAction.ExecutePlain execute -> {
                    executions++;
                    openAttempts.put(execute.attempt(), "executing");
                }
                case RequestAction.Release release -> openAttempts.remove(release.attempt());
                case RequestAction.Cancel cancel -> openAttempts.remove(cancel.attempt());
                case RequestAction.AwaitRevisions await -> isAwaitingRevisions = true;
                case RequestAction.AwaitInstance await -> isAwaitingInstance = true;
                case RequestAction.Complete settle -> {
                    completions++;
                    outcome = settle.failure();
                }
            }
        }

        private static Failure failure(ResultCode code) {
            return Failure.retryable(code, "drawn at random", 100).withExecutionState(ExecutionState.NOT_RUN);
        }
    }

    /** Offers five instances and a retry budget that is exhausted at random. */
    private record RandomPlacement(Random random) implements Placement {

        @Override
        public Optional<Instance> place(InstanceRole role, Set<InstanceName> excluded) {
            return IntStream.range(0, 5)
                    .mapToObj(number -> instance(role, number))
                    .filter(instance -> !excluded.contains(instance.name()))
                    .findFirst();
        }

        @Override
        public void recordFirstAttempt() {}

        @Override
        public boolean tryRetry() {
            return random.nextInt(5) > 0;
        }

        @Override
        public long retryAfterMillis(long expectedMillis) {
            return expectedMillis + 1;
        }

        private static Instance instance(InstanceRole role, int number) {
            return new Instance(
                    new InstanceName(role + "-" + number),
                    new NetworkAddress("127.0.0.1", 1 + number),
                    new FailureDomain("lalitpur"),
                    "valley",
                    new ServiceName("service"),
                    role,
                    List.of(),
                    20,
                    0,
                    OrderFencing.CHECKED,
                    InstanceState.ACTIVE);
        }
    }
}
