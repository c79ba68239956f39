package org.merlinwood.gateway.peer;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.merlinwood.core.time.MillisClock;

/** From which entries status messages arrive, and what they say of the entry itself. Confined to the event loop. */
final class ReceivedStatuses {

    private final MillisClock clock;
    private final Map<String, Last> lastByAddress = new HashMap<>();

    /**
     * The last status of an entry.
     *
     * @param atMillis monotonic time of its arrival, in milliseconds
     * @param keepsOrigins whether the entry keeps stream origins; those of an earlier release don't know the messages
     * @param confirmsCopies whether the entry answers how current its copy of the store is; the same holds for it
     * @param takesWorkUpdates whether the entry takes work updates; those of an earlier release don't know the message
     */
    private record Last(long atMillis, boolean keepsOrigins, boolean confirmsCopies, boolean takesWorkUpdates) {}

    ReceivedStatuses(MillisClock clock) {
        this.clock = clock;
    }

    /** Records a status that has just arrived. */
    void record(String address, boolean keepsOrigins, boolean confirmsCopies, boolean takesWorkUpdates) {
        lastByAddress.put(address, new Last(clock.monotonicMillis(), keepsOrigins, confirmsCopies, takesWorkUpdates));
    }

    /** Returns whether an entry sends status messages and keeps stream origins. */
    boolean keepsOrigins(String address) {
        Last last = lastByAddress.get(address);
        return last != null && last.keepsOrigins();
    }

    /** Returns whether an entry sends status messages and answers how current its copy of the store is. */
    boolean confirmsCopies(String address) {
        Last last = lastByAddress.get(address);
        return last != null && last.confirmsCopies();
    }

    /** Returns whether an entry sends status messages and takes work updates. */
    boolean takesWorkUpdates(String address) {
        Last last = lastByAddress.get(address);
        return last != null && last.takesWorkUpdates();
    }

    /** Returns whether an entry sends status messages. */
    boolean contains(String address) {
        return lastByAddress.containsKey(address);
    }

    /** Forgets the entries that have sent nothing for longer than a time in milliseconds, and returns them. */
    List<String> removeSilent(long millis) {
        long oldestAllowedMillis = clock.monotonicMillis() - millis;
        List<String> silent = lastByAddress.entrySet().stream()
                .filter(entry -> entry.getValue().atMillis() < oldestAllowedMillis)
                .map(Map.Entry::getKey)
                .toList();
        silent.forEach(lastByAddress::remove);
        return silent;
    }
}
