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

/** Verifies that a started response waits a bounded time for an instance, and that other requests fail immediately. */
final class StartedResponseWaitTest {

    /** 10 s in waits of 250 ms. */
    private static final int WAITS = 40;

    private static final Failure UNREACHABLE = Failure.of(ResultCode.UPSTREAM_UNREACHABLE, "refused");
    private static final Failure CONNECTION_LOST = Failure.of(ResultCode.CONNECTION_LOST, "cut");

    private final ModelMachine stateMachine = new ModelMachine(new OneInstance());
    private int attempt;

    @Test
    void requestWithoutResponseEndsImmediately() {
        assertGrantRequested(stateMachine.start());
        assertCompleted(stateMachine.handle(new RequestEvent.Lost(attempt, UNREACHABLE)));
    }

    @Test
    void startedResponseResumesWhenInstanceReturns() {
        interruptResponse(CONNECTION_LOST);
        assertGrantRequested(stateMachine.handle(new RequestEvent.InstanceWaitEnded()));
        assertGrantRequested(stateMachine.handle(new RequestEvent.Granted(attempt)));
        assertThat(stateMachine.stateName()).isEqualTo("AskingPrefill");
    }

    @Test
    void refusedConnectionsDoNotShortenTheWait() {
        interruptResponse(CONNECTION_LOST);
        for (int wait = 1; wait < WAITS; wait++) {
            assertGrantRequested(stateMachine.handle(new RequestEvent.InstanceWaitEnded()));
            assertThat(stateMachine.handle(new RequestEvent.Lost(attempt, UNREACHABLE)))
                    .singleElement()
                    .isInstanceOf(RequestAction.AwaitInstance.class);
        }
        assertGrantRequested(stateMachine.handle(new RequestEvent.InstanceWaitEnded()));
        assertCompleted(stateMachine.handle(new RequestEvent.Lost(attempt, UNREACHABLE)));
    }

    /** Guards against a begun response that is given up after 10 refusals, before its wait is over. */
    @Test
    void refusalsOfAnUnreachableEngineDoNotShortenTheWait() {
        interruptResponse(CONNECTION_LOST);
        for (int wait = 1; wait < WAITS; wait++) {
            assertGrantRequested(stateMachine.handle(new RequestEvent.InstanceWaitEnded()));
            assertThat(stateMachine.handle(new RequestEvent.Refused(attempt, UNREACHABLE)))
                    .singleElement()
                    .isInstanceOf(RequestAction.AwaitInstance.class);
        }
        assertGrantRequested(stateMachine.handle(new RequestEvent.InstanceWaitEnded()));
        assertCompleted(stateMachine.handle(new RequestEvent.Refused(attempt, UNREACHABLE)));
    }

    @Test
    void instanceWithCrashedEngineIsNotRetried() {
        interruptResponse(Failure.of(ResultCode.UPSTREAM_CRASHED, "the engine ended"));
        for (int wait = 1; wait < WAITS; wait++) {
            assertThat(stateMachine.handle(new RequestEvent.InstanceWaitEnded()))
                    .singleElement()
                    .isInstanceOf(RequestAction.AwaitInstance.class);
        }
        assertCompleted(stateMachine.handle(new RequestEvent.InstanceWaitEnded()));
    }

    @Test
    void deadlineEndsTheWait() {
        interruptResponse(CONNECTION_LOST);
        assertCompleted(
                stateMachine.handle(new RequestEvent.GivenUp(Failure.of(ResultCode.DEADLINE_PASSED, "passed"))));
    }

    // ------------------------------------------------------------------ internals

    /** Starts a response and lets it fail, after which the state machine waits for an instance. */
    private void interruptResponse(Failure failure) {
        assertGrantRequested(stateMachine.start());
        int decode = attempt;
        assertGrantRequested(stateMachine.handle(new RequestEvent.Granted(decode)));
        stateMachine.handle(new RequestEvent.Granted(attempt));
        stateMachine.handle(new RequestEvent.PrefillDone(attempt, CacheHandle.getDefaultInstance()));
        assertThat(stateMachine.handle(new RequestEvent.ResponseFailed(decode, failure)))
                .last()
                .isInstanceOf(RequestAction.AwaitInstance.class);
    }

    private void assertGrantRequested(List<RequestAction> actions) {
        assertThat(actions).last().isInstanceOf(RequestAction.RequestGrant.class);
        attempt = ((RequestAction.RequestGrant) actions.getLast()).attempt();
    }

    private static void assertCompleted(List<RequestAction> actions) {
        assertThat(actions).last().isInstanceOf(RequestAction.Complete.class);
    }

    /** One instance for each kind of work. */
    private static final class OneInstance implements Placement {

        @Override
        public Optional<Instance> place(InstanceRole role, Set<InstanceName> excluded) {
            return Optional.of(instance(role)).filter(instance -> !excluded.contains(instance.name()));
        }

        @Override
        public void recordFirstAttempt() {}

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
