package org.merlinwood.gateway.peer;

import java.util.List;
import org.merlinwood.gateway.decision.MemoryForecast;

/**
 * What one entry tells the others. Immutable.
 *
 * @param address where it accepts sessions, as IP:PORT
 * @param members addresses of the entries that it has sessions with
 * @param storeRevision revision of the store up to which it knows every change
 * @param work its work at each instance
 * @param lostRuns requests whose runs ended with a lost instance since the news before
 */
public record PeerNews(
        String address, List<String> members, long storeRevision, List<InstanceWork> work, List<LostRun> lostRuns) {

    /** Copies the lists. */
    public PeerNews {
        members = List.copyOf(members);
        work = List.copyOf(work);
        lostRuns = List.copyOf(lostRuns);
    }

    /**
     * Work of one entry at one instance.
     *
     * @param instance identifier of the instance
     * @param running requests
     * @param promptTokens tokens of prompts that wait or are being computed
     * @param answers the answers under way
     */
    public record InstanceWork(String instance, int running, int promptTokens, List<MemoryForecast.Growth> answers) {

        /** Copies the answers. */
        public InstanceWork {
            answers = List.copyOf(answers);
        }
    }

    /**
     * A run that ended with a lost instance.
     *
     * @param fingerprint names the request by its content
     * @param instance the instance
     */
    public record LostRun(long fingerprint, String instance) {}
}
