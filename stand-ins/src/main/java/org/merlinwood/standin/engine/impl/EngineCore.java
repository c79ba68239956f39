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
import org.merlinwood.standin.engine.ExpectedResponse;
import org.merlinwood.standin.engine.PrefixBlocks;
import org.merlinwood.standin.engine.impl.EngineBodies.DecodeRequest;
import org.merlinwood.standin.engine.impl.EngineBodies.PrefillRequest;
import org.merlinwood.standin.engine.impl.EngineBodies.PrefillResponse;
import org.merlinwood.standin.engine.impl.EngineBodies.StreamState;
import org.merlinwood.standin.engine.impl.EngineBodies.Streams;
import org.merlinwood.standin.engine.impl.LaggingLoad.EngineLoad;
import org.merlinwood.standin.impl.ErrorBody;
import org.merlinwood.standin.impl.Ledger;
import org.merlinwood.standin.impl.StandInServer;

/** The components of one engine and its prefill and decode requests. Thread-safe; owns its threads until closed. */
public final class EngineCore implements AutoCloseable {

    private static final String CRASH_MARKER = "[crash-engine]";
    private static final String CRASH_DECODE_MARKER = "[crash-decode]";

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
    private final PrefixCache prefixCache;
    private final PrefillQueue prefillQueue;
    private final PrefillResults results;
    private final CacheImport cacheImport;
    private final ContinuousBatch batch;
    private final LaggingLoad load;
    private final ScheduledFuture<?> loadSampling;

    // ------------------------------------------------------------------ life-cycle

    /**
     * Creates an idle engine.
     *
     * @param options behaviour of the engine
     * @param ledgerFile file that preserves the ledger across crashes, or empty
     * @param onCrash crashes the engine
     */
    public EngineCore(EngineOptions options, Optional<Path> ledgerFile, Runnable onCrash) {
        this.options = options;
        this.onCrash = onCrash;
        this.work =
                new WorkRegistry(new MemoryPieces(options.pieces()), new Ledger<>(ledgerFile, EngineRun.class), clock);
        this.models = new LoadedModels(client, options.role(), options.models(), options.fencingChecked());
        this.events = new CacheEventLog(clock, options.eventDelayMillis(), options.eventGapEvery());
        this.prefixCache = new PrefixCache(options.prefixBlocks(), events);
        this.prefillQueue = new PrefillQueue(options.prefillTokensPerSecond(), faults);
        this.results =
                new PrefillResults(timer, new RateLimitedLink(options.linkBytesPerSecond()), options.resultMillis());
        this.cacheImport = new CacheImport(client);
        this.batch = new ContinuousBatch(options.stepBaseMillis(), options.stepPerStreamMillis(), faults, onCrash);
        this.load = new LaggingLoad(this::currentLoad, clock, options.loadLagMillis());
        this.loadSampling = timer.scheduleAtFixedRate(
                load::sample, LaggingLoad.SAMPLE_MILLIS, LaggingLoad.SAMPLE_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Ends all work and records it as crashed in the ledger. */
    public void recordCrash() {
        work.endAll(EngineRun.Outcome.CRASHED);
    }

    @Override
    public void close() {
        work.endAll(EngineRun.Outcome.CRASHED);
        loadSampling.cancel(false);
        timer.shutdownNow();
        prefillQueue.close();
        batch.close();
        client.close();
    }

    // ------------------------------------------------------------------ public API: requests

    /**
     * Computes the KV cache of a prompt and responds with its handle. Blocks until the response is sent.
     *
     * @param exchange the exchange of the request
     * @param request body of the request
     * @throws InterruptedException if the engine is being closed
     */
    public void prefill(HttpServerExchange exchange, PrefillRequest request) throws InterruptedException {
        if (!models.isLoaded(request.model())) {
            StandInServer.respond(exchange, StatusCodes.NOT_FOUND, new ErrorBody("model"));
            return;
        }
        int tokens = ExpectedResponse.promptTokens(request.prompt());
        Optional<EngineWork> admitted = admit(request.request(), EngineKinds.PREFILL, request.prompt(), tokens, 0);
        if (admitted.isEmpty()) {
            StandInServer.respond(exchange, StatusCodes.SERVICE_UNAVAILABLE, new ErrorBody("memory"));
            return;
        }
        compute(exchange, request, tokens, admitted.get());
    }

    /**
     * Generates tokens and streams them as the response. Blocks until the response has ended.
     *
     * @param exchange the exchange of the request
     * @param request body of the request
     * @throws InterruptedException if the engine is being closed
     */
    public void decode(HttpServerExchange exchange, DecodeRequest request) throws InterruptedException {
        if (!models.isLoaded(request.model())) {
            StandInServer.respond(exchange, StatusCodes.NOT_FOUND, new ErrorBody("model"));
            return;
        }
        int tokens = ExpectedResponse.promptTokens(request.prompt()) + request.maximumTokens();
        Optional<EngineWork> admitted = admit(
                request.request(),
                EngineKinds.DECODE,
                request.prompt(),
                tokens,
                request.tokensSoFar().size());
        if (admitted.isEmpty()) {
            StandInServer.respond(exchange, StatusCodes.SERVICE_UNAVAILABLE, new ErrorBody("memory"));
            return;
        }
        generate(exchange, request, admitted.get());
    }

    // ------------------------------------------------------------------ public API: state

    /** Returns the state of all requests that have memory reserved. */
    public Streams streams() {
        return new Streams(work.open().stream()
                .map(each -> new StreamState(
                        each.run().request(),
                        each.run().kind(),
                        each.run().pieces(),
                        each.run().firstOffset() + each.tokens()))
                .toList());
    }

    /** Returns the load, delayed by the configured lag. */
    public EngineLoad load() {
        return load.delayedLoad();
    }

    /** Returns the registry of all work that has memory reserved. */
    public WorkRegistry work() {
        return work;
    }

    /** Returns the role and the loaded models. */
    public LoadedModels models() {
        return models;
    }

    /** Returns the log of cache events. */
    public CacheEventLog events() {
        return events;
    }

    /** Returns the retained results of prefills. */
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
                ExpectedResponse.promptDigest(prompt),
                ExpectedResponse.promptTokens(prompt),
                EngineOptions.piecesOf(tokens),
                firstOffset);
    }

    private void compute(HttpServerExchange exchange, PrefillRequest request, int tokens, EngineWork admitted)
            throws InterruptedException {
        List<String> blocks = PrefixBlocks.of(request.prompt());
        int cached = prefixCache.countCached(blocks) * PrefixBlocks.BLOCK_TOKENS;
        int computed = tokens - cached;
        boolean done = prefillQueue.compute(admitted, computed, request.priority());
        if (request.prompt().contains(CRASH_MARKER) && !admitted.isEnded()) {
            onCrash.run();
            return;
        }
        if (!done) {
            StandInServer.abort(exchange);
            return;
        }
        prefixCache.store(blocks);
        long bytes = tokens * options.cacheBytesPerToken();
        String handle = results.store(admitted, bytes);
        faults.awaitNotSilent();
        StandInServer.respond(
                exchange, 200, new PrefillResponse(handle, tokens, computed, bytes, options.resultMillis()));
    }

    private void generate(HttpServerExchange exchange, DecodeRequest request, EngineWork admitted)
            throws InterruptedException {
        if (!obtainCache(request, admitted)) {
            boolean importFailed = admitted.end(EngineRun.Outcome.IMPORT_FAILED);
            respondImportFailed(exchange, importFailed);
            return;
        }
        boolean crashing =
                request.prompt().contains(CRASH_MARKER) || request.prompt().contains(CRASH_DECODE_MARKER);
        int length = ExpectedResponse.length(request.prompt(), request.maximumTokens());
        DecodeStream stream = new DecodeStream(admitted, length, crashing);
        batch.add(stream);
        String finishReason = ExpectedResponse.finishReason(request.prompt(), request.maximumTokens());
        new DecodeResponse(exchange, stream, finishReason, faults, options.cancelOnDisconnect()).write();
    }

    private boolean obtainCache(DecodeRequest request, EngineWork admitted) throws InterruptedException {
        if (request.cache() != null && !request.cache().handle().isEmpty()) {
            return cacheImport.pull(admitted, request.cache());
        }
        int tokens = ExpectedResponse.promptTokens(request.prompt())
                + request.tokensSoFar().size();
        return prefillQueue.compute(admitted, tokens, request.priority());
    }

    private static void respondImportFailed(HttpServerExchange exchange, boolean importFailed) {
        if (importFailed) {
            StandInServer.respond(exchange, StatusCodes.FAILED_DEPENDENCY, new ErrorBody("cache"));
        } else {
            StandInServer.abort(exchange);
        }
    }

    private EngineLoad currentLoad() {
        MemoryPieces memory = work.memory();
        return new EngineLoad(
                memory.total() - memory.reserved(), memory.total(), batch.running(), prefillQueue.queuedTokens());
    }
}
