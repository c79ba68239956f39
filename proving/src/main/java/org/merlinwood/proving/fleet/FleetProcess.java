package org.merlinwood.proving.fleet;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** One process of a fleet, which can be started again after its end. Thread-safe. */
public final class FleetProcess {

    private static final int LOG_LINES_SHOWN = 25;

    private final String name;
    private final List<String> command;
    private final Path log;
    private Process process;

    /**
     * Names a process; it is started later.
     *
     * @param name its name, also of its log file
     * @param java the Java command
     * @param mainClass what it runs
     * @param arguments what it is told
     * @param folder where its log is written
     */
    public FleetProcess(String name, JavaCommand java, String mainClass, List<String> arguments, Path folder) {
        this.name = name;
        this.command = java.of(mainClass, arguments);
        this.log = folder.resolve(name + ".log");
    }

    // ------------------------------------------------------------------ public API

    /** Starts the process if it doesn't run. */
    public synchronized void start() {
        if (process != null && process.isAlive()) {
            return;
        }
        try {
            process = new ProcessBuilder(command)
                    .redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
                    .start();
        } catch (IOException exception) {
            throw new UncheckedIOException(name + " could not be started", exception);
        }
    }

    /** Ends the process at once (SIGKILL) and waits for its end. */
    public synchronized void kill() {
        if (process != null) {
            process.destroyForcibly();
            awaitEnd();
        }
    }

    /** Asks the process to end (SIGTERM). */
    public synchronized void terminate() {
        process.destroy();
    }

    /** Freezes the process (SIGSTOP). */
    public void freeze() {
        signal("STOP");
    }

    /** Lets a frozen process go on (SIGCONT). */
    public void thaw() {
        signal("CONT");
    }

    /** Asks the process to read its settings again (SIGHUP). */
    public void reload() {
        signal("HUP");
    }

    /** Kills the process and starts it again. */
    public void restart() {
        kill();
        start();
    }

    /**
     * Waits for the end of the process.
     *
     * @param millis how long at most, in milliseconds
     * @return true if it has ended
     */
    public boolean awaitEnd(long millis) {
        try {
            return current().waitFor(millis, TimeUnit.MILLISECONDS);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    /** Returns whether the process runs. */
    public synchronized boolean isAlive() {
        return process != null && process.isAlive();
    }

    /** Returns the system's number of the process that was started last. */
    public long processIdentifier() {
        return current().pid();
    }

    /** Returns the exit status of a process that has ended. */
    public int exitStatus() {
        return current().exitValue();
    }

    /** Returns the name. */
    public String name() {
        return name;
    }

    /** Returns the end of the log, for messages. */
    public String logTail() {
        try {
            List<String> lines = Files.readAllLines(log);
            return String.join("\n", lines.subList(Math.max(0, lines.size() - LOG_LINES_SHOWN), lines.size()));
        } catch (IOException exception) {
            return "(no log: " + exception.getMessage() + ")";
        }
    }

    // ------------------------------------------------------------------ internals

    private synchronized Process current() {
        return process;
    }

    private void awaitEnd() {
        try {
            process.waitFor();
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    private void signal(String signal) {
        List<String> kill = new ArrayList<>(
                List.of("kill", "-" + signal, String.valueOf(current().pid())));
        try {
            Process signalling = new ProcessBuilder(kill).start();
            signalling.waitFor();
        } catch (IOException exception) {
            throw new UncheckedIOException(name + " could not be signalled", exception);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }
}
