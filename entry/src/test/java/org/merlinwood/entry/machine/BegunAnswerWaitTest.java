package org.merlinwood.entry.machine;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.merlinwood.configuration.inventory.Instance;
import org.merlinwood.configuration.inventory.InstanceRole;
import org.merlinwood.configuration.inventory.InstanceState;
import org.merlinwood.configuration.inventory.NetworkAddress;
import org.merlinwood.configuration.inventory.OrderFencing;
import org.merlinwood.core.identity.FailureDomain;
import org.merlinwood.core.identity.InstanceName;
import org.merlinwood.core.identity.ServiceName;
import org.merlinwood.core.result.Failure;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.wire.CacheHandle;

/** A begun answer waits a bounded time for an instance; a request that has not begun does not. */
final class BegunAnswerWaitTest {

    private static final int WAITS = 12;
    private static final Failure UNREACHABLE = Failure.of(ResultCode.UPSTREAM_UNREACHABLE, "refused");
    private static final Failure CONNECTION_LOST = Failure.of(ResultCode.CONNECTION_LOST, "cut");

    private final ModelMachine machine = new ModelMachine(new OneInstance());
    private int attempt;

    @Test
    void aRequestThatHasNotBegunEndsAtOnce() {
        asked(machine.start());
        assertSettled(machine.handle(new RequestEvent.Lost(attempt, UNREACHABLE)));
    }

    @Test
    void aBegunAnswerGoesOnWhenTheInstanceIsBack() {
        breakOff(CONNECTION_LOST);
        asked(machine.handle(new RequestEvent.InstanceAwaited()));
        asked(machine.handle(new RequestEvent.Granted(attempt)));
        assertThat(machine.stateName()).isEqualTo("AskingPrefill");
    }

    @Test
    void itIsAskedAgainForEachWaitThoughConnectionsAreRefused() {
        breakOff(CONNECTION_LOST);
        for (int wait = 1; wait < WAITS; wait++) {
            asked(machine.handle(new RequestEvent.InstanceAwaited()));
            assertThat(machine.handle(new RequestEvent.Lost(attempt, UNREACHABLE)))
                    .singleElement()
                    .isInstanceOf(RequestAction.AwaitInstance.class);
        }
        asked(machine.handle(new RequestEvent.InstanceAwaited()));
        assertSettled(machine.handle(new RequestEvent.Lost(attempt, UNREACHABLE)));
    }

    @Test
    void theInstanceWhoseEngineEndedIsNotAskedAgain() {
        breakOff(Failure.of(ResultCode.UPSTREAM_CRASHED, "the engine ended"));
        for (int wait = 1; wait < WAITS; wait++) {
            assertThat(machine.handle(new RequestEvent.InstanceAwaited()))
                    .singleElement()
                    .isInstanceOf(RequestAction.AwaitInstance.class);
        }
        assertSettled(machine.handle(new RequestEvent.InstanceAwaited()));
    }

    @Test
    void theDeadlineEndsTheWait() {
        breakOff(CONNECTION_LOST);
        assertSettled(machine.handle(new RequestEvent.GivenUp(Failure.of(ResultCode.DEADLINE_PASSED, "passed"))));
    }

    // ------------------------------------------------------------------ internals

    /** Lets an answer begin and break off. */
    private void breakOff(Failure failure) {
        asked(machine.start());
        int decode = attempt;
        asked(machine.handle(new RequestEvent.Granted(decode)));
        machine.handle(new RequestEvent.Granted(attempt));
        machine.handle(new RequestEvent.PrefillDone(attempt, CacheHandle.getDefaultInstance()));
        assertThat(machine.handle(new RequestEvent.ResponseFailed(decode, failure)))
                .last()
                .isInstanceOf(RequestAction.AwaitInstance.class);
    }

    private void asked(List<RequestAction> actions) {
        assertThat(actions).last().isInstanceOf(RequestAction.RequestGrant.class);
        attempt = ((RequestAction.RequestGrant) actions.getLast()).attempt();
    }

    private static void assertSettled(List<RequestAction> actions) {
        assertThat(actions).last().isInstanceOf(RequestAction.Settle.class);
    }

    /** One instance for each kind of work. */
    private static final class OneInstance implements Placement {

        @Override
        public Optional<Instance> place(InstanceRole role, Set<InstanceName> excluded) {
            return Optional.of(instance(role)).filter(instance -> !excluded.contains(instance.name()));
        }

        @Override
        public void firstAttempt() {}

        @Override
        public boolean tryRetry() {
            return true;
        }

        @Override
        public long retryAfterMillis(long expectedMillis) {
            return expectedMillis + 1;
        }

        private static Instance instance(InstanceRole role) {
            return new Instance(
                    new InstanceName(role.name()),
                    new NetworkAddress("127.0.0.1", 1),
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
