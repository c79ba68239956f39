package org.merlinwood.sidecar;

import java.util.List;
import org.merlinwood.decision.grant.GrantManagerState;
import org.merlinwood.decision.idempotency.KeyTableState;
import org.merlinwood.decision.suspicion.SuspicionState;

/**
 * Control state of a sidecar, for the state dump.
 *
 * @param instance name of the instance
 * @param incarnation incarnation of the process, in hexadecimal digits
 * @param upstream address of the upstream
 * @param inventoryRevision revision of the active inventory
 * @param rulesRevision revision of the active rules
 * @param draining whether a graceful shutdown has started
 * @param upstreamCleared whether all streams of earlier incarnations have ended
 * @param grants grants and waiting grant requests
 * @param keys size and limits of the key table
 * @param custody number of stored sealed tables of other instances
 * @param suspicion size of the suspicion registry
 * @param running attempts whose request to the upstream has not ended
 * @param ending streams whose deletion the engine has not confirmed
 * @param connections number of open peer connections
 */
public record SidecarState(
        String instance,
        String incarnation,
        String upstream,
        long inventoryRevision,
        long rulesRevision,
        boolean draining,
        boolean upstreamCleared,
        GrantManagerState grants,
        KeyTableState keys,
        int custody,
        SuspicionState suspicion,
        List<String> running,
        List<String> ending,
        int connections) {}
