package org.merlinwood.sidecar.key;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.merlinwood.configuration.inventory.Instance;
import org.merlinwood.configuration.inventory.InstanceState;
import org.merlinwood.configuration.inventory.Inventory;
import org.merlinwood.configuration.rules.Limits;
import org.merlinwood.core.identity.InstanceName;
import org.merlinwood.core.result.Failure;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.decision.idempotency.HomeHistory;
import org.merlinwood.decision.idempotency.KeyBarrier;
import org.merlinwood.decision.idempotency.KeyBarrierLimits;
import org.merlinwood.decision.idempotency.KeyDecision;
import org.merlinwood.decision.idempotency.KeyHome;
import org.merlinwood.decision.idempotency.KeyTable;
import org.merlinwood.decision.idempotency.KeyTableLimits;
import org.merlinwood.decision.idempotency.KeyTableState;
import org.merlinwood.decision.idempotency.KeyedRequest;
import org.merlinwood.decision.idempotency.ScopedKey;
import org.merlinwood.decision.idempotency.StoredResponse;
import org.merlinwood.following.ActiveConfiguration;
import org.merlinwood.sidecar.execution.ResponseChannel;

/**
 * Decides whether a request with an idempotency key runs, joins a running one, gets a stored response or is refused,
 * and sends the response to all exchanges that joined.
 *
 * <p>Used by the control thread only.
 */
public final class KeyStage {

    private static final long PREDECESSOR_QUERY_RETRY_MILLIS = 500;

    private final KeyTable table;
    private final KeyBarrier barrier;
    private final HomeHistory homeHistory;
    private final MetricRegistry metrics;
    private final Map<ScopedKey, List<ResponseChannel>> joined = new HashMap<>();
    private boolean predecessorQueryPending = true;

    /**
     * Creates a stage.
     *
     * @param table outcomes of the requests that ran here
     * @param barrier decides whether a key that the table doesn't contain may run
     * @param homeHistory earlier homes of keys
     * @param metrics registry for the decision counters
     */
    public KeyStage(KeyTable table, KeyBarrier barrier, HomeHistory homeHistory, MetricRegistry metrics) {
        this.table = table;
        this.barrier = barrier;
        this.homeHistory = homeHistory;
        this.metrics = metrics;
    }

    /**
     * Applies new inventory and rules.
     *
     * @param active the active inventory and rules
     * @param own inventory entry of this instance
     */
    public void configure(ActiveConfiguration active, Instance own) {
        Inventory inventory = active.inventory();
        Limits limits = active.rules().limits();
        table.configure(limitsOf(limits));
        Set<InstanceName> homes = KeyHome.homes(inventory, own.service());
        Set<InstanceName> retired = inventory.instances().values().stream()
                .filter(instance -> instance.state() == InstanceState.RETIRED)
                .map(Instance::name)
                .collect(Collectors.toUnmodifiableSet());
        homeHistory.applyInventory(
                inventory.revision(), homes, retired, inventory.instances().keySet(), limits.retryHorizonMillis());
        barrier.configure(
                own.service(), homes, new KeyBarrierLimits(limits.retryHorizonMillis(), limits.clockBoundMillis()));
    }

    /**
     * Converts the limits of the rules to the limits of key tables.
     *
     * @param limits the limits of the rules
     * @return the limits of key tables
     */
    static KeyTableLimits limitsOf(Limits limits) {
        return new KeyTableLimits(limits.keyTableEntries(), limits.storedAnswerBytes(), limits.retryHorizonMillis());
    }

    /** Records that the query for the predecessor's table has ended. */
    public void onPredecessorQueryEnded() {
        predecessorQueryPending = false;
    }

    /**
     * Checks a request without claiming its key.
     *
     * @param request the request
     * @return the decision that {@link #claim} would return now
     */
    public KeyDecision check(KeyedRequest request) {
        Optional<Failure> notAtHome = barrier.checkBelongsHere(request.key());
        if (notAtHome.isPresent()) {
            return refuse(notAtHome.get());
        }
        return table.find(request)
                .orElseGet(() -> barrier.checkMayRun(request.key())
                        .<KeyDecision>map(failure -> refuse(replaceWhileQueryPending(failure)))
                        .orElseGet(KeyDecision.Run::new));
    }

    /**
     * Checks a request and, if it may run, claims its key: from now on the request counts as one that may have run.
     *
     * @param request the request
     * @return the decision
     */
    public KeyDecision claim(KeyedRequest request) {
        KeyDecision decision = check(request);
        if (!(decision instanceof KeyDecision.Run)) {
            return decision;
        }
        return table.begin(request).<KeyDecision>map(this::refuse).orElse(decision);
    }

    /**
     * Adds an exchange to those that receive the response of the running request with the same key.
     *
     * @param key the key
     * @param channel sends the response on the exchange
     */
    public void join(ScopedKey key, ResponseChannel channel) {
        metrics.counter("keys.joined").inc();
        joined.computeIfAbsent(key, ignored -> new ArrayList<>()).add(channel);
    }

    /**
     * Stores the response of a completed request and sends it to the exchanges that joined.
     *
     * @param key key of the request
     * @param response the response
     */
    public void onCompleted(ScopedKey key, StoredResponse response) {
        table.recordCompleted(key, response);
        removeJoined(key).forEach(channel -> StoredResponses.replay(channel, response));
    }

    /**
     * Records that a request ended without a complete response, and fails the exchanges that joined.
     *
     * @param key key of the request
     * @param failure the failure; its execution state tells whether the request may have run
     */
    public void onFailed(ScopedKey key, Failure failure) {
        switch (failure.executionState()) {
            case NOT_RUN -> table.recordNotRun(key);
            case UNKNOWN, RAN -> table.outcomeUnknown(key);
        }
        removeJoined(key).forEach(channel -> channel.fail(failure));
    }

    /** Removes keys that are older than the retry horizon. Called periodically. */
    public void advance() {
        table.removeExpired();
    }

    /**
     * Returns size and limits of the key table, for the state dump.
     *
     * @return a snapshot
     */
    public KeyTableState state() {
        return table.state();
    }

    private KeyDecision refuse(Failure failure) {
        metrics.counter("keys.refused." + failure.code().name()).inc();
        return new KeyDecision.Refuse(failure);
    }

    /**
     * While the query for the predecessor's table is pending, a withheld key may soon be allowed, so it can be retried.
     */
    private Failure replaceWhileQueryPending(Failure failure) {
        if (!predecessorQueryPending) {
            return failure;
        }
        return Failure.retryable(
                ResultCode.KEY_WITHHELD_FOR_HANDOVER,
                "the sidecar is still looking for the key table of its predecessor",
                PREDECESSOR_QUERY_RETRY_MILLIS);
    }

    private List<ResponseChannel> removeJoined(ScopedKey key) {
        List<ResponseChannel> waiting = joined.remove(key);
        return waiting == null ? List.of() : waiting;
    }
}
