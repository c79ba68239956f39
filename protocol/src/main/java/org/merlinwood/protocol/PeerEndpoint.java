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
 * The end of all connections between this process and its peers: accepts some, opens others on demand.
 *
 * <p>Built once, started once, closed once. Thread-safe after {@link #start()}.
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

    /** Collects the configuration of an endpoint. Used by one thread. */
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
         * Sets who this process is.
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
         * Sets the valid keys. Proofs of this process use the first; a peer may use any.
         *
         * @param values one or two keys
         * @return this builder
         */
        @CanIgnoreReturnValue
        public Builder keys(List<AuthenticationKey> values) {
            keys = List.copyOf(values);
            return this;
        }

        /**
         * Sets where to accept connections. Unset: none are accepted.
         *
         * @param value a numeric address; port 0 lets the system choose
         * @return this builder
         */
        @CanIgnoreReturnValue
        public Builder listenAddress(InetSocketAddress value) {
            listenAddress = Optional.of(value);
            return this;
        }

        /**
         * Sets other limits than the defaults.
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
         * Sets where the revisions come from that every handshake and heartbeat carries.
         *
         * @param value returns the revisions in force; called on event loops
         * @return this builder
         */
        @CanIgnoreReturnValue
        public Builder revisions(Supplier<Revisions> value) {
            revisions = Objects.requireNonNull(value, "revisions");
            return this;
        }

        /**
         * Sets who hears of connections.
         *
         * @param value the observer
         * @return this builder
         */
        @CanIgnoreReturnValue
        public Builder observer(ProtocolObserver value) {
            observer = Objects.requireNonNull(value, "observer");
            return this;
        }

        /**
         * Sets the number of event loops.
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
         * Sets who accepts exchanges that begin with a kind of frame. Others are a protocol violation.
         *
         * @param first the kind of the first frame
         * @param acceptor accepts them
         * @return this builder
         */
        @CanIgnoreReturnValue
        public Builder acceptor(Frame.BodyCase first, ExchangeAcceptor acceptor) {
            acceptors.put(first, acceptor);
            return this;
        }

        /**
         * Builds the endpoint; it does nothing before it is started.
         *
         * @return the endpoint
         * @throws IllegalStateException if identity or keys are missing
         */
        public PeerEndpoint build() {
            if (identity == null || keys.isEmpty()) {
                throw new IllegalStateException("an endpoint needs an identity and a key");
            }
            return new NettyPeerEndpoint(
                    identity, keys, listenAddress, limits, revisions, observer, threads, Map.copyOf(acceptors));
        }
    }

    // ------------------------------------------------------------------ life-cycle

    /**
     * Starts to listen, if so configured.
     *
     * @throws java.io.UncheckedIOException if the address can't be bound
     */
    void start();

    /** Stops listening; connections stay open. */
    void stopListening();

    /** Closes everything. */
    @Override
    void close();

    // ------------------------------------------------------------------ public API

    /**
     * Returns the address that was bound.
     *
     * @return the address, with the port that the system chose
     * @throws IllegalStateException if the endpoint does not listen
     */
    InetSocketAddress boundAddress();

    /**
     * Returns an authenticated connection: an open one or a new one.
     *
     * @param address numeric address of the peer
     * @return the connection or the failure; never completed exceptionally
     */
    CompletionStage<Either<Failure, PeerConnection>> connect(InetSocketAddress address);

    /**
     * Returns how many connections are open, whether authenticated yet or not.
     *
     * @return a count at some moment
     */
    int openConnections();
}
