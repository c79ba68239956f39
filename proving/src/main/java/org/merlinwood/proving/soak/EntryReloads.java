package org.merlinwood.proving.soak;

import java.net.InetSocketAddress;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.merlinwood.core.time.MillisClock;
import org.merlinwood.core.time.SystemMillisClock;
import org.merlinwood.http.HttpClient;
import org.merlinwood.http.HttpRequest;
import org.merlinwood.proving.fleet.FleetProcess;

/**
 * Tells entries to reload their settings as operators do: no sooner than the process has answered its readiness check
 * once, since the signal ends a process whose virtual machine has no handler yet. A process that has answered is
 * signalled at once, whatever its state. Each start is watched by a thread of its own, so that an answer is noticed
 * before a fault makes the entry unable to answer. Thread-safe.
 */
final class EntryReloads implements AutoCloseable {

    /** Time within which a process that goes on running must have answered, in milliseconds. */
    private static final long ANSWER_TIMEOUT_MILLIS = 20_000;

    private static final long POLL_MILLIS = 10;

    private final MillisClock clock = SystemMillisClock.shared();
    private final HttpClient client = HttpClient.create("reload", 1);

    /** Identifiers of the processes that have answered. */
    private final Set<Long> answered = ConcurrentHashMap.newKeySet();

    /**
     * Watches a process that was just started until it has answered.
     *
     * @param entry the entry
     * @param readyAddress address of its readiness check
     */
    void onStarted(FleetProcess entry, InetSocketAddress readyAddress) {
        long process = entry.processIdentifier();
        Thread.ofVirtual().start(() -> watch(entry, process, readyAddress));
    }

    /**
     * Signals the current process of an entry once it has answered. Signals none if that process ends before: its
     * successor reads the settings when it starts.
     *
     * @param entry the entry
     * @throws IllegalStateException if the process runs on without an answer for {@link #ANSWER_TIMEOUT_MILLIS}
     */
    void reload(FleetProcess entry) throws InterruptedException {
        long process = entry.processIdentifier();
        long deadlineMillis = clock.monotonicMillis() + ANSWER_TIMEOUT_MILLIS;
        while (!answered.contains(process)) {
            if (!runs(entry, process)) {
                return;
            }
            if (clock.monotonicMillis() > deadlineMillis) {
                throw new IllegalStateException(entry.name() + " did not answer and was not told to reload");
            }
            TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
        }
        entry.reload();
    }

    @Override
    public void close() {
        client.close();
    }

    private void watch(FleetProcess entry, long process, InetSocketAddress readyAddress) {
        HttpRequest request = HttpRequest.of("GET", readyAddress, "/v1/ready", new byte[0]);
        while (runs(entry, process)) {
            if (client.execute(request).toCompletableFuture().join().isRight()) {
                answered.add(process);
                return;
            }
            pause();
        }
    }

    private static boolean runs(FleetProcess entry, long process) {
        return entry.isAlive() && entry.processIdentifier() == process;
    }

    private static void pause() {
        try {
            TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted while an entry was watched", exception);
        }
    }
}
