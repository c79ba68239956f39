package org.merlinwood.protocol;

import com.google.errorprone.annotations.CanIgnoreReturnValue;
import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;
import org.merlinwood.core.identity.Revisions;
import org.merlinwood.core.result.Failure;
import org.merlinwood.protocol.impl.NettyPeerEndpoint;
import org.merlinwood.wire.Frame;

/**
 * Manages the connections between this process and its peers: accepts connections and opens others on demand.
 *
 * <p>An endpoint is built, started and closed once. Thread-safe after {@link #start()}.
 */
public interface PeerEndpoint extends AutoCloseable {

    // ------------------------------------------------------------------ configuration

    /**
     * Returns a builder with the default limits and no acceptors.
     *
     * @return a new builder
     */
    static Builder builder() {
        return new Builder();
    }

    /** Builder of an endpoint. Not thread-safe. */
    final class Builder {

        private PeerIdentity identity;
        private List<AuthenticationKey> keys = List.of();
        private Optional<InetSocketAddress> listenAddress = Optional.empty();
        private ProtocolLimits limits = ProtocolLimits.defaults();
        private Supplier<Revisions> revisions = () -> new Revisions(Revisions.NONE, Revisions.NONE);
        private ProtocolObserver observer = new BaseProtocolObserver();
        private int threads = 2;
        private final Map<Frame.BodyCase, ExchangeAcceptor> acceptors = new EnumMap<>(Frame.BodyCase.class);

        private Builder() {}

        /**
         * Sets the identity of this process. Required.
         *
         * @param value the identity sent in handshakes
         * @return this builder
         */
        @CanIgnoreReturnValue
        public Builder identity(PeerIdentity value) {
            identity = Objects.requireNonNull(value, "identity");
            return this;
        }

        /**
         * Sets the valid keys. Required.
         *
         * @param values one key, or two during a rotation; this process proposes the first, a peer may use any
         * @return this builder
         */
        @CanIgnoreReturnValue
        public Builder keys(List<AuthenticationKey> values) {
            keys = List.copyOf(values);
            return this;
        }

        /**
         * Sets the address on which connections are accepted. By default none are accepted.
         *
         * @param value a numeric address; with port 0 the system chooses a port
         * @return this builder
         */
        @CanIgnoreReturnValue
        public Builder listenAddress(InetSocketAddress value) {
            listenAddress = Optional.of(value);
            return this;
        }

        /**
         * Sets the limits. By default {@link ProtocolLimits#defaults()} are used.
         *
         * @param value the limits
         * @return this builder
         */
        @CanIgnoreReturnValue
        public Builder limits(ProtocolLimits value) {
            limits = Objects.requireNonNull(value, "limits");
            return this;
        }

        /**
         * Sets the source of the revisions that are sent in handshakes and heartbeats. By default there are none.
         *
         * @param value returns the active revisions; called on event loops, must not block
         * @return this builder
         */
        @CanIgnoreReturnValue
        public Builder revisions(Supplier<Revisions> value) {
            revisions = Objects.requireNonNull(value, "revisions");
            return this;
        }

        /**
         * Sets the observer of connection events. By default events are ignored.
         *
         * @param value the observer; called on event loops
         * @return this builder
         */
        @CanIgnoreReturnValue
        public Builder observer(ProtocolObserver value) {
            observer = Objects.requireNonNull(value, "observer");
            return this;
        }

        /**
         * Sets the number of event loop threads. The default is 2.
         *
         * @param value a positive number
         * @return this builder
         */
        @CanIgnoreReturnValue
        public Builder threads(int value) {
            threads = value;
            return this;
        }

        /**
         * Registers an acceptor for exchanges that begin with a kind of frame. An exchange without a matching acceptor
         * is a protocol violation and closes the connection.
         *
         * @param first the kind of the first frame
         * @param acceptor accepts the exchanges
         * @return this builder
         */
        @CanIgnoreReturnValue
        public Builder acceptor(Frame.BodyCase first, ExchangeAcceptor acceptor) {
            acceptors.put(first, acceptor);
            return this;
        }

        /**
         * Builds the endpoint, which does not listen until it is started.
         *
         * @return the endpoint
         * @throws IllegalStateException if identity or keys are missing
         */
        public PeerEndpoint build() {
            if (identity == null || keys.isEmpty()) {
                throw new IllegalStateException("identity and at least one key must be set");
            }
            return new NettyPeerEndpoint(
                    identity, keys, listenAddress, limits, revisions, observer, threads, Map.copyOf(acceptors));
        }
    }

    // ------------------------------------------------------------------ life-cycle

    /**
     * Starts listening if a listen address is set.
     *
     * @throws java.io.UncheckedIOException if the address can't be bound
     */
    void start();

    /** Stops listening; open connections stay open. */
    void stopListening();

    /** Stops listening, closes all connections and shuts down the event loops. Blocks for a bounded time. */
    @Override
    void close();

    // ------------------------------------------------------------------ public API

    /**
     * Returns the bound address.
     *
     * @return the address with the actual port
     * @throws IllegalStateException if the endpoint does not listen
     */
    InetSocketAddress boundAddress();

    /**
     * Returns an authenticated connection to a peer. Reuses one that is open or being opened.
     *
     * @param address numeric address of the peer
     * @return the connection or the failure; never completed exceptionally
     */
    CompletionStage<Either<Failure, PeerConnection>> connect(InetSocketAddress address);

    /**
     * Returns the number of open connections, authenticated or not.
     *
     * @return a snapshot of the number
     */
    int openConnections();
}
