package org.merlinwood.gateway.decision;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.merlinwood.gateway.crash.CrashReport;
import org.merlinwood.gateway.fleet.FleetState;
import org.merlinwood.gateway.fleet.UpstreamInstance;
import org.merlinwood.gateway.follow.StorePosition;

/** A simulated entry: its requests, and what it knows of the work and of the waiting requests of the others. */
final class ContendingEntry {

    static final long RETRY_INTERVAL_MILLIS = 20;
    private static final long EXCLUSION_RESET_MILLIS = 100;

    /** Time of one request to an instance and its response, in milliseconds. */
    private static final long ROUND_TRIP_MILLIS = 3;

    private final MemoryContention contention;
    private final VirtualTime time;
    private final String address;
    private final PeerWaitingRequests peerWaiting;
    private final List<ContendingRequest> waiting = new ArrayList<>();
    final InstancePool pool;

    ContendingEntry(MemoryContention contention, FleetState fleet, int number, int entries) {
        this.contention = contention;
        this.time = contention.time;
        this.address = "entry-" + number;
        this.pool = new InstancePool(fleet, time.clock, "near", number + 1L);
        this.peerWaiting = new PeerWaitingRequests(time.clock);
        pool.entryCount(entries);
        time.every(RETRY_INTERVAL_MILLIS, number % RETRY_INTERVAL_MILLIS, this::tryAll);
    }

    long now() {
        return time.now();
    }

    int waiting() {
        return waiting.size();
    }

    List<ContendingRequest> waitingRequests() {
        return waiting;
    }

    int instances() {
        return pool.decodeInstances(MemoryContention.SERVICE, Optional.empty());
    }

    OptionalLong millisUntilCapacity(ContendingRequest request) {
        return pool.millisUntilCapacity(MemoryContention.SERVICE, request.pending, MemoryContention.LIMITS);
    }

    WaitRanking.Room room(ContendingRequest request) {
        return pool.memoryRoom()
                .of(MemoryContention.SERVICE, request.pending, MemoryContention.LIMITS, request.excluded);
    }

    WaitRanking.Competition competition(ContendingRequest request) {
        List<EntryReport.WaitingRequests> all = new ArrayList<>(peerWaiting.of(MemoryContention.SERVICE));
        all.addAll(ownReport());
        return WaitRanking.Competition.of(all, request.caller.priority());
    }

    private List<EntryReport.WaitingRequests> ownReport() {
        return WaitRanking.report(
                MemoryContention.SERVICE,
                waiting.stream().map(ContendingRequest::ranked).toList(),
                now());
    }

    EntryStatus status() {
        EntryReport report = new EntryReport(1, 1, EntryReport.AllotmentReport.EMPTY, List.of(), ownReport());
        return new EntryStatus(
                address,
                List.of(),
                new StorePosition(0, 1),
                pool.sharedWork().own(),
                List.of(),
                List.of(),
                List.of(),
                0,
                List.of(),
                CrashReport.EMPTY,
                report);
    }

    void onStatus(EntryStatus status) {
        pool.sharedWork().updatePeer(status);
        peerWaiting.update(status.address(), status.report().waitingRequests());
    }

    /** Processes a new request. */
    void accept(ContendingRequest request) {
        boolean behind = contention.discipline.queuesArrivals()
                && (contention.waitsBefore(this, request) || !contention.discipline.mayTry(request, this));
        if (behind) {
            waitForMemory(request);
        } else {
            proceed(request);
        }
    }

    private void proceed(ContendingRequest request) {
        if (request.caller.hasLeft(now())) {
            return;
        }
        Optional<UpstreamInstance> choice = choose(request);
        if (choice.isEmpty()) {
            waitForMemory(request);
            return;
        }
        String identifier = choice.get().identifier();
        MemoryNeed need = pool.memoryNeed(identifier, request.pending, MemoryContention.LIMITS);
        ActiveGeneration generation = pool.beginGeneration(identifier, request.pending);
        ContendedInstance instance = contention.instance(identifier);
        contention.tries++;
        time.schedule(ROUND_TRIP_MILLIS, () -> {
            if (instance.hasFree(need.freeTokens())) {
                time.schedule(ROUND_TRIP_MILLIS, () -> reserve(request, need, generation, instance));
            } else {
                onDeclined(request, need.freeTokens(), generation);
            }
        });
    }

    private void reserve(
            ContendingRequest request, MemoryNeed need, ActiveGeneration generation, ContendedInstance instance) {
        if (instance.hasFree(need.startTokens())) {
            contention.begin(this, request, generation, instance, instance.hold(need.startTokens()));
        } else {
            onDeclined(request, need.startTokens(), generation);
        }
    }

    private void onDeclined(ContendingRequest request, int tokens, ActiveGeneration generation) {
        contention.declined++;
        if (contention.discipline.remembersDeclines()) {
            pool.memoryRoom().recordDeclined(generation.instance(), tokens);
        } else {
            pool.recordDeclinedReservation(generation.instance(), tokens);
        }
        pool.endGeneration(generation);
        request.excluded.add(generation.instance());
        proceed(request);
    }

    private Optional<UpstreamInstance> choose(ContendingRequest request) {
        return pool.chooseDecode(MemoryContention.SERVICE, request.pending, MemoryContention.LIMITS, request.excluded);
    }

    private void waitForMemory(ContendingRequest request) {
        time.schedule(EXCLUSION_RESET_MILLIS, request.excluded::clear);
        if (!refuse(request)) {
            waiting.add(request);
        }
    }

    private boolean refuse(ContendingRequest request) {
        OptionalLong retryAfterMillis = contention.discipline.refusal(request, this);
        retryAfterMillis.ifPresent(millis -> contention.refuse(request, millis));
        return retryAfterMillis.isPresent();
    }

    private void tryAll() {
        if (!contention.discipline.central()) {
            waiting.stream().sorted(contention.discipline.order(now())).toList().forEach(this::tryWaiting);
        }
    }

    /** Tries one waiting request. */
    void tryWaiting(ContendingRequest request) {
        if (request.caller.hasLeft(now())) {
            waiting.remove(request);
        } else if (contention.discipline.mayTry(request, this)
                && choose(request).isPresent()) {
            waiting.remove(request);
            proceed(request);
        } else if (refuse(request)) {
            waiting.remove(request);
        }
    }
}
