package org.merlinwood.gateway.process;

import org.merlinwood.gateway.decision.EntryStatus;
import org.merlinwood.gateway.decision.InstanceNotices;
import org.merlinwood.gateway.fleet.UpstreamInstance;
import org.merlinwood.gateway.upstream.InstanceNotice;
import org.merlinwood.operation.log.DecisionLog;

/** Records what instances state about themselves, with a log line for all that is new. Confined to the event loop. */
final class NoticeRecorder {

    private final InstanceNotices notices;
    private final DecisionLog log;

    /**
     * Creates a recorder.
     *
     * @param notices what is known so far
     * @param log receives one line for each notice that tells more than that
     */
    NoticeRecorder(InstanceNotices notices, DecisionLog log) {
        this.notices = notices;
        this.log = log;
    }

    /**
     * Records the notice in a response.
     *
     * @param instance the instance, as it was registered when the request was sent
     * @param notice what its response states
     */
    void record(UpstreamInstance instance, InstanceNotice notice) {
        if (notices.record(instance, notice)) {
            log.line("instance notice")
                    .with("instance", instance.identifier())
                    .with("startedUnixMillis", instance.startedUnixMillis())
                    .with("leaving", String.valueOf(notice.leaving()))
                    .with("declinedMillis", notice.declinedMillis().orElse(0))
                    .write();
        }
    }

    /**
     * Records that another entry was told by an instance that it leaves.
     *
     * @param peer peer address of that entry
     * @param instance the instance, as that entry knows it
     */
    void recordFromPeer(String peer, EntryStatus.LeavingInstance instance) {
        if (notices.recordFromPeer(instance)) {
            log.line("instance notice")
                    .with("instance", instance.instance())
                    .with("startedUnixMillis", instance.startedUnixMillis())
                    .with("leaving", "true")
                    .with("peer", peer)
                    .write();
        }
    }
}
