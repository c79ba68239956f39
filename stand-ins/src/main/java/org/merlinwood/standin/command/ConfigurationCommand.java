package org.merlinwood.standin.command;

import java.util.concurrent.Callable;
import org.merlinwood.standin.platform.ConfigurationService;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** Subcommand that runs a configuration service. */
@Command(name = "configuration-service", description = "Runs a configuration service.", mixinStandardHelpOptions = true)
final class ConfigurationCommand implements Callable<Integer> {

    @Mixin
    private ListenOptions listening;

    @Option(names = "--calls-per-second", defaultValue = "2000", description = "Requests allowed in one second.")
    private long callsPerSecond;

    @Option(
            names = "--list-lag-millis",
            defaultValue = "500",
            description = "Delay of the list of instances, milliseconds.")
    private long listLagMillis;

    @Override
    public Integer call() {
        return ListenOptions.serve(
                "configuration-service",
                new ConfigurationService(
                        listening.listen(), listening.administration(), callsPerSecond, listLagMillis));
    }
}
