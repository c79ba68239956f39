package org.merlinwood.sidecar.admission;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.merlinwood.decision.grant.SessionNumber;
import org.merlinwood.protocol.PeerConnection;

/** Assigns a session number to each connection on which grants are requested. Used by the control thread only. */
final class Sessions {

    private final Map<PeerConnection, SessionNumber> numbers = new HashMap<>();
    private long lastNumber;

    SessionNumber of(PeerConnection connection) {
        return numbers.computeIfAbsent(connection, ignored -> new SessionNumber(++lastNumber));
    }

    Optional<SessionNumber> remove(PeerConnection connection) {
        return Optional.ofNullable(numbers.remove(connection));
    }

    int size() {
        return numbers.size();
    }
}
