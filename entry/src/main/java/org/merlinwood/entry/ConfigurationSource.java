package org.merlinwood.entry;

import java.util.Optional;
import org.merlinwood.core.identity.Revisions;
import org.merlinwood.following.ActiveConfiguration;
import org.merlinwood.following.ConfigurationFollower;
import org.merlinwood.protocol.PeerConnection;
import org.merlinwood.protocol.PeerEndpoint;

/** Source of an entry's configuration, which also serves the configuration to peers. Thread-safe. */
public interface ConfigurationSource {

    /**
     * Returns the active configuration. Called for every request, so it must be fast.
     *
     * @return inventory and rules, empty while the entry must refuse requests
     */
    Optional<ActiveConfiguration> current();

    /**
     * Registers the handlers that serve the configuration to peers.
     *
     * @param endpoint builder of the endpoint of the process
     */
    void serve(PeerEndpoint.Builder endpoint);

    /**
     * Starts following the configuration.
     *
     * @param endpoint the started endpoint
     */
    void start(PeerEndpoint endpoint);

    /**
     * Called when a peer reports its revisions. Fetches them if they are higher than the active ones.
     *
     * @param connection the connection to the peer
     * @param revisions the revisions of the peer
     */
    void onPeerRevisions(PeerConnection connection, Revisions revisions);

    /**
     * Creates a source that follows the configuration service and peers.
     *
     * @param follower the follower, not started yet; closed by the caller of this method
     * @return the source
     */
    static ConfigurationSource following(ConfigurationFollower follower) {
        return new ConfigurationSource() {
            @Override
            public Optional<ActiveConfiguration> current() {
                return follower.isReady() ? follower.current() : Optional.empty();
            }

            @Override
            public void serve(PeerEndpoint.Builder endpoint) {
                follower.serve(endpoint);
            }

            @Override
            public void start(PeerEndpoint endpoint) {
                follower.start(endpoint);
            }

            @Override
            public void onPeerRevisions(PeerConnection connection, Revisions revisions) {
                follower.onPeerRevisions(connection, revisions);
            }
        };
    }
}
