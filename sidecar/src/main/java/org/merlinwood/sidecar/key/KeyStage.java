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
 * Decides what becomes of calls with keys, and tells their answers to all that wait for them.
 *
 * <p>Used by the control thread only.
 */
public final class KeyStage {

    private static final long INQUIRY_RETRY_MILLIS = 500;

    private final KeyTable table;
    private final KeyBarrier barrier;
    private final HomeHistory chain;
    private final MetricRegistry metrics;
    private final Map<ScopedKey, List<ResponseChannel>> joined = new HashMap<>();
    private boolean inquiring = true;

    // ------------------------------------------------------------------ configuration

    /**
     * Creates a stage.
     *
     * @param table what ran here
     * @param barrier judges keys that the table doesn't know
     * @param chain earlier homes of keys
     * @param metrics counts decisions
     */
    public KeyStage(KeyTable table, KeyBarrier barrier, HomeHistory chain, MetricRegistry metrics) {
        this.table = table;
        this.barrier = barrier;
        this.chain = chain;
        this.metrics = metrics;
    }

    /**
     * Puts inventory and rules in force.
     *
     * @param inForce both documents
     * @param own the row of this instance
     */
    public void configure(ActiveConfiguration inForce, Instance own) {
        Inventory inventory = inForce.inventory();
        Limits limits = inForce.rules().limits();
        table.configure(limitsOf(limits));
        Set<InstanceName> homes = KeyHome.homes(inventory, own.service());
        Set<InstanceName> retired = inventory.instances().values().stream()
                .filter(instance -> instance.state() == InstanceState.RETIRED)
                .map(Instance::name)
                .collect(Collectors.toUnmodifiableSet());
        chain.applyInventory(
                inventory.revision(), homes, retired, inventory.instances().keySet(), limits.retryHorizonMillis());
        barrier.configure(
                own.service(), homes, new KeyBarrierLimits(limits.retryHorizonMillis(), limits.clockBoundMillis()));
    }

    /**
     * Returns the bounds of tables.
     *
     * @param limits the limits of the rules
     * @return the bounds
     */
    static KeyTableLimits limitsOf(Limits limits) {
        return new KeyTableLimits(limits.keyTableEntries(), limits.storedAnswerBytes(), limits.retryHorizonMillis());
    }

    /** It is known now whether the process that ran here before has left its table. */
    public void onPredecessorQueryEnded() {
        inquiring = false;
    }

    // ------------------------------------------------------------------ public API: judging

    /**
     * Judges a call without taking its key.
     *
     * @param call the call
     * @return what would become of it
     */
    public KeyDecision check(KeyedRequest call) {
        Optional<Failure> foreign = barrier.checkBelongsHere(call.key());
        if (foreign.isPresent()) {
            return refuse(foreign.get());
        }
        return table.find(call)
                .orElseGet(() -> barrier.checkMayRun(call.key())
                        .<KeyDecision>map(failure -> refuse(softened(failure)))
                        .orElseGet(KeyDecision.Run::new));
    }

    /**
     * Judges a call and, if it may run, takes its key: from now on it counts as one that may have run.
     *
     * @param call the call
     * @return what becomes of it
     */
    public KeyDecision claim(KeyedRequest call) {
        KeyDecision decision = check(call);
        if (!(decision instanceof KeyDecision.Run)) {
            return decision;
        }
        return table.begin(call).<KeyDecision>map(this::refuse).orElse(decision);
    }

    /**
     * Lets an exchange wait for the call that runs with its key.
     *
     * @param key the key
     * @param channel the exchange
     */
    public void join(ScopedKey key, ResponseChannel channel) {
        metrics.counter("keys.joined").inc();
        joined.computeIfAbsent(key, ignored -> new ArrayList<>()).add(channel);
    }

    // ------------------------------------------------------------------ public API: settling

    /**
     * A call ran to its end.
     *
     * @param key its key
     * @param answer its answer
     */
    public void onCompleted(ScopedKey key, StoredResponse answer) {
        table.recordCompleted(key, answer);
        takeJoined(key).forEach(channel -> StoredResponses.replay(channel, answer));
    }

    /**
     * A call ended without a whole answer.
     *
     * @param key its key
     * @param failure the failure; its execution state tells whether the call may have run
     */
    public void onFailed(ScopedKey key, Failure failure) {
        switch (failure.executionState()) {
            case NOT_RUN -> table.recordNotRun(key);
            case UNKNOWN, RAN -> table.outcomeUnknown(key);
        }
        takeJoined(key).forEach(channel -> channel.fail(failure));
    }

    /** Forgets keys older than the horizon. */
    public void advance() {
        table.removeExpired();
    }

    // ------------------------------------------------------------------ public API: state

    /**
     * Returns the size of the table.
     *
     * @return a copy
     */
    public KeyTableState state() {
        return table.state();
    }

    // ------------------------------------------------------------------ internals

    private KeyDecision refuse(Failure failure) {
        metrics.counter("keys.refused." + failure.code().name()).inc();
        return new KeyDecision.Refuse(failure);
    }

    /** While the predecessor's table is being looked for, what is withheld may be let through in a moment. */
    private Failure softened(Failure failure) {
        if (!inquiring) {
            return failure;
        }
        return Failure.retryable(
                ResultCode.KEY_WITHHELD_FOR_HANDOVER,
                "the table of the process that ran here before is being looked for",
                INQUIRY_RETRY_MILLIS);
    }

    private List<ResponseChannel> takeJoined(ScopedKey key) {
        List<ResponseChannel> waiting = joined.remove(key);
        return waiting == null ? List.of() : waiting;
    }
}
