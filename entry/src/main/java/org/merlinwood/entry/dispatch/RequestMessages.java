package org.merlinwood.entry.dispatch;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import org.merlinwood.configuration.inventory.Instance;
import org.merlinwood.configuration.inventory.InstanceRole;
import org.merlinwood.core.identity.IdempotencyKey;
import org.merlinwood.decision.idempotency.MintedKeys;
import org.merlinwood.entry.machine.RequestAction;
import org.merlinwood.entry.request.AcceptedRequest;
import org.merlinwood.entry.request.ClassifiedRequest;
import org.merlinwood.entry.request.IdentifiedRequest;
import org.merlinwood.entry.request.KeyUse;
import org.merlinwood.protocol.PeerConnection;
import org.merlinwood.protocol.WireValues;
import org.merlinwood.wire.CacheHandle;
import org.merlinwood.wire.ExecuteDecode;
import org.merlinwood.wire.ExecutePlain;
import org.merlinwood.wire.ExecutePrefill;
import org.merlinwood.wire.Frame;
import org.merlinwood.wire.GrantRequest;
import org.merlinwood.wire.GrantUse;
import org.merlinwood.wire.Header;
import org.merlinwood.wire.Sampling;
import org.merlinwood.wire.WorkKind;

/** Makes the messages of one request. Used by the control thread only. */
final class RequestMessages {

    /** Headers that concern the caller's connection or name a secret of this system. */
    private static final Set<String> WITHHELD_HEADERS = Set.of(
            "authorization",
            "connection",
            "content-length",
            "expect",
            "host",
            "keep-alive",
            "proxy-authorization",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade");

    private final ClassifiedRequest request;
    private final DispatchComponents parts;
    private final ControlState state;

    RequestMessages(ClassifiedRequest request, DispatchComponents parts, ControlState state) {
        this.request = request;
        this.parts = parts;
        this.state = state;
    }

    // ------------------------------------------------------------------ public API

    /** Returns the one instance that the key allows; the outer value is empty where any may be chosen. */
    Optional<Optional<Instance>> boundInstance() {
        if (!(request instanceof ClassifiedRequest.PlainRequest call)) {
            return Optional.empty();
        }
        return switch (call.key()) {
            case KeyUse.Own own ->
                Optional.of(state.keyHomes().of(own.key(), call.service().name()));
            case KeyUse.Minted minted -> Optional.of(state.inventory().instance(minted.instance()));
            case KeyUse.NotNeeded none -> Optional.empty();
            case KeyUse.MintedForCall minted -> Optional.empty();
        };
    }

    GrantRequest grantRequest(RequestAction.RequestGrant ask, PeerConnection connection, long waitMillis) {
        IdentifiedRequest identified = request.identified();
        GrantRequest.Builder message = GrantRequest.newBuilder()
                .setRequest(WireValues.toWire(identified.accepted().identifier(), ask.attempt()))
                .setKind(kind(ask.role()))
                .setRevisions(WireValues.toWire(parts.revisions().get()))
                .setCaller(identified.caller().value())
                .setCallerClass(identified.callerClass().name())
                .setPriority(identified.callerClass().priority())
                .setWaitMillis((int) Math.min(waitMillis, Integer.MAX_VALUE));
        switch (request) {
            case ClassifiedRequest.ModelRequest call ->
                message.setModel(call.model().value())
                        .setPromptTokens(call.promptTokens())
                        .setMaximumTokens(call.sampling().maximumTokens())
                        .setFingerprint(call.fingerprint());
            case ClassifiedRequest.PlainRequest call -> {
                Optional<IdempotencyKey> key = key(call, ask.instance(), connection);
                message.setFingerprint(call.fingerprint())
                        .setNonIdempotent(key.isPresent())
                        .setIdempotencyKey(key.map(IdempotencyKey::value).orElse(""));
            }
            case ClassifiedRequest.MintRequest call -> throw new IllegalStateException("a key needs no grant");
        }
        return message.build();
    }

    Frame.Builder prefill(GrantUse use) {
        ClassifiedRequest.ModelRequest call = (ClassifiedRequest.ModelRequest) request;
        return Frame.newBuilder()
                .setExecutePrefill(ExecutePrefill.newBuilder()
                        .setUse(use)
                        .setModel(call.model().value())
                        .setPrompt(call.prompt())
                        .setPriority(call.identified().callerClass().priority()));
    }

    Frame.Builder decode(GrantUse use, Optional<CacheHandle> cache, List<String> tokensSoFar) {
        ClassifiedRequest.ModelRequest call = (ClassifiedRequest.ModelRequest) request;
        ExecuteDecode.Builder message = ExecuteDecode.newBuilder()
                .setUse(use)
                .setModel(call.model().value())
                .setPrompt(call.prompt())
                .setSampling(Sampling.newBuilder()
                        .setMaximumTokens(call.sampling().maximumTokens())
                        .setTemperature(call.sampling().temperature())
                        .setSeed(call.sampling().seed()))
                .addAllTokensSoFar(tokensSoFar)
                .setPriority(call.identified().callerClass().priority());
        cache.ifPresent(message::setCache);
        return Frame.newBuilder().setExecuteDecode(message);
    }

    Frame.Builder plain(GrantUse use, long remainingMillis) {
        AcceptedRequest accepted = request.identified().accepted();
        long timeoutMillis = Math.min(request.service().timeoutMillis(), Math.max(1, remainingMillis));
        ExecutePlain.Builder message = ExecutePlain.newBuilder()
                .setUse(use)
                .setMethod(accepted.method())
                .setPath(accepted.query().isEmpty() ? accepted.path() : accepted.path() + "?" + accepted.query())
                .setBody(ByteString.copyFrom(accepted.body()))
                .setTimeoutMillis((int) Math.min(timeoutMillis, Integer.MAX_VALUE));
        accepted.headers().stream()
                .filter(header -> !WITHHELD_HEADERS.contains(header.name().toLowerCase(Locale.ROOT)))
                .forEach(header -> message.addHeaders(
                        Header.newBuilder().setName(header.name()).setValue(header.value())));
        return Frame.newBuilder().setExecutePlain(message);
    }

    // ------------------------------------------------------------------ internals

    private Optional<IdempotencyKey> key(
            ClassifiedRequest.PlainRequest call, Instance instance, PeerConnection connection) {
        return switch (call.key()) {
            case KeyUse.NotNeeded none -> Optional.empty();
            case KeyUse.Own own -> Optional.of(own.key());
            case KeyUse.Minted minted -> Optional.of(minted.key());
            case KeyUse.MintedForCall minted -> Optional.of(mint(call, instance, connection, parts));
        };
    }

    static IdempotencyKey mint(
            ClassifiedRequest call, Instance instance, PeerConnection connection, DispatchComponents parts) {
        return MintedKeys.mint(
                call.service().name(),
                instance.name(),
                connection.peer().incarnation(),
                call.identified().caller(),
                parts.clock().wallMillis(),
                ThreadLocalRandom.current().nextLong(),
                parts.keys().getFirst());
    }

    private static WorkKind kind(InstanceRole role) {
        return switch (role) {
            case PREFILL -> WorkKind.PREFILL;
            case DECODE -> WorkKind.DECODE;
            case PLAIN -> WorkKind.PLAIN;
            case ENTRY -> throw new IllegalArgumentException("an entry grants nothing");
        };
    }
}
