package org.merlinwood.sidecar;

import com.google.protobuf.ByteString;
import org.merlinwood.core.identity.RequestIdentifier;
import org.merlinwood.protocol.WireValues;
import org.merlinwood.wire.CacheHandle;
import org.merlinwood.wire.Cancel;
import org.merlinwood.wire.ExecuteDecode;
import org.merlinwood.wire.ExecutePlain;
import org.merlinwood.wire.ExecutePrefill;
import org.merlinwood.wire.Frame;
import org.merlinwood.wire.GrantRequest;
import org.merlinwood.wire.GrantUse;
import org.merlinwood.wire.Granted;
import org.merlinwood.wire.RequestIdentity;
import org.merlinwood.wire.Sampling;
import org.merlinwood.wire.WorkKind;

/** Builds the frames that an entry sends. */
final class EntryFrames {

    static final int WAIT_MILLIS = 10_000;

    private EntryFrames() {}

    static RequestIdentity identity(long request) {
        return WireValues.toWire(new RequestIdentifier(0, request), 1);
    }

    static Frame.Builder grantRequest(WorkKind kind, long request) {
        return Frame.newBuilder().setGrantRequest(grantRequestBuilder(kind, request));
    }

    static GrantRequest.Builder grantRequestBuilder(WorkKind kind, long request) {
        return GrantRequest.newBuilder()
                .setRequest(identity(request))
                .setKind(kind)
                .setModel(kind == WorkKind.PLAIN ? "" : SidecarFixture.MODEL)
                .setPriority(5)
                .setPromptTokens(100)
                .setMaximumTokens(100)
                .setWaitMillis(WAIT_MILLIS);
    }

    static GrantUse grantUse(Granted granted, long request) {
        return GrantUse.newBuilder()
                .setGrant(granted.getGrant())
                .setIncarnation(granted.getIncarnation())
                .setRequest(identity(request))
                .build();
    }

    static Frame.Builder prefill(Granted granted, long request, String prompt) {
        return Frame.newBuilder()
                .setExecutePrefill(ExecutePrefill.newBuilder()
                        .setUse(grantUse(granted, request))
                        .setModel(SidecarFixture.MODEL)
                        .setPrompt(prompt));
    }

    static ExecuteDecode.Builder decode(Granted granted, long request, String prompt, int maximumTokens) {
        return ExecuteDecode.newBuilder()
                .setUse(grantUse(granted, request))
                .setModel(SidecarFixture.MODEL)
                .setPrompt(prompt)
                .setSampling(Sampling.newBuilder().setMaximumTokens(maximumTokens));
    }

    static Frame.Builder frame(ExecuteDecode.Builder decode) {
        return Frame.newBuilder().setExecuteDecode(decode);
    }

    static Frame.Builder withCache(ExecuteDecode.Builder decode, CacheHandle cache) {
        return frame(decode.setCache(cache));
    }

    static Frame.Builder plain(Granted granted, long request, String method, String path, String body) {
        return Frame.newBuilder()
                .setExecutePlain(ExecutePlain.newBuilder()
                        .setUse(grantUse(granted, request))
                        .setMethod(method)
                        .setPath(path)
                        .setBody(ByteString.copyFromUtf8(body)));
    }

    static Frame.Builder cancel(long request) {
        return Frame.newBuilder().setCancel(Cancel.newBuilder().setRequest(identity(request)));
    }
}
