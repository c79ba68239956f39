package org.merlinwood.standin.command;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Callable;
import org.merlinwood.standin.engine.EngineOptions;
import org.merlinwood.standin.engine.ModelEngine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** Subcommand that runs a model engine. */
@Command(name = "engine", description = "Runs a model engine.", mixinStandardHelpOptions = true)
final class EngineCommand implements Callable<Integer> {

    @Mixin
    private ListenOptions listening;

    @Option(names = "--role", defaultValue = "DECODE", description = "PREFILL or DECODE.")
    private String role;

    @Option(names = "--models", split = ",", description = "Models loaded at startup, NAME or NAME:VERSION.")
    private List<String> models = List.of();

    @Option(names = "--pieces", defaultValue = "20", description = "Memory in pieces of 2,000 tokens.")
    private int pieces;

    @Option(names = "--step-millis", defaultValue = "10", description = "Base duration of a decode step, milliseconds.")
    private double stepMillis;

    @Option(
            names = "--stream-millis",
            defaultValue = "0.5",
            description = "Time that each stream adds to a step, milliseconds.")
    private double streamMillis;

    @Option(
            names = "--prefill-tokens-per-second",
            defaultValue = "20000",
            description = "Prefill rate, tokens per second.")
    private double prefillTokensPerSecond;

    @Option(
            names = "--result-millis",
            defaultValue = "900",
            description = "Retention of prefill results, milliseconds.")
    private long resultMillis;

    @Option(
            names = "--link-bytes-per-second",
            defaultValue = "52428800",
            description = "Rate of the shared export link, bytes per second.")
    private long linkBytesPerSecond;

    @Option(
            names = "--cache-bytes-per-token",
            defaultValue = "256",
            description = "Size of the KV cache of one token, bytes.")
    private long cacheBytesPerToken;

    @Option(names = "--prefix-blocks", defaultValue = "1024", description = "Capacity of the prefix cache, blocks.")
    private int prefixBlocks;

    @Option(names = "--event-delay-millis", defaultValue = "100", description = "Delay of cache events, milliseconds.")
    private long eventDelayMillis;

    @Option(names = "--event-gap-every", defaultValue = "7", description = "Every Nth cache event is lost; 0: none.")
    private int eventGapEvery;

    @Option(
            names = "--load-lag-millis",
            defaultValue = "200",
            description = "Delay of the reported load, milliseconds.")
    private long loadLagMillis;

    @Option(names = "--ignore-fencing", description = "Accepts orders with old fencing numbers.")
    private boolean ignoreFencing;

    @Option(names = "--cancel-on-disconnect", description = "Cancels a stream when its client disconnects.")
    private boolean cancelOnDisconnect;

    @Option(names = "--ledger-file", description = "File that preserves the ledger across crashes.")
    private Path ledgerFile;

    @Override
    public Integer call() {
        return ListenOptions.serve(
                "engine",
                new ModelEngine(
                        listening.listen(), listening.administration(), options(), Optional.ofNullable(ledgerFile)));
    }

    private EngineOptions options() {
        return EngineOptions.builder()
                .role(role)
                .models(models)
                .pieces(pieces)
                .stepMillis(stepMillis, streamMillis)
                .prefillTokensPerSecond(prefillTokensPerSecond)
                .resultMillis(resultMillis)
                .linkBytesPerSecond(linkBytesPerSecond)
                .cacheBytesPerToken(cacheBytesPerToken)
                .prefixBlocks(prefixBlocks)
                .cacheEvents(eventDelayMillis, eventGapEvery)
                .loadLagMillis(loadLagMillis)
                .fencingChecked(!ignoreFencing)
                .cancelOnDisconnect(cancelOnDisconnect)
                .crashMode(EngineOptions.CrashMode.HALT_PROCESS)
                .build();
    }
}
