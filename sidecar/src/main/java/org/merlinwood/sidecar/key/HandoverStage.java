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
 * Moves tables of keys between processes: from a process that ends to its successor by way of peers, and from the old
 * home of keys to the new one.
 *
 * <p>Used by the control thread only.
 */
public final class HandoverStage {

    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int CUSTODIANS = 2;
    private static final int CANDIDATES = 4;
    private static final long ASK_PERIOD_MILLIS = 200;
    private static final long INQUIRY_LIMIT_MILLIS = 3_000;

    private final InstanceName self;
    private final Incarnation incarnation;
    private final MillisClock clock;
    private final ControlLoop loop;
    private final KeyTable table;
    private final KeyBarrier barrier;
    private final HomeHistory chain;
    private final KeyStage keys;
    private final MetricRegistry metrics;
    private final SealedTableStore custody;
    private final Set<InstanceName> asking = new HashSet<>();
    private final long startedAtMillis;
    private Optional<ActiveConfiguration> inForce = Optional.empty();
    private Optional<PredecessorTableQuery> inquiry = Optional.empty();
    private boolean inquiryOpen = true;
    private PeerEndpoint endpoint;

    // ------------------------------------------------------------------ configuration

    /**
     * Creates a stage that does nothing before it is started and configured.
     *
     * @param self this instance
     * @param incarnation of this process
     * @param clock judges ages
     * @param loop the control thread
     * @param table what ran here
     * @param barrier learns of the predecessor's table
     * @param chain learns of earlier homes
     * @param keys learns when the predecessor is known
     * @param metrics counts handovers
     */
    public HandoverStage(
            InstanceName self,
            Incarnation incarnation,
            MillisClock clock,
            ControlLoop loop,
            KeyTable table,
            KeyBarrier barrier,
            HomeHistory chain,
            KeyStage keys,
            MetricRegistry metrics) {
        this.self = self;
        this.incarnation = incarnation;
        this.clock = clock;
        this.loop = loop;
        this.table = table;
        this.barrier = barrier;
        this.chain = chain;
        this.keys = keys;
        this.metrics = metrics;
        this.custody = new SealedTableStore(clock);
        this.startedAtMillis = clock.monotonicMillis();
    }

    /**
     * Starts to ask peers.
     *
     * @param started connects to peers
     */
    @SuppressWarnings("FutureReturnValueIgnored") // the repetition ends with the loop
    public void start(PeerEndpoint started) {
        endpoint = started;
        loop.repeat(ASK_PERIOD_MILLIS, this::advance);
    }

    /**
     * Puts inventory and rules in force.
     *
     * @param next both documents
     */
    public void configure(ActiveConfiguration next) {
        inForce = Optional.of(next);
        custody.configure(KeyStage.limitsOf(next.rules().limits()));
    }

    // ------------------------------------------------------------------ public API: answering peers

    /**
     * Answers a peer that asks for a table.
     *
     * @param exchange the exchange
     * @param request what is asked for
     */
    public void respond(Exchange exchange, TableRequest request) {
        List<TablePart> parts = request.getHome().equals(self.value()) ? ownParts(request) : custodyParts(request);
        parts.forEach(part -> exchange.send(Frame.newBuilder().setTablePart(part)));
        exchange.finish();
    }

    /**
     * Takes a sealed table into custody, and confirms that.
     *
     * @param exchange the exchange
     * @param parts the whole table
     */
    public void store(Exchange exchange, List<TablePart> parts) {
        SealedTable received = TableMessages.table(parts);
        boolean kept = custody.store(received);
        logger.atInfo().log(
                "the sealed table of %s, %d keys: kept %s",
                received.home(), received.entries().size(), kept);
        exchange.send(Frame.newBuilder()
                .setTablePart(TablePart.newBuilder()
                        .setHome(received.home().value())
                        .setSealed(kept)
                        .setLast(true)));
        exchange.finish();
    }

    // ------------------------------------------------------------------ public API: the end of this process

    /**
     * Hands the whole table to peers. Nothing may be executed from now on.
     *
     * @param onEnd called once each of them has confirmed it or not answered in time
     */
    public void handOver(Runnable onEnd) {
        List<Instance> custodians = runsKeys() ? custodians(CUSTODIANS) : List.of();
        Set<InstanceName> names = custodians.stream().map(Instance::name).collect(Collectors.toSet());
        SealedTable whole =
                new SealedTable(self, incarnation, table.entries(key -> true), barrier.completeMillis(), 0, names);
        List<TablePart> parts = TableMessages.toParts(whole, TableMessages.heading(whole));
        Set<InstanceName> open = new HashSet<>(names);
        custodians.forEach(custodian -> send(custodian, parts, () -> {
            open.remove(custodian.name());
            if (open.isEmpty()) {
                onEnd.run();
            }
        }));
        if (custodians.isEmpty()) {
            onEnd.run();
        }
    }

    /**
     * Returns how many sealed tables of other instances are kept, for the state dump.
     *
     * @return a count
     */
    public int storedTableCount() {
        return custody.size();
    }

    // ------------------------------------------------------------------ internals: answering

    /** The keys that moved, complete once none of them runs; from this revision on they are refused here. */
    private List<TablePart> ownParts(TableRequest request) {
        long revision =
                inForce.map(documents -> documents.inventory().revision()).orElse(0L);
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
                .setHomesKnownAgeMillis(chain.coveredMillis())
                .addAllHomes(chain.spans().stream().map(TableMessages::toWire).toList())
                .build();
        return TableMessages.toParts(moved, heading);
    }

    private boolean hasMoved(ScopedKey key) {
        return !barrier.isOwnHome(key);
    }

    private List<TablePart> custodyParts(TableRequest request) {
        if (request.getHome().isBlank()) {
            return List.of(TablePart.newBuilder().setLast(true).build());
        }
        return custody.remove(new InstanceName(request.getHome()))
                .map(kept -> TableMessages.toParts(kept, TableMessages.heading(kept)))
                .orElseGet(() -> List.of(TablePart.newBuilder()
                        .setHome(request.getHome())
                        .setLast(true)
                        .build()));
    }

    // ------------------------------------------------------------------ internals: asking

    private void advance() {
        if (!runsKeys()) {
            return;
        }
        keys.advance();
        askForPredecessor();
        chain.instancesToQuery().forEach(this::askHome);
    }

    private void askHome(InstanceName home) {
        long revision = inForce.orElseThrow().inventory().revision();
        ask(home, home, revision, parts -> learn(home, parts));
    }

    private void learn(InstanceName home, List<TablePart> parts) {
        if (parts.isEmpty()) {
            return;
        }
        TablePart first = parts.getFirst();
        long ownRevision = inForce.orElseThrow().inventory().revision();
        chain.addPeerSpans(home, TableMessages.spans(first), first.getHomesKnownAgeMillis());
        if (!first.getSealed() || first.getInventoryRevision() > ownRevision) {
            return;
        }
        SealedTable moved = TableMessages.table(parts);
        table.adopt(moved.entries());
        chain.recordHandover(home, first.getInventoryRevision(), moved.completeMillis());
        metrics.counter("keys.handed_over").inc(moved.entries().size());
    }

    private void askForPredecessor() {
        if (!inquiryOpen) {
            return;
        }
        if (inquiry.isEmpty()) {
            Set<InstanceName> candidates =
                    custodians(CANDIDATES).stream().map(Instance::name).collect(Collectors.toSet());
            inquiry = Optional.of(new PredecessorTableQuery(candidates));
        }
        PredecessorTableQuery current = inquiry.get();
        boolean late = clock.monotonicMillis() - startedAtMillis >= INQUIRY_LIMIT_MILLIS;
        if (current.pending().isEmpty() || late) {
            endInquiry(current);
            return;
        }
        current.pending().forEach(candidate -> ask(candidate, self, 0, parts -> predecessorAnswered(candidate, parts)));
    }

    private void predecessorAnswered(InstanceName custodian, List<TablePart> parts) {
        if (parts.isEmpty()) {
            return;
        }
        Optional<SealedTable> given =
                parts.getFirst().getSealed() ? Optional.of(TableMessages.table(parts)) : Optional.empty();
        given.ifPresent(received -> table.adopt(received.entries()));
        inquiry.orElseThrow().recordResponse(custodian, given);
    }

    private void endInquiry(PredecessorTableQuery ended) {
        inquiryOpen = false;
        Optional<SealedTable> predecessor = ended.predecessorTable();
        predecessor.ifPresent(barrier::tableAdopted);
        keys.onPredecessorQueryEnded();
        logger.atInfo().log(
                "table of the predecessor: %s",
                predecessor.map(received -> received.entries().size() + " keys").orElse("none"));
    }

    private void ask(InstanceName peer, InstanceName home, long revision, Consumer<List<TablePart>> onAnswer) {
        Optional<Instance> row = inForce.orElseThrow().inventory().instance(peer);
        if (row.isEmpty() || !asking.add(peer)) {
            return;
        }
        Frame.Builder frame = Frame.newBuilder()
                .setTableRequest(TableRequest.newBuilder().setHome(home.value()).setInventoryRevision(revision));
        TableTransfer.open(endpoint, loop, row.get(), List.of(frame), parts -> {
            asking.remove(peer);
            onAnswer.accept(parts);
        });
    }

    private void send(Instance custodian, List<TablePart> parts, Runnable onEnd) {
        List<Frame.Builder> frames = parts.stream()
                .map(part -> Frame.newBuilder().setTablePart(part))
                .toList();
        TableTransfer.open(endpoint, loop, custodian, frames, answer -> {
            logger.atInfo().log("%s confirmed the sealed table: %s", custodian.name(), !answer.isEmpty());
            onEnd.run();
        });
    }

    // ------------------------------------------------------------------ internals: peers

    /** Only plain services have keys; a sidecar of an engine may keep the tables of others. */
    private boolean runsKeys() {
        return inForce.flatMap(documents -> documents.inventory().instance(self))
                .map(row -> row.role() == InstanceRole.PLAIN)
                .orElse(false);
    }

    /** The instances that keep the table of this one, in the order of rendezvous hashing over all sidecars. */
    private List<Instance> custodians(int count) {
        Inventory inventory = inForce.map(ActiveConfiguration::inventory).orElse(Inventory.of(0, List.of(), List.of()));
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
