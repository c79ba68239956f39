package org.merlinwood.entry.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import org.merlinwood.configuration.inventory.InstanceRole;
import org.merlinwood.core.identity.InstanceName;
import org.merlinwood.core.result.Failure;
import org.merlinwood.core.result.ResultCode;

/**
 * Records what happened to the attempts of one request, so that the log line of a failed request names the cause. All
 * times are in milliseconds since the request arrived. Exists as long as its request; used by the control thread only.
 */
final class AttemptHistory {

    /** Number of entries that are kept; later ones are only counted. */
    static final int MAXIMUM_ENTRIES = 64;

    private final List<Entry> entries = new ArrayList<>();
    private int omitted;

    /** Records that a grant was requested. */
    void requested(int attempt, InstanceRole role, InstanceName instance, long ageMillis) {
        add(new Entry.Requested(attempt, role, instance, ageMillis));
    }

    /** Records that the work of an attempt was handed to its instance. */
    void executed(int attempt, long ageMillis) {
        add(new Entry.Executed(attempt, ageMillis));
    }

    /** Records that an attempt was refused, failed or was lost. */
    void failed(int attempt, ResultCode code, long ageMillis) {
        add(new Entry.Failed(attempt, code, ageMillis));
    }

    /** Records that the request waits for an instance; a wait right after another one prolongs it. */
    void waited(long millis, long ageMillis) {
        if (!entries.isEmpty() && entries.getLast() instanceof Entry.Waited earlier) {
            entries.set(entries.size() - 1, new Entry.Waited(earlier.millis + millis, earlier.ageMillis));
        } else {
            add(new Entry.Waited(millis, ageMillis));
        }
    }

    /**
     * Describes how a request came to fail.
     *
     * @param failure the failure that its caller gets
     * @return text for the end of a log line: the detail of the failure, then all entries, oldest first
     */
    String describe(Failure failure) {
        String text = entries.stream().map(AttemptHistory::describe).collect(Collectors.joining("; "));
        String omission = omitted == 0 ? "" : "; " + omitted + " later entries omitted";
        return ": %s [%s%s]".formatted(failure.detail(), text, omission);
    }

    private void add(Entry entry) {
        if (entries.size() < MAXIMUM_ENTRIES) {
            entries.add(entry);
        } else {
            omitted++;
        }
    }

    private static String describe(Entry entry) {
        return switch (entry) {
            case Entry.Requested requested ->
                "%d: %s %s at %d ms"
                        .formatted(requested.attempt, requested.role, requested.instance, requested.ageMillis);
            case Entry.Executed executed -> "%d executed at %d ms".formatted(executed.attempt, executed.ageMillis);
            case Entry.Failed failed -> "%d %s at %d ms".formatted(failed.attempt, failed.code, failed.ageMillis);
            case Entry.Waited waited -> "waits %d ms from %d ms".formatted(waited.millis, waited.ageMillis);
        };
    }

    private sealed interface Entry {

        record Requested(int attempt, InstanceRole role, InstanceName instance, long ageMillis) implements Entry {}

        record Executed(int attempt, long ageMillis) implements Entry {}

        record Failed(int attempt, ResultCode code, long ageMillis) implements Entry {}

        record Waited(long millis, long ageMillis) implements Entry {}
    }
}
