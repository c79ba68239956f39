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

/** Everything that holds memory of an engine, with the ledger of it. Thread-safe. */
public final class WorkRegistry {

    private final Set<EngineWork> open = ConcurrentHashMap.newKeySet();
    private final MemoryPieces memory;
    private final Ledger<EngineRun> ledger;
    private final MillisClock clock;

    /**
     * Creates an empty registry.
     *
     * @param memory the memory of the engine
     * @param ledger where runs are recorded
     * @param clock the clock
     */
    public WorkRegistry(MemoryPieces memory, Ledger<EngineRun> ledger, MillisClock clock) {
        this.memory = memory;
        this.ledger = ledger;
        this.clock = clock;
        endRunsOfEarlierProcess();
    }

    /**
     * Admits work if there is memory for it.
     *
     * @param request identifier of the request
     * @param kind {@code prefill} or {@code decode}
     * @param promptDigest SHA-256 of the prompt
     * @param promptTokens tokens of the prompt
     * @param pieces pieces that it needs
     * @param firstOffset offset of the first token to be produced
     * @return the work, or empty if the memory doesn't suffice
     */
    public synchronized Optional<EngineWork> admit(
            String request, String kind, String promptDigest, int promptTokens, int pieces, int firstOffset) {
        if (!memory.tryTake(pieces)) {
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

    private void endRunsOfEarlierProcess() {
        ledger.all().stream()
                .filter(run -> run.outcome() == EngineRun.Outcome.RUNNING)
                .forEach(run -> ledger.record(run.ended(EngineRun.Outcome.CRASHED, run.tokens(), clock.wallMillis())));
    }

    synchronized void ended(EngineWork work, EngineRun.Outcome outcome) {
        open.remove(work);
        memory.free(work.run().pieces());
        ledger.record(work.run().ended(outcome, work.tokens(), clock.wallMillis()));
    }

    /**
     * Cancels everything of a request.
     *
     * @param request identifier of the request
     */
    public void cancel(String request) {
        List.copyOf(open).stream()
                .filter(work -> work.run().request().equals(request))
                .forEach(work -> work.end(EngineRun.Outcome.CANCELLED));
    }

    /**
     * Ends everything.
     *
     * @param outcome how it ended
     */
    public void endAll(EngineRun.Outcome outcome) {
        List.copyOf(open).forEach(work -> work.end(outcome));
    }

    /** Returns what holds memory now. */
    public Collection<EngineWork> open() {
        return List.copyOf(open);
    }

    /** Returns the memory. */
    public MemoryPieces memory() {
        return memory;
    }

    /** Returns the ledger as it stands. */
    public synchronized EngineLedger ledger() {
        return new EngineLedger(memory.total(), memory.held(), memory.maximumHeld(), ledger.all());
    }
}
