package org.merlinwood.sidecar;

import com.google.common.flogger.FluentLogger;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.logging.Level;
import org.merlinwood.configuration.document.DocumentErrors;
import org.merlinwood.configuration.document.SettingsReader;
import org.merlinwood.configuration.settings.SidecarSettings;
import org.merlinwood.operation.lifecycle.ProcessLifecycle;
import org.merlinwood.operation.log.JsonLogs;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Command line of {@code merlinwood-sidecar}. */
@Command(
        name = "merlinwood-sidecar",
        mixinStandardHelpOptions = true,
        description = "Runs beside one upstream and controls all access to it.",
        exitCodeListHeading = "%nExit status:%n",
        exitCodeList = {
            "0:the process was drained and has ended",
            "2:the settings are invalid",
            "3:an address is in use, or another sidecar runs beside the upstream",
            "4:a second signal ended the process immediately"
        })
public final class SidecarMain implements Callable<Integer> {

    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final String PROCESS = "merlinwood-sidecar";

    @Option(names = "--settings", paramLabel = "FILE", required = true, description = "Settings file of the process.")
    private Path settingsFile;

    private final ProcessLifecycle lifecycle = new ProcessLifecycle();

    /**
     * Runs the process.
     *
     * @param arguments the command line
     */
    public static void main(String[] arguments) {
        JsonLogs.install(PROCESS, Level.INFO);
        System.exit(new CommandLine(new SidecarMain()).execute(arguments));
    }

    @Override
    public Integer call() throws InterruptedException {
        Either<String, SidecarSettings> settings = read();
        if (settings.isLeft()) {
            System.err.println(settings.getLeft());
            return ProcessLifecycle.EXIT_INVALID_SETTINGS;
        }
        lifecycle.installSignalHandlers();
        return run(settings.get());
    }

    private Either<String, SidecarSettings> read() {
        try {
            String text = Files.readString(settingsFile);
            return SettingsReader.readSidecar(settingsFile.toString(), text).mapLeft(DocumentErrors::toString);
        } catch (IOException exception) {
            return Either.left(settingsFile + " can't be read: " + exception.getMessage());
        }
    }

    private int run(SidecarSettings settings) throws InterruptedException {
        SidecarProcess process;
        try {
            process = new SidecarProcess(settings, lifecycle::requestDrain);
        } catch (RuntimeException exception) {
            return startFailed(exception);
        }
        try (process) {
            process.start();
            lifecycle.runUntilDrained(process::drain);
            return ProcessLifecycle.EXIT_OK;
        } catch (RuntimeException exception) {
            return startFailed(exception);
        }
    }

    private static int startFailed(RuntimeException exception) {
        logger.atSevere().withCause(exception).log("the sidecar failed to start");
        return ProcessLifecycle.EXIT_ADDRESS_IN_USE;
    }
}
