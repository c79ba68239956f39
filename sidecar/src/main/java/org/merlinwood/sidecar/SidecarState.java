package org.merlinwood.sidecar;

import java.util.List;
import org.merlinwood.decision.grant.GrantManagerState;
import org.merlinwood.decision.idempotency.KeyTableState;
import org.merlinwood.decision.suspicion.SuspicionState;

/**
 * Control state of a sidecar, for the state dump.
 *
 * @param instance name of the instance
 * @param incarnation of the process, in hexadecimal digits
 * @param upstream address of the upstream
 * @param inventoryRevision revision of the inventory in force
 * @param rulesRevision revision of the rules in force
 * @param draining true once a graceful shutdown began
 * @param upstreamCleared false while streams of an earlier incarnation may run
 * @param grants grants and queue
 * @param keys table of idempotency keys
 * @param custody sealed tables of other instances
 * @param suspicion fingerprints that may end engines
 * @param running attempts whose call to the upstream is open
 * @param ending streams that the engine has not confirmed to have ended
 * @param connections open connections of peers
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
