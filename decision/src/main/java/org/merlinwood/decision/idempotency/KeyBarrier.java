package org.merlinwood.decision.idempotency;

import io.vavr.control.Either;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.merlinwood.configuration.settings.SharedKey;
import org.merlinwood.core.identity.Incarnation;
import org.merlinwood.core.identity.InstanceName;
import org.merlinwood.core.identity.ServiceName;
import org.merlinwood.core.result.ExecutionState;
import org.merlinwood.core.result.Failure;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.core.time.MillisClock;

/**
 * Checks idempotency keys that the {@link KeyTable} doesn't contain: whether another process or instance may have run
 * their requests, or can still run them.
 *
 * <p>Not thread-safe: used by the control thread only.
 */
public final class KeyBarrier {

    private static final long HANDOVER_RETRY_MILLIS = 500;

    private final InstanceName self;
    private final Incarnation incarnation;
    private final List<SharedKey> secrets;
    private final MillisClock clock;
    private final HomeHistory homeHistory;
    private final Set<Incarnation> tableAdopted = new HashSet<>();
    private KeyBarrierLimits limits = new KeyBarrierLimits(Long.MAX_VALUE / 4, 0);
    private Optional<ServiceName> service = Optional.empty();
    private Set<InstanceName> homes = Set.of();
    private final long startedAtMillis;
    private long completeSinceMillis;
    private long sealedAtMillis;

    // ------------------------------------------------------------------ configuration

    /**
     * Creates a barrier that refuses all keys until it is configured.
     *
     * @param self this instance
     * @param incarnation the incarnation of this process
     * @param secrets the secret keys for the proofs of minted keys
     * @param clock its monotonic time is compared with the retry horizon, its wall time with the timestamps of keys
     * @param homeHistory the earlier homes of keys
     */
    public KeyBarrier(
            InstanceName self,
            Incarnation incarnation,
            List<SharedKey> secrets,
            MillisClock clock,
            HomeHistory homeHistory) {
        this.self = self;
        this.incarnation = incarnation;
        this.secrets = List.copyOf(secrets);
        this.clock = clock;
        this.homeHistory = homeHistory;
        this.startedAtMillis = clock.monotonicMillis();
        this.completeSinceMillis = startedAtMillis;
        this.sealedAtMillis = startedAtMillis;
    }

    /**
     * Applies an inventory and rules.
     *
     * @param ownService the service of this instance
     * @param ownHomes the instances of that service that are not retired
     * @param next the limits
     */
    public void configure(ServiceName ownService, Set<InstanceName> ownHomes, KeyBarrierLimits next) {
        service = Optional.of(ownService);
        homes = Set.copyOf(ownHomes);
        limits = next;
    }

    /**
     * Records that the complete sealed table of the predecessor of this process was adopted.
     *
     * @param table the adopted table
     */
    public void tableAdopted(SealedTable table) {
        long now = clock.monotonicMillis();
        tableAdopted.add(table.incarnation());
        completeSinceMillis = Math.min(startedAtMillis, now - table.completeMillis());
        sealedAtMillis = Math.min(startedAtMillis, now - table.sealedMillis());
    }

    // ------------------------------------------------------------------ public API

    /**
     * Checks whether this instance is the home of a key and the key has not expired.
     *
     * @param key the key
     * @return the failure if the key must not be used here, or empty
     */
    public Optional<Failure> checkBelongsHere(ScopedKey key) {
        if (MintedKeys.isMinted(key.key())) {
            return verify(key).fold(Optional::of, this::checkMintedBelongsHere);
        }
        OptionalLong time = KeyTime.of(key.key());
        if (time.isPresent() && isTooOld(time.getAsLong())) {
            return Optional.of(expiredFailure());
        }
        return isOwnHome(key)
                ? Optional.empty()
                : Optional.of(new Failure(
                        ResultCode.KEY_HOME_UNREACHABLE,
                        "the inventory assigns the key to another instance",
                        ExecutionState.UNKNOWN,
                        HANDOVER_RETRY_MILLIS));
    }

    /**
     * Checks whether the request of a key may run. The key must have passed {@link #checkBelongsHere}, and the key
     * table must not contain it.
     *
     * @param key the key
     * @return the failure if the request must not run, or empty
     */
    public Optional<Failure> checkMayRun(ScopedKey key) {
        if (MintedKeys.isMinted(key.key())) {
            return verify(key).fold(Optional::of, this::checkMintedMayRun);
        }
        return checkHandover(key).or(() -> checkRestart(key));
    }

    /**
     * Tells whether this instance is the home of a caller's own key.
     *
     * @param key the key
     * @return true if it is; always true for a minted key, whose instance {@link #checkBelongsHere} verifies
     */
    public boolean isOwnHome(ScopedKey key) {
        if (MintedKeys.isMinted(key.key())) {
            return true;
        }
        return KeyHome.among(key.key(), homes).filter(self::equals).isPresent();
    }

    /**
     * Returns how far back it is known which requests this instance ran.
     *
     * @return time since the start of this process, or since the time from which on the adopted table is complete, in
     *     milliseconds
     */
    public long completeMillis() {
        return clock.monotonicMillis() - completeSinceMillis;
    }

    // ------------------------------------------------------------------ internals

    private Either<Failure, MintedKey> verify(ScopedKey key) {
        return MintedKeys.verify(key.key().value(), key.caller(), secrets);
    }

    private Optional<Failure> checkMintedBelongsHere(MintedKey key) {
        if (!key.instance().equals(self) || !service.equals(Optional.of(key.service()))) {
            return Optional.of(new Failure(
                    ResultCode.KEY_HOME_UNREACHABLE,
                    "the minted key belongs to instance " + key.instance() + " of service " + key.service(),
                    ExecutionState.UNKNOWN,
                    Failure.NO_RETRY));
        }
        return isTooOld(key.mintedWallMillis()) ? Optional.of(expiredFailure()) : Optional.empty();
    }

    private Optional<Failure> checkMintedMayRun(MintedKey key) {
        if (key.incarnation().equals(incarnation) || tableAdopted.contains(key.incarnation())) {
            return Optional.empty();
        }
        return Optional.of(Failure.of(
                ResultCode.OUTCOME_UNKNOWN,
                "the incarnation that the minted key names has ended, and it is not known which requests it ran"));
    }

    private Optional<Failure> checkHandover(ScopedKey key) {
        if (!homeHistory.isComplete()) {
            return Optional.of(Failure.retryable(
                    ResultCode.KEY_WITHHELD_FOR_HANDOVER,
                    "an inventory revision that is not known here may have assigned the key to another instance",
                    HANDOVER_RETRY_MILLIS));
        }
        return homeHistory
                .unsealedHome(key.key())
                .map(home -> Failure.retryable(
                        ResultCode.KEY_WITHHELD_FOR_HANDOVER,
                        "instance " + home + " has not handed over its executed requests",
                        HANDOVER_RETRY_MILLIS));
    }

    private Optional<Failure> checkRestart(ScopedKey key) {
        boolean homeSinceStart = startedAtMillis <= homeHistory.homeSinceMillis(key.key());
        Optional<Failure> restartFailure = homeSinceStart || mayBeMadeAfterSealing(key)
                ? Optional.empty()
                : checkMadeAfter(key, completeSinceMillis);
        Optional<Failure> gapFailure =
                !homeSinceStart && mayBeMadeAfterSealing(key) ? checkMadeAfter(key, startedAtMillis) : Optional.empty();
        return restartFailure
                .or(() -> gapFailure)
                .or(() -> checkMadeAfter(key, homeHistory.completeSinceMillis(key.key())));
    }

    /**
     * Withholds a key until the known history is as long as the retry horizon, unless the timestamp of the key proves
     * that it was made after {@code sinceMillis}.
     */
    private Optional<Failure> checkMadeAfter(ScopedKey key, long sinceMillis) {
        if (sinceMillis == Long.MIN_VALUE) {
            return Optional.empty();
        }
        long knownMillis = clock.monotonicMillis() - sinceMillis;
        long remainingMillis = limits.horizonMillis() - knownMillis;
        OptionalLong time = KeyTime.of(key.key());
        boolean isYounger = time.isPresent() && time.getAsLong() > wallMillis(sinceMillis) + limits.clockBoundMillis();
        if (remainingMillis <= 0 || isYounger) {
            return Optional.empty();
        }
        return Optional.of(Failure.retryable(
                ResultCode.KEY_WITHHELD_AFTER_RESTART,
                "the key may be older than the time for which the executed requests are known",
                remainingMillis));
    }

    /**
     * Tells whether a key may have been made after the predecessor sealed its table. Another process may have run
     * between the predecessor and this one. That process can only have run such keys.
     */
    private boolean mayBeMadeAfterSealing(ScopedKey key) {
        OptionalLong time = KeyTime.of(key.key());
        return time.isPresent() && time.getAsLong() >= wallMillis(sealedAtMillis) - limits.clockBoundMillis();
    }

    private long wallMillis(long monotonicMillis) {
        return clock.wallMillis() - (clock.monotonicMillis() - monotonicMillis);
    }

    /** Expires a key early by the clock bound, so that no key is accepted after the table has removed it. */
    private boolean isTooOld(long wallMillis) {
        return clock.wallMillis() - wallMillis >= limits.horizonMillis() - limits.clockBoundMillis();
    }

    private static Failure expiredFailure() {
        return Failure.of(ResultCode.KEY_EXPIRED, "the key is older than the retry horizon");
    }
}
