package org.merlinwood.decision.grant;

import java.util.List;
import java.util.Optional;
import org.apache.commons.rng.simple.RandomSource;
import org.merlinwood.core.identity.RequestIdentifier;
import org.merlinwood.core.result.Failure;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.core.time.ManualMillisClock;
import org.merlinwood.decision.retry.RetryDelay;

/** A {@link GrantManager} with ten units and a manually advanced clock, and helper methods for tests. */
final class GrantManagerFixture {

    static final int UNITS = 10;
    static final long GRANT_MILLIS = 1_000;
    static final long LONG_WAIT_MILLIS = 60_000;
    static final SessionNumber SESSION = new SessionNumber(1);
    static final Failure CANCELLED = Failure.of(ResultCode.CANCELLED, "test");

    final ManualMillisClock clock = new ManualMillisClock(5_000);
    final GrantManager manager = new GrantManager(clock, new RetryDelay(RandomSource.XO_RO_SHI_RO_128_PP.create(1L)));

    GrantManagerFixture() {
        manager.configure(UNITS, GRANT_MILLIS);
    }

    static AttemptIdentity attempt(long request, int attempt) {
        return new AttemptIdentity(new RequestIdentifier(0, request), attempt);
    }

    static GrantDemand demand(long request, int units) {
        return new GrantDemand(SESSION, attempt(request, 1), units, 0, 5, LONG_WAIT_MILLIS);
    }

    static GrantDemand withPriority(long request, int units, int priority) {
        return new GrantDemand(SESSION, attempt(request, 1), units, 0, priority, LONG_WAIT_MILLIS);
    }

    Grant grant(GrantDemand demand) {
        return granted(manager.request(demand), demand.attempt()).orElseThrow();
    }

    Grant run(GrantDemand demand) {
        Grant grant = grant(demand);
        return manager.use(demand.session(), grant.number(), demand.attempt()).get();
    }

    static Optional<Grant> granted(List<GrantEvent> events, AttemptIdentity attempt) {
        return events.stream()
                .filter(GrantEvent.Granted.class::isInstance)
                .map(GrantEvent.Granted.class::cast)
                .filter(event -> event.attempt().equals(attempt))
                .map(GrantEvent.Granted::grant)
                .findFirst();
    }

    static Optional<Failure> refused(List<GrantEvent> events, AttemptIdentity attempt) {
        return events.stream()
                .filter(GrantEvent.Refused.class::isInstance)
                .map(GrantEvent.Refused.class::cast)
                .filter(event -> event.attempt().equals(attempt))
                .map(GrantEvent.Refused::failure)
                .findFirst();
    }
}
