package org.merlinwood.gateway.crash;

import java.util.Set;

/** Observes what {@link CrashCausingParts} finds. Called on the event loop. */
public interface CrashListener {

    /** Stands for this entry where the address of a reporting entry is given. */
    String THIS_ENTRY = "this entry";

    /**
     * Called for each crash of an instance, once for each entry that saw it.
     *
     * @param crash the crash with its suspects
     * @param reporter peer address of the entry that saw it, or {@link #THIS_ENTRY}
     */
    void onCrash(CrashReport.Crash crash, String reporter);

    /**
     * Called when an instance that seemed to have crashed goes on.
     *
     * @param instance identifier of the instance
     */
    void onConnectionLost(String instance);

    /**
     * Called when a combination of parts is blocked that was not blocked before.
     *
     * @param parts fingerprints of the parts
     * @param reporter peer address of the entry that found it, or {@link #THIS_ENTRY}
     */
    void onBlocked(Set<Long> parts, String reporter);

    /**
     * Called when a blocked part is no longer blocked because a response to it began.
     *
     * @param part fingerprint of the part
     */
    void onCleared(long part);
}
