package org.merlinwood.sidecar.key;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.merlinwood.configuration.inventory.Instance;
import org.merlinwood.configuration.inventory.InstanceRole;
import org.merlinwood.configuration.inventory.InstanceState;
import org.merlinwood.configuration.inventory.Inventory;
import org.merlinwood.core.identity.Incarnation;
import org.merlinwood.core.identity.InstanceName;
import org.merlinwood.core.time.MillisClock;
import org.merlinwood.decision.idempotency.HomeHistory;
import org.merlinwood.decision.idempotency.KeyBarrier;
import org.merlinwood.decision.idempotency.KeyTable;
import org.merlinwood.decision.idempotency.PredecessorTableQuery;
import org.merlinwood.decision.idempotency.RendezvousOrder;
import org.merlinwood.decision.idempotency.ScopedKey;
import org.merlinwood.decision.idempotency.SealedTable;
import org.merlinwood.decision.idempotency.SealedTableStore;
import org.merlinwood.following.ActiveConfiguration;
import org.merlinwood.operation.control.ControlLoop;
import org.merlinwood.protocol.Exchange;
import org.merlinwood.protocol.PeerEndpoint;
import org.merlinwood.wire.Frame;
import org.merlinwood.wire.TablePart;
import org.merlinwood.wire.TableRequest;

/**
 * Transfers key tables between sidecars: from a process that shuts down to its successor, with peers holding the sealed
 * table in between, and from the old home of a key to its new home.
 *
 * <p>Used by the control thread only.
 */
public final class HandoverStage {

    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int HOLDER_COUNT = 2;
    private static final int CANDIDATE_COUNT = 4;
    private static final long QUERY_PERIOD_MILLIS = 200;
    private static final long PREDECESSOR_QUERY_LIMIT_MILLIS = 3_000;

    private final InstanceName self;
    private final Incarnation incarnation;
    private final MillisClock clock;
    private final ControlLoop loop;
    private final KeyTable table;
    private final KeyBarrier barrier;
    private final HomeHistory homeHistory;
    private final KeyStage keys;
    private final MetricRegistry metrics;
    private final SealedTableStore sealedTables;
    private final Set<InstanceName> pendingQueries = new HashSet<>();
    private final long startedAtMillis;
    private Optional<ActiveConfiguration> active = Optional.empty();
    private Optional<PredecessorTableQuery> predecessorQuery = Optional.empty();
    private boolean predecessorQueryOpen = true;
    private PeerEndpoint endpoint;

    /**
     * Creates a stage that does nothing before it is started and configured.
     *
     * @param self name of this instance
     * @param incarnation incarnation of this process
     * @param clock measures the age of tables and the duration of queries
     * @param loop the control loop
     * @param table outcomes of the requests that ran here
     * @param barrier notified of the predecessor's table
     * @param homeHistory earlier homes of keys, extended by the responses of peers
     * @param keys notified when the query for the predecessor's table has ended
     * @param metrics registry for the handover counter
     */
    public HandoverStage(
            InstanceName self,
            Incarnation incarnation,
            MillisClock clock,
            ControlLoop loop,
            KeyTable table,
            KeyBarrier barrier,
            HomeHistory homeHistory,
            KeyStage keys,
            MetricRegistry metrics) {
        this.self = self;
        this.incarnation = incarnation;
        this.clock = clock;
        this.loop = loop;
        this.table = table;
        this.barrier = barrier;
        this.homeHistory = homeHistory;
        this.keys = keys;
        this.metrics = metrics;
        this.sealedTables = new SealedTableStore(clock);
        this.startedAtMillis = clock.monotonicMillis();
    }

    /**
     * Starts to query peers.
     *
     * @param started endpoint that connects to peers
     */
    @SuppressWarnings("FutureReturnValueIgnored") // the repetition ends with the loop
    public void start(PeerEndpoint started) {
        endpoint = started;
        loop.repeat(QUERY_PERIOD_MILLIS, this::advance);
    }

    /**
     * Applies new inventory and rules.
     *
     * @param next the active inventory and rules
     */
    public void configure(ActiveConfiguration next) {
        active = Optional.of(next);
        sealedTables.configure(KeyStage.limitsOf(next.rules().limits()));
    }

    /**
     * Responds to a peer that requests a table.
     *
     * @param exchange the exchange
     * @param request the requested table
     */
    public void respond(Exchange exchange, TableRequest request) {
        List<TablePart> parts = request.getHome().equals(self.value()) ? movedKeyParts(request) : storedParts(request);
        parts.forEach(part -> exchange.send(Frame.newBuilder().setTablePart(part)));
        exchange.finish();
    }

    /**
     * Stores the sealed table of another instance and sends a confirmation.
     *
     * @param exchange the exchange
     * @param parts all parts of the table
     */
    public void store(Exchange exchange, List<TablePart> parts) {
        SealedTable received = TableMessages.fromParts(parts);
        boolean stored = sealedTables.store(received);
        logger.atInfo().log(
                "received the sealed table of %s with %d keys; stored: %s",
                received.home(), received.entries().size(), stored);
        exchange.send(Frame.newBuilder()
                .setTablePart(TablePart.newBuilder()
                        .setHome(received.home().value())
                        .setSealed(stored)
                        .setLast(true)));
        exchange.finish();
    }

    /**
     * Seals the table and sends it to the peers that hold it for the successor. No request may be executed afterwards.
     *
     * @param onEnd called on the control thread once each peer has confirmed the table or timed out
     */
    public void handOver(Runnable onEnd) {
        List<Instance> holders = runsKeys() ? holders(HOLDER_COUNT) : List.of();
        Set<InstanceName> names = holders.stream().map(Instance::name).collect(Collectors.toSet());
        SealedTable ownTable =
                new SealedTable(self, incarnation, table.entries(key -> true), barrier.completeMillis(), 0, names);
        List<TablePart> parts = TableMessages.toParts(ownTable, TableMessages.heading(ownTable));
        Set<InstanceName> pending = new HashSet<>(names);
        holders.forEach(holder -> send(holder, parts, () -> {
            pending.remove(holder.name());
            if (pending.isEmpty()) {
                onEnd.run();
            }
        }));
        if (holders.isEmpty()) {
            onEnd.run();
        }
    }

    /**
     * Returns the number of stored sealed tables of other instances, for the state dump.
     *
     * @return the number of tables
     */
    public int storedTableCount() {
        return sealedTables.size();
    }

    /**
     * Returns the entries of keys whose home moved to another instance. The table is sealed, and contains the entries,
     * once the requested revision is active here, so that these keys are refused, and none of them runs.
     */
    private List<TablePart> movedKeyParts(TableRequest request) {
        long revision =
                active.map(documents -> documents.inventory().revision()).orElse(0L);
        boolean isSealed = revision >= request.getInventoryRevision() && !table.anyRunning(this::hasMoved);
        SealedTable moved = new SealedTable(
                self,
                incarnation,
                isSealed ? table.entries(this::hasMoved) : List.of(),
                barrier.completeMillis(),
                0,
                Set.of());
        TablePart heading = TableMessages.heading(moved).toBuilder()
                .setSealed(isSealed)
                .setInventoryRevision(revision)
                .setHomesKnownAgeMillis(homeHistory.coveredMillis())
                .addAllHomes(
                        homeHistory.spans().stream().map(TableMessages::toWire).toList())
                .build();
        return TableMessages.toParts(moved, heading);
    }

    private boolean hasMoved(ScopedKey key) {
        return !barrier.isOwnHome(key);
    }

    private List<TablePart> storedParts(TableRequest request) {
        if (request.getHome().isBlank()) {
            return List.of(TablePart.newBuilder().setLast(true).build());
        }
        return sealedTables
                .remove(new InstanceName(request.getHome()))
                .map(stored -> TableMessages.toParts(stored, TableMessages.heading(stored)))
                .orElseGet(() -> List.of(TablePart.newBuilder()
                        .setHome(request.getHome())
                        .setLast(true)
                        .build()));
    }

    private void advance() {
        if (!runsKeys()) {
            return;
        }
        keys.advance();
        queryPredecessor();
        homeHistory.instancesToQuery().forEach(this::queryHome);
    }

    private void queryHome(InstanceName home) {
        long revision = active.orElseThrow().inventory().revision();
        query(home, home, revision, parts -> onHomeTable(home, parts));
    }

    private void onHomeTable(InstanceName home, List<TablePart> parts) {
        if (parts.isEmpty()) {
            return;
        }
        TablePart first = parts.getFirst();
        long ownRevision = active.orElseThrow().inventory().revision();
        homeHistory.addPeerSpans(home, TableMessages.spans(first), first.getHomesKnownAgeMillis());
        if (!first.getSealed() || first.getInventoryRevision() > ownRevision) {
            return;
        }
        SealedTable moved = TableMessages.fromParts(parts);
        table.adopt(moved.entries());
        homeHistory.recordHandover(home, first.getInventoryRevision(), moved.completeMillis());
        metrics.counter("keys.handed_over").inc(moved.entries().size());
    }

    private void queryPredecessor() {
        if (!predecessorQueryOpen) {
            return;
        }
        if (predecessorQuery.isEmpty()) {
            Set<InstanceName> candidates =
                    holders(CANDIDATE_COUNT).stream().map(Instance::name).collect(Collectors.toSet());
            predecessorQuery = Optional.of(new PredecessorTableQuery(candidates));
        }
        PredecessorTableQuery current = predecessorQuery.get();
        boolean timedOut = clock.monotonicMillis() - startedAtMillis >= PREDECESSOR_QUERY_LIMIT_MILLIS;
        if (current.pending().isEmpty() || timedOut) {
            endPredecessorQuery(current);
            return;
        }
        current.pending()
                .forEach(candidate -> query(candidate, self, 0, parts -> onPredecessorResponse(candidate, parts)));
    }

    private void onPredecessorResponse(InstanceName holder, List<TablePart> parts) {
        if (parts.isEmpty()) {
            return;
        }
        Optional<SealedTable> received =
                parts.getFirst().getSealed() ? Optional.of(TableMessages.fromParts(parts)) : Optional.empty();
        received.ifPresent(adopted -> table.adopt(adopted.entries()));
        predecessorQuery.orElseThrow().recordResponse(holder, received);
    }

    private void endPredecessorQuery(PredecessorTableQuery query) {
        predecessorQueryOpen = false;
        Optional<SealedTable> predecessor = query.predecessorTable();
        predecessor.ifPresent(barrier::tableAdopted);
        keys.onPredecessorQueryEnded();
        logger.atInfo().log(
                "table of the predecessor: %s",
                predecessor.map(received -> received.entries().size() + " keys").orElse("none"));
    }

    private void query(InstanceName peer, InstanceName home, long revision, Consumer<List<TablePart>> onResponse) {
        Optional<Instance> row = active.orElseThrow().inventory().instance(peer);
        if (row.isEmpty() || !pendingQueries.add(peer)) {
            return;
        }
        Frame.Builder frame = Frame.newBuilder()
                .setTableRequest(TableRequest.newBuilder().setHome(home.value()).setInventoryRevision(revision));
        TableTransfer.open(endpoint, loop, row.get(), List.of(frame), parts -> {
            pendingQueries.remove(peer);
            onResponse.accept(parts);
        });
    }

    private void send(Instance holder, List<TablePart> parts, Runnable onEnd) {
        List<Frame.Builder> frames = parts.stream()
                .map(part -> Frame.newBuilder().setTablePart(part))
                .toList();
        TableTransfer.open(endpoint, loop, holder, frames, response -> {
            logger.atInfo().log("sealed table sent to %s; confirmed: %s", holder.name(), !response.isEmpty());
            onEnd.run();
        });
    }

    /** Only sidecars of plain services run requests with keys. A sidecar of an engine only stores tables of others. */
    private boolean runsKeys() {
        return active.flatMap(documents -> documents.inventory().instance(self))
                .map(row -> row.role() == InstanceRole.PLAIN)
                .orElse(false);
    }

    /** Returns the instances that hold the table of this one, sorted by rendezvous hashing over all sidecars. */
    private List<Instance> holders(int count) {
        Inventory inventory = active.map(ActiveConfiguration::inventory).orElse(Inventory.of(0, List.of(), List.of()));
        List<Instance> sidecars = new ArrayList<>(inventory.instances().values());
        sidecars.removeIf(instance -> instance.role() == InstanceRole.ENTRY
                || instance.state() == InstanceState.RETIRED
                || instance.name().equals(self));
        byte[] subject = self.value().getBytes(StandardCharsets.UTF_8);
        return RendezvousOrder.order(subject, sidecars.stream()).stream()
                .limit(count)
                .toList();
    }
}
