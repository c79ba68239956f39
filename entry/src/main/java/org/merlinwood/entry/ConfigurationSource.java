package org.merlinwood.entry;

import java.util.Optional;
import org.merlinwood.core.identity.Revisions;
import org.merlinwood.following.ActiveConfiguration;
import org.merlinwood.following.ConfigurationFollower;
import org.merlinwood.protocol.PeerConnection;
import org.merlinwood.protocol.PeerEndpoint;

/** Where an entry's configuration comes from, and who answers peers that ask for it. Thread-safe. */
public interface ConfigurationSource {

    /**
     * Returns what is in force. Cheap.
     *
     * @return inventory and rules, empty while the entry must not serve
     */
    Optional<ActiveConfiguration> current();

    /**
     * Adds what peers may ask this process for.
     *
     * @param endpoint builder of the process's endpoint
     */
    void serve(PeerEndpoint.Builder endpoint);

    /**
     * Starts to follow.
     *
     * @param endpoint the started endpoint
     */
    void start(PeerEndpoint endpoint);

    /**
     * Hears of a peer's revisions, and catches up with them if they are higher.
     *
     * @param connection the connection to the peer
     * @param revisions its revisions
     */
    void onPeerRevisions(PeerConnection connection, Revisions revisions);

    /**
     * Follows the configuration service and peers.
     *
     * @param follower the follower, not started; closed by its owner
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
