package org.merlinwood.standin.command;

import picocli.CommandLine.Command;

/** Lists the stand-ins. */
@Command(
        name = "merlinwood-stand-ins",
        description = "Small stand-ins for the systems around merlinwood, for tests and the demo only.",
        mixinStandardHelpOptions = true,
        subcommands = {
            EngineCommand.class,
            PlainCommand.class,
            ConfigurationCommand.class,
            WeightStoreCommand.class,
            ForwardCommand.class
        })
public final class Subcommands {}
