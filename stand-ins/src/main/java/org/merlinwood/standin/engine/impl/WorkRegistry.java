package org.merlinwood.standin.engine.impl;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.merlinwood.core.time.MillisClock;
import org.merlinwood.standin.engine.EngineLedger;
import org.merlinwood.standin.engine.EngineRun;
import org.merlinwood.standin.impl.Ledger;

/** Registry of all work that has memory of an engine reserved, with the ledger of its runs. Thread-safe. */
public final class WorkRegistry {

    private final Set<EngineWork> open = ConcurrentHashMap.newKeySet();
    private final MemoryPieces memory;
    private final Ledger<EngineRun> ledger;
    private final MillisClock clock;

    /**
     * Creates an empty registry. Marks runs that a previous process left open in the ledger as crashed.
     *
     * @param memory memory of the engine
     * @param ledger records the runs
     * @param clock time source
     */
    public WorkRegistry(MemoryPieces memory, Ledger<EngineRun> ledger, MillisClock clock) {
        this.memory = memory;
        this.ledger = ledger;
        this.clock = clock;
        endRunsOfPreviousProcess();
    }

    /**
     * Admits work and reserves its memory, if enough is free.
     *
     * @param request identifier of the request
     * @param kind {@code prefill} or {@code decode}
     * @param promptDigest SHA-256 of the prompt
     * @param promptTokens tokens of the prompt
     * @param pieces pieces of memory to reserve
     * @param firstOffset offset of the first token to be produced
     * @return the work, or empty if not enough memory is free
     */
    public synchronized Optional<EngineWork> admit(
            String request, String kind, String promptDigest, int promptTokens, int pieces, int firstOffset) {
        if (!memory.tryReserve(pieces)) {
            return Optional.empty();
        }
        EngineRun run = new EngineRun(
                ledger.nextSequence(),
                request,
                kind,
                promptDigest,
                promptTokens,
                pieces,
                firstOffset,
                0,
                clock.wallMillis(),
                0,
                EngineRun.Outcome.RUNNING);
        ledger.record(run);
        EngineWork work = new EngineWork(run, this);
        open.add(work);
        return Optional.of(work);
    }

    private void endRunsOfPreviousProcess() {
        ledger.all().stream()
                .filter(run -> run.outcome() == EngineRun.Outcome.RUNNING)
                .forEach(run -> ledger.record(run.ended(EngineRun.Outcome.CRASHED, run.tokens(), clock.wallMillis())));
    }

    synchronized void recordEnd(EngineWork work, EngineRun.Outcome outcome) {
        open.remove(work);
        memory.release(work.run().pieces());
        ledger.record(work.run().ended(outcome, work.tokens(), clock.wallMillis()));
    }

    /**
     * Cancels all work of a request.
     *
     * @param request identifier of the request
     */
    public void cancel(String request) {
        List.copyOf(open).stream()
                .filter(work -> work.run().request().equals(request))
                .forEach(work -> work.end(EngineRun.Outcome.CANCELLED));
    }

    /**
     * Ends all work.
     *
     * @param outcome outcome to record
     */
    public void endAll(EngineRun.Outcome outcome) {
        List.copyOf(open).forEach(work -> work.end(outcome));
    }

    /** Returns a copy of all work that has not ended. */
    public Collection<EngineWork> open() {
        return List.copyOf(open);
    }

    /** Returns the memory of the engine. */
    public MemoryPieces memory() {
        return memory;
    }

    /** Returns a snapshot of the ledger and the memory use. */
    public synchronized EngineLedger ledger() {
        return new EngineLedger(memory.total(), memory.reserved(), memory.maximumReserved(), ledger.all());
    }
}
