package org.merlinwood.protocol;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.wire.Frame;
import org.merlinwood.wire.Queued;
import org.merlinwood.wire.Release;

/** Tests handshake, exchanges and heartbeats between two endpoints over loopback. */
final class PeerEndpointTest {

    private static final ExchangeAcceptor ECHO = (exchange, first) -> {
        exchange.send(echoOf(first));
        return new ExchangeListener() {
            @Override
            public void onFrame(Exchange echoed, Frame frame) {
                echoed.send(echoOf(frame));
            }

            @Override
            public void onClosed(Exchange echoed, ResultCode code) {}
        };
    };
    private static final ExchangeAcceptor SILENT = (exchange, first) -> new RecordingListener();
    /** Short limits of a session; no test but that of silent clients waits for the timeout of the handshake. */
    private static final ProtocolLimits SHORT_LIMITS = limits(TimeUnit.SECONDS.toMillis(EndpointPair.TIMEOUT_SECONDS));

    private static final ProtocolLimits SHORT_HANDSHAKE_LIMITS = limits(5_000);

    static Stream<Arguments> keyRings() {
        AuthenticationKey first = EndpointPair.FIRST_KEY;
        AuthenticationKey second = EndpointPair.SECOND_KEY;
        return Stream.of(
                Arguments.of(List.of(first), List.of(first)),
                Arguments.of(List.of(first, second), List.of(second, first)),
                Arguments.of(List.of(first, second), List.of(first)));
    }

    @ParameterizedTest
    @MethodSource("keyRings")
    void authenticatesWhenKeysOverlap(List<AuthenticationKey> accepting, List<AuthenticationKey> connecting)
            throws Exception {
        try (EndpointPair pair = new EndpointPair(accepting, connecting, SHORT_LIMITS, Map.of())) {
            assertThat(pair.connect().peer().role()).isEqualTo(PeerRole.SIDECAR);
        }
    }

    @Test
    void refusesConnectionWithInvalidKey() throws Exception {
        AuthenticationKey forged = new AuthenticationKey(EndpointPair.FIRST_KEY.identifier(), "33".repeat(32));
        try (EndpointPair pair =
                new EndpointPair(List.of(EndpointPair.FIRST_KEY), List.of(forged), SHORT_LIMITS, Map.of())) {
            assertThat(pair.connectExpectingFailure().code()).isEqualTo(ResultCode.AUTHENTICATION_FAILED);
        }
    }

    @Test
    void multiplexesExchangesOnOneConnection() throws Exception {
        try (EndpointPair pair = pairWith(ECHO)) {
            PeerConnection connection = pair.connect();
            List<RecordingListener> listeners = new ArrayList<>();
            for (int number = 1; number <= 10; number++) {
                RecordingListener listener = new RecordingListener();
                listeners.add(listener);
                connection.open(listener).send(release(number));
            }
            for (int number = 1; number <= 10; number++) {
                Frame response = listeners.get(number - 1).nextFrame();
                assertThat(response.getQueued().getExpectedWaitMillis()).isEqualTo(number);
            }
            assertThat(pair.connect()).isSameAs(connection);
        }
    }

    @Test
    void heartbeatsKeepConnectionOpenWhileExchangeIsOpen() throws Exception {
        try (EndpointPair pair = pairWith(SILENT)) {
            PeerConnection connection = pair.connect();
            RecordingListener listener = new RecordingListener();
            connection.open(listener).send(release(1));
            assertThat(listener.closeCodeWithin(4 * SHORT_LIMITS.silenceMillis()))
                    .isEmpty();
            assertThat(connection.isOpen()).isTrue();
        }
    }

    @Test
    void notifiesExchangeWhenPeerCloses() throws Exception {
        try (EndpointPair pair = pairWith(SILENT)) {
            RecordingListener listener = new RecordingListener();
            pair.connect().open(listener).send(release(1));
            pair.accepting.close();
            assertThat(listener.closeCode()).isEqualTo(ResultCode.CONNECTION_LOST);
        }
    }

    @Test
    void closesConnectionWhenFirstFrameHasNoAcceptor() throws Exception {
        try (EndpointPair pair = new EndpointPair(
                List.of(EndpointPair.FIRST_KEY), List.of(EndpointPair.FIRST_KEY), SHORT_LIMITS, Map.of())) {
            RecordingListener listener = new RecordingListener();
            pair.connect().open(listener).send(release(1));
            assertThat(listener.closeCode()).isNotNull();
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "GET / HTTP/1.1\r\n\r\n", "\u007f\u007f\u007f\u007f", "\0\0\0\u0003abc"})
    void servesPeersWhileUnauthenticatedClientsSendGarbage(String garbage) throws Exception {
        try (EndpointPair pair = pairWith(ECHO, SHORT_HANDSHAKE_LIMITS)) {
            List<Socket> clients = new ArrayList<>();
            try {
                for (int count = 0; count < SHORT_LIMITS.maximumUnauthenticated() / 2; count++) {
                    Socket client = new Socket(
                            "127.0.0.1", pair.accepting.boundAddress().getPort());
                    clients.add(client);
                    client.getOutputStream().write(garbage.getBytes(StandardCharsets.ISO_8859_1));
                }
                RecordingListener listener = new RecordingListener();
                pair.connect().open(listener).send(release(7));
                assertThat(listener.nextFrame().getQueued().getExpectedWaitMillis())
                        .isEqualTo(7);
                for (Socket client : clients) {
                    client.setSoTimeout(EndpointPair.TIMEOUT_SECONDS * 1_000);
                    assertThat(client.getInputStream().read()).isEqualTo(-1);
                }
                assertThat(pair.refusals).hasSize(clients.size());
            } finally {
                for (Socket client : clients) {
                    client.close();
                }
            }
        }
    }

    private static ProtocolLimits limits(long handshakeMillis) {
        return new ProtocolLimits(64 << 10, 1 << 10, handshakeMillis, 100, 400, 60_000, 64, 16, 1 << 20);
    }

    private static EndpointPair pairWith(ExchangeAcceptor acceptor) {
        return pairWith(acceptor, SHORT_LIMITS);
    }

    private static EndpointPair pairWith(ExchangeAcceptor acceptor, ProtocolLimits limits) {
        return new EndpointPair(
                List.of(EndpointPair.FIRST_KEY),
                List.of(EndpointPair.FIRST_KEY),
                limits,
                Map.of(Frame.BodyCase.RELEASE, acceptor));
    }

    private static Frame.Builder release(long grant) {
        return Frame.newBuilder().setRelease(Release.newBuilder().setGrant(grant));
    }

    private static Frame.Builder echoOf(Frame frame) {
        int grant = (int) frame.getRelease().getGrant();
        return Frame.newBuilder().setQueued(Queued.newBuilder().setExpectedWaitMillis(grant));
    }
}
