package org.merlinwood.protocol;

import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.merlinwood.core.identity.Incarnation;
import org.merlinwood.core.identity.InstanceName;
import org.merlinwood.core.result.Failure;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.wire.Frame;

/** An accepting and a connecting endpoint on loopback. Closed by the test. */
final class EndpointPair implements AutoCloseable {

    static final AuthenticationKey FIRST_KEY = new AuthenticationKey(1, "11".repeat(32));
    static final AuthenticationKey SECOND_KEY = new AuthenticationKey(2, "22".repeat(32));
    static final int TIMEOUT_SECONDS = 20;

    final List<ResultCode> refusals = new CopyOnWriteArrayList<>();
    final PeerEndpoint accepting;
    final PeerEndpoint connecting;

    EndpointPair(
            List<AuthenticationKey> acceptingKeys,
            List<AuthenticationKey> connectingKeys,
            ProtocolLimits limits,
            Map<Frame.BodyCase, ExchangeAcceptor> acceptors) {
        PeerEndpoint.Builder builder = PeerEndpoint.builder()
                .identity(identity("sidecar", PeerRole.SIDECAR))
                .keys(acceptingKeys)
                .limits(limits)
                .observer(new BaseProtocolObserver() {
                    @Override
                    public void onRefused(ResultCode code) {
                        refusals.add(code);
                    }
                })
                .listenAddress(new InetSocketAddress("127.0.0.1", 0));
        acceptors.forEach(builder::acceptor);
        accepting = builder.build();
        connecting = PeerEndpoint.builder()
                .identity(identity("entry", PeerRole.ENTRY))
                .keys(connectingKeys)
                .limits(limits)
                .build();
        accepting.start();
        connecting.start();
    }

    /** Connects; fails with the failure of the connection if it can't be established. */
    PeerConnection connect() throws Exception {
        return awaitConnection().getOrElseThrow(failure -> new AssertionError("not connected: " + failure));
    }

    Failure connectExpectingFailure() throws Exception {
        return awaitConnection().getLeft();
    }

    private Either<Failure, PeerConnection> awaitConnection() throws Exception {
        return connecting
                .connect(accepting.boundAddress())
                .toCompletableFuture()
                .get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    @Override
    public void close() {
        connecting.close();
        accepting.close();
    }

    private static PeerIdentity identity(String name, PeerRole role) {
        return new PeerIdentity(new InstanceName(name), new Incarnation(name.hashCode()), role);
    }
}
