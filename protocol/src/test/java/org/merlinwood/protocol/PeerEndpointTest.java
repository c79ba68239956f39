package org.merlinwood.protocol;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
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

final class PeerEndpointTest {

    private static final ExchangeAcceptor ECHO = (exchange, first) -> {
        exchange.send(echoOf(first));
        return new ExchangeListener() {
            @Override
            public void onFrame(Exchange same, Frame frame) {
                same.send(echoOf(frame));
            }

            @Override
            public void onClosed(Exchange same, ResultCode code) {}
        };
    };
    private static final ExchangeAcceptor SILENT = (exchange, first) -> new RecordingListener();
    private static final ProtocolLimits QUICK =
            new ProtocolLimits(64 << 10, 1 << 10, 1_000, 100, 400, 60_000, 64, 16, 1 << 20);

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
    void authenticatesWhenTheKeysOverlap(List<AuthenticationKey> accepting, List<AuthenticationKey> connecting)
            throws Exception {
        try (EndpointPair pair = new EndpointPair(accepting, connecting, QUICK, Map.of())) {
            assertThat(pair.connect().peer().role()).isEqualTo(PeerRole.SIDECAR);
        }
    }

    @Test
    void refusesAndCountsAKeyThatIsNotValid() throws Exception {
        AuthenticationKey forged = new AuthenticationKey(EndpointPair.FIRST_KEY.identifier(), "33".repeat(32));
        try (EndpointPair pair = new EndpointPair(List.of(EndpointPair.FIRST_KEY), List.of(forged), QUICK, Map.of())) {
            assertThat(pair.connectInVain().code()).isEqualTo(ResultCode.AUTHENTICATION_FAILED);
        }
    }

    @Test
    void carriesManyExchangesOnOneConnection() throws Exception {
        try (EndpointPair pair = pairWith(ECHO)) {
            PeerConnection connection = pair.connect();
            List<RecordingListener> listeners = new ArrayList<>();
            for (int number = 1; number <= 10; number++) {
                RecordingListener listener = new RecordingListener();
                listeners.add(listener);
                connection.open(listener).send(release(number));
            }
            for (int number = 1; number <= 10; number++) {
                Frame answer = listeners.get(number - 1).nextFrame();
                assertThat(answer.getQueued().getExpectedWaitMillis()).isEqualTo(number);
            }
            assertThat(pair.connect()).isSameAs(connection);
        }
    }

    @Test
    void keepsAConnectionAliveByHeartbeatsWhileAnExchangeIsOpen() throws Exception {
        try (EndpointPair pair = pairWith(SILENT)) {
            PeerConnection connection = pair.connect();
            connection.open(new RecordingListener()).send(release(1));
            Thread.sleep(4 * QUICK.silenceMillis());
            assertThat(connection.isOpen()).isTrue();
        }
    }

    @Test
    void tellsEveryExchangeWhenThePeerGoes() throws Exception {
        try (EndpointPair pair = pairWith(SILENT)) {
            RecordingListener listener = new RecordingListener();
            pair.connect().open(listener).send(release(1));
            pair.accepting.close();
            assertThat(listener.end()).isEqualTo(ResultCode.CONNECTION_LOST);
        }
    }

    @Test
    void closesAConnectionWhoseFirstFrameIsNotAccepted() throws Exception {
        try (EndpointPair pair =
                new EndpointPair(List.of(EndpointPair.FIRST_KEY), List.of(EndpointPair.FIRST_KEY), QUICK, Map.of())) {
            RecordingListener listener = new RecordingListener();
            pair.connect().open(listener).send(release(1));
            assertThat(listener.end()).isNotNull();
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "GET / HTTP/1.1\r\n\r\n", "\u007f\u007f\u007f\u007f", "\0\0\0\u0003abc"})
    void servesOthersWhileStrangersSendNonsense(String nonsense) throws Exception {
        try (EndpointPair pair = pairWith(ECHO)) {
            List<Socket> strangers = new ArrayList<>();
            try {
                for (int count = 0; count < QUICK.maximumUnauthenticated() / 2; count++) {
                    Socket stranger = new Socket(
                            "127.0.0.1", pair.accepting.boundAddress().getPort());
                    strangers.add(stranger);
                    stranger.getOutputStream().write(nonsense.getBytes(StandardCharsets.ISO_8859_1));
                }
                RecordingListener listener = new RecordingListener();
                pair.connect().open(listener).send(release(7));
                assertThat(listener.nextFrame().getQueued().getExpectedWaitMillis())
                        .isEqualTo(7);
                for (Socket stranger : strangers) {
                    stranger.setSoTimeout(EndpointPair.PATIENCE_SECONDS * 1_000);
                    assertThat(stranger.getInputStream().read()).isEqualTo(-1);
                }
                assertThat(pair.refusals).hasSize(strangers.size());
            } finally {
                for (Socket stranger : strangers) {
                    stranger.close();
                }
            }
        }
    }

    private static EndpointPair pairWith(ExchangeAcceptor acceptor) {
        return new EndpointPair(
                List.of(EndpointPair.FIRST_KEY),
                List.of(EndpointPair.FIRST_KEY),
                QUICK,
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
