package org.merlinwood.standin.command;

import java.util.concurrent.Callable;
import org.merlinwood.standin.platform.WeightStore;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** Subcommand that runs a weight store. */
@Command(name = "weight-store", description = "Runs a weight store.", mixinStandardHelpOptions = true)
final class WeightStoreCommand implements Callable<Integer> {

    @Mixin
    private ListenOptions listening;

    @Option(names = "--calls-per-second", defaultValue = "5", description = "Requests allowed in one second.")
    private long callsPerSecond;

    @Option(names = "--weight-bytes", defaultValue = "65536", description = "Size of each weight file, bytes.")
    private int weightBytes;

    @Override
    public Integer call() {
        return ListenOptions.serve(
                "weight-store",
                new WeightStore(listening.listen(), listening.administration(), weightBytes, callsPerSecond));
    }
}
