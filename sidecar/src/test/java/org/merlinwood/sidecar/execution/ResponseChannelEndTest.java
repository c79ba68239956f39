package org.merlinwood.sidecar.execution;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.merlinwood.core.identity.Incarnation;
import org.merlinwood.core.identity.Revisions;
import org.merlinwood.core.result.Failure;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.protocol.Exchange;
import org.merlinwood.protocol.PeerConnection;
import org.merlinwood.wire.Frame;
import org.merlinwood.wire.Load;
import org.merlinwood.wire.RequestIdentity;

/**
 * A frame that the peer sends after the last frame must open a new exchange. If the exchange were finished only after
 * its last frame was sent, that frame could still reach it and be lost.
 */
final class ResponseChannelEndTest {

    private final List<String> events = new ArrayList<>();

    @Test
    void exchangeIsFinishedBeforeLastFrameIsSent() {
        ResponseChannel channel = new ResponseChannel(
                new RecordingExchange(),
                RequestIdentity.getDefaultInstance(),
                new Incarnation(1),
                Load::getDefaultInstance,
                () -> new Revisions(Revisions.NONE, Revisions.NONE));
        channel.refuse(Failure.of(ResultCode.GRANT_EXPIRED, "the grant expired before it was used"));
        assertThat(events).containsExactly("finish", "send");
    }

    private final class RecordingExchange implements Exchange {

        @Override
        public PeerConnection connection() {
            throw new UnsupportedOperationException("a response needs no connection");
        }

        @Override
        public boolean send(Frame.Builder frame) {
            events.add("send");
            return true;
        }

        @Override
        public void finish() {
            events.add("finish");
        }
    }
}
