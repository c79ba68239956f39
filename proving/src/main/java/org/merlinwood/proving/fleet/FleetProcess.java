package org.merlinwood.proving.fleet;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.merlinwood.core.time.SystemMillisClock;

/** A process of a fleet. It can be started again after its end and appends to the same log. Thread-safe. */
public final class FleetProcess {

    private static final int LOG_LINES_SHOWN = 25;

    /** Time within which a signal must have stopped all threads of a process, in milliseconds. */
    private static final long FREEZE_TIMEOUT_MILLIS = 10_000;

    /** Time within which a process must have written the stacks of its threads, in milliseconds. */
    private static final long DUMP_MILLIS = 2_000;

    /** Text that follows the stacks of all threads. */
    private static final String END_OF_DUMP = "Heap";

    /** State of a stopped thread in its status line. */
    private static final char STOPPED = 'T';

    /**
     * Prefix of the command that lets the process handle SIGHUP although this one ignores it ({@code nohup}): a Java
     * process takes no handler of a signal that was ignored when it was started.
     */
    private static final List<String> HANDLING_RELOADS = List.of("env", "--default-signal=HUP");

    private final String name;
    private final List<String> command;
    private final Path log;
    private Process process;
    private boolean closed;

    /**
     * Creates a process without starting it.
     *
     * @param name name of the process and of its log file
     * @param java the Java command
     * @param mainClass name of the main class
     * @param arguments command line arguments
     * @param folder folder of the log file
     */
    public FleetProcess(String name, JavaCommand java, String mainClass, List<String> arguments, Path folder) {
        this.name = name;
        this.command = Stream.concat(HANDLING_RELOADS.stream(), java.of(mainClass, arguments).stream())
                .toList();
        this.log = folder.resolve(name + ".log");
    }

    /** Starts the process if it is not running. Does nothing once it is closed. */
    public synchronized void start() {
        if (closed || (process != null && process.isAlive())) {
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

    /** Kills the process (SIGKILL) and waits for its end. */
    public synchronized void kill() {
        if (process != null) {
            process.destroyForcibly();
            awaitEnd();
        }
    }

    /** Kills the process for good: a thread that still repairs the fleet can't start it again. */
    public synchronized void close() {
        closed = true;
        kill();
    }

    /** Asks the process to exit (SIGTERM) without waiting for its end. */
    public synchronized void terminate() {
        process.destroy();
    }

    /**
     * Suspends the process (SIGSTOP) and waits until all its threads stand: the signal is delivered to each of them
     * only when the machine runs it next.
     *
     * @throws IllegalStateException if a thread still runs after {@link #FREEZE_TIMEOUT_MILLIS}
     */
    public void freeze() {
        signal("STOP");
        long deadlineMillis = SystemMillisClock.shared().monotonicMillis() + FREEZE_TIMEOUT_MILLIS;
        while (!allThreadsStopped()) {
            if (SystemMillisClock.shared().monotonicMillis() > deadlineMillis) {
                throw new IllegalStateException(name + " could not be suspended");
            }
            pause();
        }
    }

    private boolean allThreadsStopped() {
        Path threads = Path.of("/proc", String.valueOf(current().pid()), "task");
        try (Stream<Path> statuses = Files.list(threads)) {
            return statuses.allMatch(FleetProcess::isStopped);
        } catch (IOException exception) {
            throw new UncheckedIOException(name + " has ended or can't be observed", exception);
        }
    }

    /** Returns whether a thread is stopped or has ended. */
    private static boolean isStopped(Path thread) {
        try {
            String status = Files.readString(thread.resolve("stat"));
            return status.charAt(status.lastIndexOf(')') + 2) == STOPPED;
        } catch (IOException ended) {
            return true;
        }
    }

    private static void pause() {
        try {
            TimeUnit.MILLISECONDS.sleep(1);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted while a process was suspended", exception);
        }
    }

    /** Resumes a frozen process (SIGCONT). */
    public void thaw() {
        signal("CONT");
    }

    /** Asks the process to reload its settings (SIGHUP). */
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
     * @param millis maximum time to wait, in milliseconds
     * @return true if the process has ended, false on a timeout or if the thread is interrupted
     */
    public boolean awaitEnd(long millis) {
        try {
            return current().waitFor(millis, TimeUnit.MILLISECONDS);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    /** Returns whether the process is running. */
    public synchronized boolean isAlive() {
        return process != null && process.isAlive();
    }

    /** Returns the operating system's identifier of the process that was started last. */
    public long processIdentifier() {
        return current().pid();
    }

    /** Returns the exit status of a process that has ended. */
    public int exitStatus() {
        return current().exitValue();
    }

    /** Returns the name of the process. */
    public String name() {
        return name;
    }

    /** Returns the last lines of the log, for use in messages. */
    public String logTail() {
        try {
            List<String> lines = Files.readAllLines(log);
            return String.join("\n", lines.subList(Math.max(0, lines.size() - LOG_LINES_SHOWN), lines.size()));
        } catch (IOException exception) {
            return "(no log: " + exception.getMessage() + ")";
        }
    }

    /**
     * Lets the process write the stacks of its threads to its log (SIGQUIT), and returns the end of the log.
     *
     * @return the stacks, for use in messages; incomplete if the process does not write them within
     *     {@value #DUMP_MILLIS} ms
     */
    public String threadDump() {
        if (!isAlive()) {
            return name + " has ended with status " + exitStatus();
        }
        long before = logBytes();
        signal("QUIT");
        long deadlineMillis = SystemMillisClock.shared().monotonicMillis() + DUMP_MILLIS;
        while (!logFrom(before).contains(END_OF_DUMP)
                && SystemMillisClock.shared().monotonicMillis() < deadlineMillis) {
            pause();
        }
        return logFrom(before);
    }

    /**
     * Returns the lines of the log that contain a text, for use in messages.
     *
     * @param text the text
     * @return the lines, oldest first; empty if there is no log yet
     */
    public List<String> logLines(String text) {
        try {
            return Files.readAllLines(log).stream()
                    .filter(line -> line.contains(text))
                    .toList();
        } catch (IOException exception) {
            return List.of();
        }
    }

    private long logBytes() {
        try {
            return Files.exists(log) ? Files.size(log) : 0;
        } catch (IOException exception) {
            throw new UncheckedIOException("could not read the log of " + name, exception);
        }
    }

    private String logFrom(long position) {
        try {
            byte[] content = Files.readAllBytes(log);
            int from = (int) Math.min(position, content.length);
            return new String(content, from, content.length - from, StandardCharsets.UTF_8);
        } catch (IOException exception) {
            return "(no log: " + exception.getMessage() + ")";
        }
    }

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
