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

/** What a peer sends behind the last frame must not meet an exchange that is about to be forgotten. */
final class ResponseChannelEndTest {

    private final List<String> events = new ArrayList<>();

    @Test
    void theExchangeIsForgottenBeforeItsLastFrameLeaves() {
        ResponseChannel channel = new ResponseChannel(
                new RecordingExchange(),
                RequestIdentity.getDefaultInstance(),
                new Incarnation(1),
                Load::getDefaultInstance,
                () -> new Revisions(Revisions.NONE, Revisions.NONE));
        channel.refuse(Failure.of(ResultCode.GRANT_EXPIRED, "lapsed"));
        assertThat(events).containsExactly("finish", "send");
    }

    private final class RecordingExchange implements Exchange {

        @Override
        public PeerConnection connection() {
            throw new UnsupportedOperationException("an answer needs no connection");
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
