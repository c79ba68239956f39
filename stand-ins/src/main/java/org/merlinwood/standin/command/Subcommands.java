package org.merlinwood.standin.command;

import picocli.CommandLine.Command;

/** Top-level command; has one subcommand for each stand-in. */
@Command(
        name = "merlinwood-stand-ins",
        description = "Stand-ins for the external systems of merlinwood, for tests and the demo only.",
        mixinStandardHelpOptions = true,
        subcommands = {
            EngineCommand.class,
            PlainCommand.class,
            ConfigurationCommand.class,
            WeightStoreCommand.class,
            ForwardCommand.class
        })
public final class Subcommands {}
