package org.merlinwood.entry;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.logging.Level;
import org.merlinwood.configuration.document.DocumentErrors;
import org.merlinwood.configuration.document.SettingsReader;
import org.merlinwood.configuration.settings.EntrySettings;
import org.merlinwood.following.ConfigurationFollower;
import org.merlinwood.http.HttpClient;
import org.merlinwood.operation.lifecycle.ProcessLifecycle;
import org.merlinwood.operation.log.JsonLogs;
import org.merlinwood.operation.port.OperatorServer;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Command line of {@code merlinwood-entry}. */
@Command(
        name = "merlinwood-entry",
        mixinStandardHelpOptions = true,
        description = "Accepts the requests of callers and routes them to the upstreams in the inventory.",
        exitCodeListHeading = "Exit status:%n",
        exitCodeList = {
            "0:shut down gracefully",
            "2:the settings are invalid; nothing was started",
            "3:an address could not be bound",
            "4:terminated immediately by a second signal"
        })
public final class EntryMain implements Callable<Integer> {

    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int FOLLOWER_IO_THREADS = 1;

    @Option(
            names = "--settings",
            required = true,
            paramLabel = "FILE",
            description = "Settings of this process: JSON with comments.")
    private Path settingsFile;

    EntryMain() {}

    /**
     * Runs the process.
     *
     * @param arguments the command-line arguments
     */
    public static void main(String[] arguments) {
        System.exit(new CommandLine(new EntryMain()).execute(arguments));
    }

    @Override
    public Integer call() throws InterruptedException {
        Either<String, EntrySettings> settings = readSettings();
        if (settings.isLeft()) {
            System.err.println(settings.getLeft());
            return ProcessLifecycle.EXIT_INVALID_SETTINGS;
        }
        JsonLogs.install("merlinwood-entry " + settings.get().process().instance(), Level.INFO);
        return serve(settings.get());
    }

    // ------------------------------------------------------------------ internals

    private Either<String, EntrySettings> readSettings() {
        try {
            String text = Files.readString(settingsFile, StandardCharsets.UTF_8);
            return SettingsReader.readEntry(settingsFile.toString(), text).mapLeft(DocumentErrors::toString);
        } catch (IOException exception) {
            return Either.left("the settings " + settingsFile + " cannot be read: " + exception.getMessage());
        }
    }

    private static int serve(EntrySettings settings) throws InterruptedException {
        MetricRegistry registry = new MetricRegistry();
        ProcessLifecycle lifecycle = new ProcessLifecycle();
        lifecycle.installSignalHandlers();
        try (HttpClient httpClient = HttpClient.create("configuration", FOLLOWER_IO_THREADS);
                ConfigurationFollower follower = ConfigurationFollower.builder(settings.process(), httpClient)
                        .metrics(registry)
                        .build();
                EntryProcess entry = new EntryProcess(
                        settings.process(),
                        settings.callerAddress().toSocketAddress(),
                        Optional.of(settings.process().peerAddress().toSocketAddress()),
                        ConfigurationSource.following(follower),
                        registry);
                OperatorServer operators = operators(settings, registry, follower, entry, lifecycle)) {
            follower.addListener(entry::configure);
            entry.start();
            operators.start();
            logger.atInfo().log("listening for callers on %s", entry.callerAddress());
            lifecycle.runUntilDrained(entry::drain);
            return ProcessLifecycle.EXIT_OK;
        } catch (RuntimeException exception) {
            logger.atSevere().withCause(exception).log("an address could not be bound");
            return ProcessLifecycle.EXIT_ADDRESS_IN_USE;
        }
    }

    private static OperatorServer operators(
            EntrySettings settings,
            MetricRegistry registry,
            ConfigurationFollower follower,
            EntryProcess entry,
            ProcessLifecycle lifecycle) {
        return OperatorServer.builder(settings.process().operatorAddress().toSocketAddress(), registry)
                .section(follower)
                .section(entry.dispatcher())
                .ready(follower::isReady)
                .drain(lifecycle::requestDrain)
                .build();
    }
}
