package org.merlinwood.standin.command;

import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.Callable;
import org.merlinwood.standin.plain.PlainService;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** Subcommand that runs a plain service. */
@Command(name = "plain", description = "Runs a plain service.", mixinStandardHelpOptions = true)
final class PlainCommand implements Callable<Integer> {

    @Mixin
    private ListenOptions listening;

    @Option(names = "--name", defaultValue = "plain", description = "Name of the service, included in its responses.")
    private String name;

    @Option(names = "--concurrency", defaultValue = "16", description = "Concurrency limit reported with the load.")
    private int concurrency;

    @Option(names = "--ledger-file", description = "File that preserves the ledger across crashes.")
    private Path ledgerFile;

    @Override
    public Integer call() {
        return ListenOptions.serve(
                "plain",
                new PlainService(
                        listening.listen(),
                        listening.administration(),
                        name,
                        concurrency,
                        Optional.ofNullable(ledgerFile),
                        PlainService.CrashMode.HALT_PROCESS));
    }
}
