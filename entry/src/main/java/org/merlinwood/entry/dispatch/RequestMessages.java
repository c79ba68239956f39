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
import org.merlinwood.decision.prefix.PrefixBlocks;
import org.merlinwood.decision.suspicion.PrefixSuspicionRegistry;
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

/** Builds the messages to sidecars for one request. Used by the control thread only. */
final class RequestMessages {

    /**
     * Headers that are not forwarded: they apply to the caller's connection only or contain credentials for this
     * system.
     */
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
    private final DispatchComponents components;
    private final ControlState state;

    RequestMessages(ClassifiedRequest request, DispatchComponents components, ControlState state) {
        this.request = request;
        this.components = components;
        this.state = state;
    }

    // ------------------------------------------------------------------ public API

    /**
     * Returns the only instance that the key allows. The outer value is empty if any instance may be chosen, the inner
     * one if that instance does not exist.
     */
    Optional<Optional<Instance>> boundInstance() {
        if (!(request instanceof ClassifiedRequest.PlainRequest plainRequest)) {
            return Optional.empty();
        }
        return switch (plainRequest.key()) {
            case KeyUse.Own own ->
                Optional.of(
                        state.keyHomes().of(own.key(), plainRequest.service().name()));
            case KeyUse.Minted minted -> Optional.of(state.inventory().instance(minted.instance()));
            case KeyUse.NotNeeded none -> Optional.empty();
            case KeyUse.MintedForRequest minted -> Optional.empty();
        };
    }

    GrantRequest grantRequest(RequestAction.RequestGrant grant, PeerConnection connection, long waitMillis) {
        IdentifiedRequest identified = request.identified();
        GrantRequest.Builder message = GrantRequest.newBuilder()
                .setRequest(WireValues.toWire(identified.accepted().identifier(), grant.attempt()))
                .setKind(workKind(grant.role()))
                .setRevisions(WireValues.toWire(components.revisions().get()))
                .setCaller(identified.caller().value())
                .setCallerClass(identified.callerClass().name())
                .setPriority(identified.callerClass().priority())
                .setWaitMillis((int) Math.min(waitMillis, Integer.MAX_VALUE));
        switch (request) {
            case ClassifiedRequest.ModelRequest modelRequest ->
                message.setModel(modelRequest.model().value())
                        .setPromptTokens(modelRequest.promptTokens())
                        .setMaximumTokens(modelRequest.sampling().maximumTokens())
                        .setFingerprint(modelRequest.fingerprint())
                        .addAllPrefixBlocks(comparedPrefixes(modelRequest.blocks()));
            case ClassifiedRequest.PlainRequest plainRequest -> {
                Optional<IdempotencyKey> key = key(plainRequest, grant.instance(), connection);
                message.setFingerprint(plainRequest.fingerprint())
                        .setNonIdempotent(key.isPresent())
                        .setIdempotencyKey(key.map(IdempotencyKey::value).orElse(""));
            }
            case ClassifiedRequest.MintRequest mint -> throw new IllegalStateException("a mint request needs no grant");
        }
        return message.build();
    }

    private static List<Long> comparedPrefixes(PrefixBlocks blocks) {
        List<Long> hashes = blocks.hashes();
        return hashes.subList(0, Math.min(PrefixSuspicionRegistry.MAXIMUM_PREFIXES, hashes.size()));
    }

    Frame.Builder prefill(GrantUse use) {
        ClassifiedRequest.ModelRequest modelRequest = (ClassifiedRequest.ModelRequest) request;
        return Frame.newBuilder()
                .setExecutePrefill(ExecutePrefill.newBuilder()
                        .setUse(use)
                        .setModel(modelRequest.model().value())
                        .setPrompt(modelRequest.prompt())
                        .setPriority(modelRequest.identified().callerClass().priority()));
    }

    Frame.Builder decode(GrantUse use, Optional<CacheHandle> cache, List<String> tokensSoFar) {
        ClassifiedRequest.ModelRequest modelRequest = (ClassifiedRequest.ModelRequest) request;
        ExecuteDecode.Builder message = ExecuteDecode.newBuilder()
                .setUse(use)
                .setModel(modelRequest.model().value())
                .setPrompt(modelRequest.prompt())
                .setSampling(Sampling.newBuilder()
                        .setMaximumTokens(modelRequest.sampling().maximumTokens())
                        .setTemperature(modelRequest.sampling().temperature())
                        .setSeed(modelRequest.sampling().seed()))
                .addAllTokensSoFar(tokensSoFar)
                .setPriority(modelRequest.identified().callerClass().priority());
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
            ClassifiedRequest.PlainRequest plainRequest, Instance instance, PeerConnection connection) {
        return switch (plainRequest.key()) {
            case KeyUse.NotNeeded none -> Optional.empty();
            case KeyUse.Own own -> Optional.of(own.key());
            case KeyUse.Minted minted -> Optional.of(minted.key());
            case KeyUse.MintedForRequest minted -> Optional.of(mint(plainRequest, instance, connection, components));
        };
    }

    static IdempotencyKey mint(
            ClassifiedRequest request, Instance instance, PeerConnection connection, DispatchComponents components) {
        return MintedKeys.mint(
                request.service().name(),
                instance.name(),
                connection.peer().incarnation(),
                request.identified().caller(),
                components.clock().wallMillis(),
                ThreadLocalRandom.current().nextLong(),
                components.keys().getFirst());
    }

    private static WorkKind workKind(InstanceRole role) {
        return switch (role) {
            case PREFILL -> WorkKind.PREFILL;
            case DECODE -> WorkKind.DECODE;
            case PLAIN -> WorkKind.PLAIN;
            case ENTRY -> throw new IllegalArgumentException("entries do not grant work");
        };
    }
}
