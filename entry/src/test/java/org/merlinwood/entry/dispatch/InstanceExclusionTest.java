package org.merlinwood.entry.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.merlinwood.configuration.inventory.Instance;
import org.merlinwood.configuration.inventory.InstanceRole;
import org.merlinwood.configuration.inventory.InstanceState;
import org.merlinwood.configuration.inventory.Inventory;
import org.merlinwood.configuration.inventory.NetworkAddress;
import org.merlinwood.configuration.inventory.OrderFencing;
import org.merlinwood.configuration.rules.CallerClass;
import org.merlinwood.configuration.rules.Limits;
import org.merlinwood.configuration.rules.Rules;
import org.merlinwood.configuration.rules.ServiceKind;
import org.merlinwood.configuration.rules.ServiceRule;
import org.merlinwood.core.identity.CallerName;
import org.merlinwood.core.identity.FailureDomain;
import org.merlinwood.core.identity.InstanceName;
import org.merlinwood.core.identity.RequestIdentifier;
import org.merlinwood.core.identity.ServiceName;
import org.merlinwood.core.result.Failure;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.core.time.ManualMillisClock;
import org.merlinwood.entry.request.AcceptedRequest;
import org.merlinwood.entry.request.ClassifiedRequest;
import org.merlinwood.entry.request.IdentifiedRequest;
import org.merlinwood.entry.request.KeyUse;
import org.merlinwood.following.ActiveConfiguration;

/** Verifies how long an entry does not choose an instance whose upstream is unreachable. */
final class InstanceExclusionTest {

    private static final long STATED_MILLIS = 250;
    private static final ServiceName SERVICE = new ServiceName("ledger");
    private static final InstanceName INSTANCE = new InstanceName("ledger-1");

    private final ManualMillisClock clock = new ManualMillisClock(10_000);
    private final ControlState state =
            new ControlState(new InstanceName("entry-1"), new FailureDomain("lalitpur"), clock, configuration());
    private final ClassifiedRequest request = request();

    /** Guards against begun responses that are cut while the engine of an excluded instance serves again. */
    @Test
    void refusedInstanceIsChosenAgainAfterTheTimeThatItsSidecarStated() {
        record(Failure.retryable(ResultCode.UPSTREAM_UNREACHABLE, "no connection", STATED_MILLIS));
        clock.advanceMillis(STATED_MILLIS - 1);
        assertThat(chosen()).isEmpty();
        clock.advanceMillis(1);
        assertThat(chosen()).isPresent();
    }

    @Test
    void instanceWithoutAStatedTimeIsExcludedForASecond() {
        record(Failure.of(ResultCode.UPSTREAM_UNREACHABLE, "connecting to the sidecar timed out"));
        clock.advanceMillis(ExclusionTime.UNREACHABLE_MILLIS - 1);
        assertThat(chosen()).isEmpty();
        clock.advanceMillis(1);
        assertThat(chosen()).isPresent();
    }

    private void record(Failure failure) {
        state.recordFailure(request, InstanceRole.PLAIN, INSTANCE, failure);
    }

    private Optional<Instance> chosen() {
        return state.choose(request, InstanceRole.PLAIN, Set.of());
    }

    private static ClassifiedRequest request() {
        AcceptedRequest accepted =
                new AcceptedRequest(new RequestIdentifier(1, 1), "GET", "/", "", List.of(), new byte[0], 0);
        CallerClass callerClass = new CallerClass("inspectors", 1, 10_000, 1_000, 1, 16);
        IdentifiedRequest identified =
                new IdentifiedRequest(accepted, new CallerName("inspector"), callerClass, Long.MAX_VALUE);
        return new ClassifiedRequest.PlainRequest(identified, service(), new KeyUse.NotNeeded(), ByteString.EMPTY);
    }

    private static ActiveConfiguration configuration() {
        Instance instance = new Instance(
                INSTANCE,
                new NetworkAddress("127.0.0.1", 1),
                new FailureDomain("lalitpur"),
                "valley",
                SERVICE,
                InstanceRole.PLAIN,
                List.of(),
                0,
                4,
                OrderFencing.CHECKED,
                InstanceState.ACTIVE);
        Limits limits = new Limits(600_000, 1_000, 1 << 20, 5_000, 10_000, 20, 1 << 20, 30_000, 60_000, 1_000);
        return new ActiveConfiguration(
                Inventory.of(1, List.of(instance), List.of()),
                new Rules(1, List.of(service()), List.of(), List.of(), List.of(), limits));
    }

    private static ServiceRule service() {
        return new ServiceRule(SERVICE, ServiceKind.PLAIN, 1, 1, 5_000);
    }
}
