package org.merlinwood.sidecar.admission;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.merlinwood.decision.grant.SessionNumber;
import org.merlinwood.protocol.PeerConnection;

/** Numbers the connections that hold grants. Used by the control thread only. */
final class Sessions {

    private final Map<PeerConnection, SessionNumber> numbers = new HashMap<>();
    private long last;

    SessionNumber of(PeerConnection connection) {
        return numbers.computeIfAbsent(connection, ignored -> new SessionNumber(++last));
    }

    Optional<SessionNumber> closed(PeerConnection connection) {
        return Optional.ofNullable(numbers.remove(connection));
    }

    int size() {
        return numbers.size();
    }
}
