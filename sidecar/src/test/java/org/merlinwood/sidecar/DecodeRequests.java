package org.merlinwood.sidecar;

import com.google.protobuf.ByteString;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import org.merlinwood.decision.prefix.PrefixBlocks;
import org.merlinwood.protocol.PeerConnection;
import org.merlinwood.standin.engine.EngineOptions;
import org.merlinwood.standin.engine.ModelEngine;
import org.merlinwood.wire.Frame;
import org.merlinwood.wire.Granted;
import org.merlinwood.wire.WorkKind;

/** Requests to a sidecar whose engine generates responses, identified by the content of their prompts. */
final class DecodeRequests {

    private DecodeRequests() {}

    /** Starts an engine; port 0 stands for any port. */
    static ModelEngine engine(int port) {
        EngineOptions options = EngineOptions.builder()
                .models(List.of(SidecarFixture.MODEL))
                .stepMillis(10, 0)
                .build();
        return new ModelEngine(
                new InetSocketAddress("127.0.0.1", port), SidecarFixture.ANY_PORT, options, Optional.empty());
    }

    /** Waits for the grant of a request and starts its execution. */
    static ProbeExchange run(PeerConnection connection, long request, String prompt, int tokens)
            throws InterruptedException {
        return resume(connection, request, prompt, tokens, List.of());
    }

    /** As {@link #run}, for a response of which the caller already has some tokens. */
    static ProbeExchange resume(
            PeerConnection connection, long request, String prompt, int tokens, List<String> tokensSoFar)
            throws InterruptedException {
        ProbeExchange exchange = requestGrant(connection, request, prompt);
        Frame response = exchange.next();
        while (response.hasQueued()) {
            response = exchange.next();
        }
        Granted granted = response.getGranted();
        return exchange.send(EntryFrames.frame(
                EntryFrames.decode(granted, request, prompt, tokens).addAllTokensSoFar(tokensSoFar)));
    }

    /** Returns the code of the refusal, or 0 if a grant was issued. The request is cancelled in both cases. */
    static int refusalCode(PeerConnection connection, long request, String prompt) {
        try {
            ProbeExchange exchange = requestGrant(connection, request, prompt);
            Frame response = exchange.next();
            exchange.send(EntryFrames.cancel(request));
            return response.getRefused().getCode();
        } catch (InterruptedException exception) {
            throw new IllegalStateException(exception);
        }
    }

    private static ProbeExchange requestGrant(PeerConnection connection, long request, String prompt) {
        return new ProbeExchange(connection)
                .send(Frame.newBuilder()
                        .setGrantRequest(EntryFrames.grantRequestBuilder(WorkKind.DECODE, request)
                                .addAllPrefixBlocks(PrefixBlocks.of(prompt).hashes())
                                .setFingerprint(ByteString.copyFromUtf8(prompt))));
    }
}
