package org.merlinwood.standin.engine.impl;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.StatusCodes;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.merlinwood.core.time.MillisClock;
import org.merlinwood.core.time.SystemMillisClock;
import org.merlinwood.http.HttpClient;
import org.merlinwood.standin.engine.EngineOptions;
import org.merlinwood.standin.engine.EngineRun;
import org.merlinwood.standin.engine.ExpectedAnswer;
import org.merlinwood.standin.engine.PrefixBlocks;
import org.merlinwood.standin.engine.impl.EngineBodies.DecodeCall;
import org.merlinwood.standin.engine.impl.EngineBodies.PrefillAnswer;
import org.merlinwood.standin.engine.impl.EngineBodies.PrefillCall;
import org.merlinwood.standin.engine.impl.EngineBodies.StreamState;
import org.merlinwood.standin.engine.impl.EngineBodies.Streams;
import org.merlinwood.standin.engine.impl.LaggingLoad.EngineLoad;
import org.merlinwood.standin.impl.ErrorBody;
import org.merlinwood.standin.impl.Ledger;
import org.merlinwood.standin.impl.StandInServer;

/** The parts of one engine and the two calls that use them all. Thread-safe; owns its threads until closed. */
public final class EngineCore implements AutoCloseable {

    private static final String CRASH = "[crash-engine]";
    private static final String CRASH_DECODE = "[crash-decode]";

    private final MillisClock clock = SystemMillisClock.shared();
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor(
            Thread.ofPlatform().daemon().name("engine-timer").factory());
    private final HttpClient client = HttpClient.create("engine-client", 1);
    private final EngineFaults faults = new EngineFaults();
    private final EngineOptions options;
    private final Runnable onCrash;
    private final WorkRegistry work;
    private final LoadedModels models;
    private final CacheEventLog events;
    private final PrefixCache prefixes;
    private final PrefillQueue prefills;
    private final PrefillResults results;
    private final CacheImport imports;
    private final ContinuousBatch batch;
    private final LaggingLoad load;
    private final ScheduledFuture<?> sampling;

    // ------------------------------------------------------------------ life-cycle

    /**
     * Creates an idle engine.
     *
     * @param options how it behaves
     * @param ledgerFile keeps the ledger over a crash, or empty
     * @param onCrash ends the engine
     */
    public EngineCore(EngineOptions options, Optional<Path> ledgerFile, Runnable onCrash) {
        this.options = options;
        this.onCrash = onCrash;
        this.work =
                new WorkRegistry(new MemoryPieces(options.pieces()), new Ledger<>(ledgerFile, EngineRun.class), clock);
        this.models = new LoadedModels(client, options.role(), options.models(), options.fencingChecked());
        this.events = new CacheEventLog(clock, options.eventDelayMillis(), options.eventGapEvery());
        this.prefixes = new PrefixCache(options.prefixBlocks(), events);
        this.prefills = new PrefillQueue(options.prefillTokensPerSecond(), faults);
        this.results =
                new PrefillResults(timer, new RateLimitedLink(options.linkBytesPerSecond()), options.resultMillis());
        this.imports = new CacheImport(client);
        this.batch = new ContinuousBatch(options.stepBaseMillis(), options.stepPerStreamMillis(), faults, onCrash);
        this.load = new LaggingLoad(this::currentLoad, clock, options.loadLagMillis());
        this.sampling = timer.scheduleAtFixedRate(
                load::sample, LaggingLoad.SAMPLE_MILLIS, LaggingLoad.SAMPLE_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Ends all work as crashed, in the ledger too. */
    public void crashed() {
        work.endAll(EngineRun.Outcome.CRASHED);
    }

    @Override
    public void close() {
        work.endAll(EngineRun.Outcome.CRASHED);
        sampling.cancel(false);
        timer.shutdownNow();
        prefills.close();
        batch.close();
        client.close();
    }

    // ------------------------------------------------------------------ public API: calls

    /**
     * Computes the KV cache of a prompt.
     *
     * @param exchange the exchange to be answered
     * @param call its body
     * @throws InterruptedException if the engine is being closed
     */
    public void prefill(HttpServerExchange exchange, PrefillCall call) throws InterruptedException {
        if (!models.carries(call.model())) {
            StandInServer.answer(exchange, StatusCodes.NOT_FOUND, new ErrorBody("model"));
            return;
        }
        int tokens = ExpectedAnswer.promptTokens(call.prompt());
        Optional<EngineWork> admitted = admit(call.request(), EngineKinds.PREFILL, call.prompt(), tokens, 0);
        if (admitted.isEmpty()) {
            StandInServer.answer(exchange, StatusCodes.SERVICE_UNAVAILABLE, new ErrorBody("memory"));
            return;
        }
        compute(exchange, call, tokens, admitted.get());
    }

    /**
     * Produces the tokens of an answer.
     *
     * @param exchange the exchange to be answered
     * @param call its body
     * @throws InterruptedException if the engine is being closed
     */
    public void decode(HttpServerExchange exchange, DecodeCall call) throws InterruptedException {
        if (!models.carries(call.model())) {
            StandInServer.answer(exchange, StatusCodes.NOT_FOUND, new ErrorBody("model"));
            return;
        }
        int tokens = ExpectedAnswer.promptTokens(call.prompt()) + call.maximumTokens();
        Optional<EngineWork> admitted = admit(
                call.request(),
                EngineKinds.DECODE,
                call.prompt(),
                tokens,
                call.tokensSoFar().size());
        if (admitted.isEmpty()) {
            StandInServer.answer(exchange, StatusCodes.SERVICE_UNAVAILABLE, new ErrorBody("memory"));
            return;
        }
        generate(exchange, call, admitted.get());
    }

    // ------------------------------------------------------------------ public API: state

    /** Returns all streams. */
    public Streams streams() {
        return new Streams(work.open().stream()
                .map(each -> new StreamState(
                        each.run().request(),
                        each.run().kind(),
                        each.run().pieces(),
                        each.run().firstOffset() + each.tokens()))
                .toList());
    }

    /** Returns the load as it was some time ago. */
    public EngineLoad load() {
        return load.shown();
    }

    /** Returns everything that holds memory. */
    public WorkRegistry work() {
        return work;
    }

    /** Returns role and models. */
    public LoadedModels models() {
        return models;
    }

    /** Returns the cache events. */
    public CacheEventLog events() {
        return events;
    }

    /** Returns the results of prefills. */
    public PrefillResults results() {
        return results;
    }

    /** Returns the faults that tests switch on. */
    public EngineFaults faults() {
        return faults;
    }

    // ------------------------------------------------------------------ internals

    private Optional<EngineWork> admit(String request, String kind, String prompt, int tokens, int firstOffset) {
        return work.admit(
                request,
                kind,
                ExpectedAnswer.promptDigest(prompt),
                ExpectedAnswer.promptTokens(prompt),
                EngineOptions.piecesOf(tokens),
                firstOffset);
    }

    private void compute(HttpServerExchange exchange, PrefillCall call, int tokens, EngineWork admitted)
            throws InterruptedException {
        List<String> blocks = PrefixBlocks.of(call.prompt());
        int cached = prefixes.countHeld(blocks) * PrefixBlocks.BLOCK_TOKENS;
        int computed = tokens - cached;
        boolean done = prefills.compute(admitted, computed, call.priority());
        if (call.prompt().contains(CRASH) && !admitted.isEnded()) {
            onCrash.run();
            return;
        }
        if (!done) {
            StandInServer.cut(exchange);
            return;
        }
        prefixes.store(blocks);
        long bytes = tokens * options.cacheBytesPerToken();
        String handle = results.keep(admitted, bytes);
        faults.awaitAudible();
        StandInServer.answer(exchange, 200, new PrefillAnswer(handle, tokens, computed, bytes, options.resultMillis()));
    }

    private void generate(HttpServerExchange exchange, DecodeCall call, EngineWork admitted)
            throws InterruptedException {
        if (!hasCache(call, admitted)) {
            boolean failed = admitted.end(EngineRun.Outcome.IMPORT_FAILED);
            refuseImport(exchange, failed);
            return;
        }
        boolean crashing = call.prompt().contains(CRASH) || call.prompt().contains(CRASH_DECODE);
        int length = ExpectedAnswer.length(call.prompt(), call.maximumTokens());
        DecodeStream stream = new DecodeStream(admitted, length, crashing);
        batch.add(stream);
        String finishReason = ExpectedAnswer.finishReason(call.prompt(), call.maximumTokens());
        new DecodeAnswer(exchange, stream, finishReason, faults, options.cancelOnDisconnect()).write();
    }

    private boolean hasCache(DecodeCall call, EngineWork admitted) throws InterruptedException {
        if (call.cache() != null && !call.cache().handle().isEmpty()) {
            return imports.pull(admitted, call.cache());
        }
        int tokens =
                ExpectedAnswer.promptTokens(call.prompt()) + call.tokensSoFar().size();
        return prefills.compute(admitted, tokens, call.priority());
    }

    private static void refuseImport(HttpServerExchange exchange, boolean failed) {
        if (failed) {
            StandInServer.answer(exchange, StatusCodes.FAILED_DEPENDENCY, new ErrorBody("cache"));
        } else {
            StandInServer.cut(exchange);
        }
    }

    private EngineLoad currentLoad() {
        MemoryPieces memory = work.memory();
        return new EngineLoad(memory.total() - memory.held(), memory.total(), batch.running(), prefills.queuedTokens());
    }
}
