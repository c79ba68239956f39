package org.merlinwood.sidecar.admission;

import java.util.List;
import org.merlinwood.configuration.inventory.InstanceRole;
import org.merlinwood.core.identity.CallerName;
import org.merlinwood.core.identity.IdempotencyKey;
import org.merlinwood.core.identity.RequestIdentifier;
import org.merlinwood.decision.grant.AttemptIdentity;
import org.merlinwood.decision.grant.GrantDemand;
import org.merlinwood.decision.grant.SessionNumber;
import org.merlinwood.decision.idempotency.Fingerprint;
import org.merlinwood.decision.idempotency.KeyedRequest;
import org.merlinwood.decision.idempotency.ScopedKey;
import org.merlinwood.decision.placement.LoadObservation;
import org.merlinwood.decision.prefix.PrefixBlocks;
import org.merlinwood.decision.suspicion.PrefixSuspicionRegistry;
import org.merlinwood.protocol.WireValues;
import org.merlinwood.wire.GrantRequest;
import org.merlinwood.wire.Load;
import org.merlinwood.wire.RequestIdentity;
import org.merlinwood.wire.WorkKind;

/** Converts grant messages from and to the values of the grant manager. Stateless. */
final class GrantMessages {

    private static final int LOWEST_PRIORITY = 9;
    private static final String UNNAMED_CALLER = "unnamed";

    private GrantMessages() {}

    static AttemptIdentity attempt(RequestIdentity identity) {
        RequestIdentifier request = WireValues.fromWire(identity);
        return new AttemptIdentity(request, identity.getAttempt());
    }

    static boolean isKeyed(GrantRequest request) {
        return request.getKind() == WorkKind.PLAIN
                && (request.getNonIdempotent() || !request.getIdempotencyKey().isEmpty());
    }

    static Fingerprint fingerprint(GrantRequest request) {
        return Fingerprint.of(request.getFingerprint().toByteArray());
    }

    /** Returns the prefixes of a prompt, the longest ones left out if there are too many. */
    static PrefixBlocks prefixes(GrantRequest request) {
        List<Long> hashes = request.getPrefixBlocksList();
        return PrefixBlocks.ofHashes(
                hashes.subList(0, Math.min(PrefixSuspicionRegistry.MAXIMUM_PREFIXES, hashes.size())));
    }

    static KeyedRequest keyedRequest(GrantRequest request) {
        ScopedKey key = new ScopedKey(
                new CallerName(request.getCaller().isBlank() ? UNNAMED_CALLER : request.getCaller()),
                new IdempotencyKey(request.getIdempotencyKey()));
        return new KeyedRequest(key, fingerprint(request));
    }

    static GrantDemand demand(GrantRequest request, SessionNumber session, int units) {
        return new GrantDemand(
                session,
                attempt(request.getRequest()),
                units,
                request.getKind() == WorkKind.PREFILL ? promptTokens(request) : 0,
                Math.clamp(Integer.toUnsignedLong(request.getPriority()), 0, LOWEST_PRIORITY),
                Integer.toUnsignedLong(request.getWaitMillis()));
    }

    static boolean matchesRole(WorkKind kind, ServingConfiguration configuration) {
        return switch (kind) {
            case PREFILL -> configuration.hasRole(InstanceRole.PREFILL);
            case DECODE -> configuration.hasRole(InstanceRole.DECODE);
            case PLAIN -> configuration.hasRole(InstanceRole.PLAIN);
            case WORK_KIND_UNSPECIFIED, UNRECOGNIZED -> false;
        };
    }

    static Load toWire(LoadObservation load) {
        return Load.newBuilder()
                .setFreePieces(load.freePieces())
                .setTotalPieces(load.totalPieces())
                .setRunning(load.running())
                .setQueued(load.queued())
                .setExpectedWaitMillis((int) Math.min(Integer.MAX_VALUE, load.expectedWaitMillis()))
                .setQueuedTokens(load.queuedTokens())
                .setDraining(load.draining())
                .build();
    }

    static int units(GrantRequest request) {
        return switch (request.getKind()) {
            case DECODE ->
                GrantDemand.piecesOf(promptTokens(request) + Integer.toUnsignedLong(request.getMaximumTokens()));
            case PREFILL, PLAIN, WORK_KIND_UNSPECIFIED, UNRECOGNIZED -> 1;
        };
    }

    static boolean exceedsMemory(GrantRequest request, ServingConfiguration configuration) {
        return request.getKind() == WorkKind.PREFILL
                && GrantDemand.piecesOf(promptTokens(request)) > configuration.pieces();
    }

    private static long promptTokens(GrantRequest request) {
        return Integer.toUnsignedLong(request.getPromptTokens());
    }
}
