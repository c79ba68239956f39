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
 * Judges keys that the table doesn't know: whether anything but this incarnation may have run them, or still can.
 *
 * <p>Not thread-safe: used by the control thread only.
 */
public final class KeyBarrier {

    private static final long HANDOVER_RETRY_MILLIS = 500;

    private final InstanceName self;
    private final Incarnation incarnation;
    private final List<SharedKey> secrets;
    private final MillisClock clock;
    private final HomeHistory chain;
    private final Set<Incarnation> tableAdopted = new HashSet<>();
    private KeyBarrierLimits limits = new KeyBarrierLimits(Long.MAX_VALUE / 4, 0);
    private Optional<ServiceName> service = Optional.empty();
    private Set<InstanceName> homes = Set.of();
    private final long startedAtMillis;
    private long completeSinceMillis;
    private long sealedAtMillis;

    // ------------------------------------------------------------------ configuration

    /**
     * Creates a barrier that lets nothing through before it is configured.
     *
     * @param self this instance
     * @param incarnation of this process
     * @param secrets the keys that minted keys may be proved with
     * @param clock monotonic time for the horizon, wall time for keys that carry one
     * @param chain earlier homes of keys
     */
    public KeyBarrier(
            InstanceName self, Incarnation incarnation, List<SharedKey> secrets, MillisClock clock, HomeHistory chain) {
        this.self = self;
        this.incarnation = incarnation;
        this.secrets = List.copyOf(secrets);
        this.clock = clock;
        this.chain = chain;
        this.startedAtMillis = clock.monotonicMillis();
        this.completeSinceMillis = startedAtMillis;
        this.sealedAtMillis = startedAtMillis;
    }

    /**
     * Puts an inventory and rules in force.
     *
     * @param ownService the service of this instance
     * @param ownHomes its instances that are not retired
     * @param next the bounds
     */
    public void configure(ServiceName ownService, Set<InstanceName> ownHomes, KeyBarrierLimits next) {
        service = Optional.of(ownService);
        homes = Set.copyOf(ownHomes);
        limits = next;
    }

    /**
     * The sealed table of the process that ran here before was taken over whole.
     *
     * @param table the table
     */
    public void tableAdopted(SealedTable table) {
        long now = clock.monotonicMillis();
        tableAdopted.add(table.incarnation());
        completeSinceMillis = Math.min(startedAtMillis, now - table.completeMillis());
        sealedAtMillis = Math.min(startedAtMillis, now - table.sealedMillis());
    }

    // ------------------------------------------------------------------ public API

    /**
     * Judges whether a key belongs here at all, and may still be used.
     *
     * @param key the key
     * @return why not, or empty
     */
    public Optional<Failure> checkBelongsHere(ScopedKey key) {
        if (MintedKeys.isMinted(key.key())) {
            return verify(key).fold(Optional::of, this::foreignMinted);
        }
        OptionalLong time = KeyTime.of(key.key());
        if (time.isPresent() && isTooOld(time.getAsLong())) {
            return Optional.of(tooOld());
        }
        return isOwnHome(key)
                ? Optional.empty()
                : Optional.of(new Failure(
                        ResultCode.KEY_HOME_UNREACHABLE,
                        "the inventory binds the key to another instance",
                        ExecutionState.UNKNOWN,
                        HANDOVER_RETRY_MILLIS));
    }

    /**
     * Judges a key that belongs here and that the table doesn't know.
     *
     * @param key the key
     * @return why its call may not run, or empty
     */
    public Optional<Failure> checkMayRun(ScopedKey key) {
        if (MintedKeys.isMinted(key.key())) {
            return verify(key).fold(Optional::of, this::withheldMinted);
        }
        return withheldForHandover(key).or(() -> withheldAfterRestart(key));
    }

    /**
     * Tells whether the home of a caller's own key is this instance.
     *
     * @param key the key
     * @return true for minted keys that name this instance, too
     */
    public boolean isOwnHome(ScopedKey key) {
        if (MintedKeys.isMinted(key.key())) {
            return true;
        }
        return KeyHome.among(key.key(), homes).filter(self::equals).isPresent();
    }

    /**
     * Tells how far back it is known what was run here.
     *
     * @return milliseconds since the start of this process, or of those whose tables were taken over without a gap
     */
    public long completeMillis() {
        return clock.monotonicMillis() - completeSinceMillis;
    }

    // ------------------------------------------------------------------ internals

    private Either<Failure, MintedKey> verify(ScopedKey key) {
        return MintedKeys.verify(key.key().value(), key.caller(), secrets);
    }

    private Optional<Failure> foreignMinted(MintedKey key) {
        if (!key.instance().equals(self) || !service.equals(Optional.of(key.service()))) {
            return Optional.of(new Failure(
                    ResultCode.KEY_HOME_UNREACHABLE,
                    "the key names instance " + key.instance() + " of service " + key.service(),
                    ExecutionState.UNKNOWN,
                    Failure.NO_RETRY));
        }
        return isTooOld(key.mintedWallMillis()) ? Optional.of(tooOld()) : Optional.empty();
    }

    private Optional<Failure> withheldMinted(MintedKey key) {
        if (key.incarnation().equals(incarnation) || tableAdopted.contains(key.incarnation())) {
            return Optional.empty();
        }
        return Optional.of(Failure.of(
                ResultCode.OUTCOME_UNKNOWN, "the process that the key names is gone, and what it ran is not known"));
    }

    private Optional<Failure> withheldForHandover(ScopedKey key) {
        if (!chain.isComplete()) {
            return Optional.of(Failure.retryable(
                    ResultCode.KEY_WITHHELD_FOR_HANDOVER,
                    "an earlier inventory may have bound the key to an instance that is not known here",
                    HANDOVER_RETRY_MILLIS));
        }
        return chain.unsealedHome(key.key())
                .map(home -> Failure.retryable(
                        ResultCode.KEY_WITHHELD_FOR_HANDOVER,
                        "instance " + home + " has not handed over what it ran",
                        HANDOVER_RETRY_MILLIS));
    }

    private Optional<Failure> withheldAfterRestart(ScopedKey key) {
        boolean homeSinceStart = startedAtMillis <= chain.homeSinceMillis(key.key());
        Optional<Failure> own =
                homeSinceStart || isBetweenProcesses(key) ? Optional.empty() : olderThan(key, completeSinceMillis);
        Optional<Failure> between =
                !homeSinceStart && isBetweenProcesses(key) ? olderThan(key, startedAtMillis) : Optional.empty();
        return own.or(() -> between).or(() -> olderThan(key, chain.completeSinceMillis(key.key())));
    }

    /** Withholds a key for the horizon unless it proves to be younger than what is known. */
    private Optional<Failure> olderThan(ScopedKey key, long sinceMillis) {
        if (sinceMillis == Long.MIN_VALUE) {
            return Optional.empty();
        }
        long knownMillis = clock.monotonicMillis() - sinceMillis;
        long leftMillis = limits.horizonMillis() - knownMillis;
        OptionalLong time = KeyTime.of(key.key());
        boolean younger = time.isPresent() && time.getAsLong() > wallMillis(sinceMillis) + limits.clockBoundMillis();
        if (leftMillis <= 0 || younger) {
            return Optional.empty();
        }
        return Optional.of(Failure.retryable(
                ResultCode.KEY_WITHHELD_AFTER_RESTART,
                "the key may be older than the process that runs it, which can't know what ran before it",
                leftMillis));
    }

    /**
     * Tells whether a key was made after the predecessor had sealed its table. Another process may have lived between
     * the two, and such a key is the only kind that it can have run.
     */
    private boolean isBetweenProcesses(ScopedKey key) {
        OptionalLong time = KeyTime.of(key.key());
        return time.isPresent() && time.getAsLong() >= wallMillis(sealedAtMillis) - limits.clockBoundMillis();
    }

    private long wallMillis(long monotonicMillis) {
        return clock.wallMillis() - (clock.monotonicMillis() - monotonicMillis);
    }

    /** Judged early by the clock bound, so that no key is still accepted after the table has forgotten it. */
    private boolean isTooOld(long wallMillis) {
        return clock.wallMillis() - wallMillis >= limits.horizonMillis() - limits.clockBoundMillis();
    }

    private static Failure tooOld() {
        return Failure.of(ResultCode.KEY_EXPIRED, "the key is older than the retry horizon");
    }
}
