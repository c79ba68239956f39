package org.merlinwood.gateway.process;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import org.merlinwood.gateway.decision.EntryStatus;
import org.merlinwood.gateway.decision.InstanceNotices;
import org.merlinwood.gateway.fleet.UpstreamInstance;
import org.merlinwood.gateway.upstream.InstanceListener;
import org.merlinwood.gateway.upstream.InstanceNotice;
import org.merlinwood.http.HttpRequest;
import org.merlinwood.operation.log.DecisionLog;

/**
 * Records what instances state about themselves, with a log line for each notice that states more than was known, and
 * reports requests that are sent to an instance against what it stated. Confined to the event loop.
 */
final class InstanceNoticeRecorder implements InstanceListener {

    private final InstanceNotices notices;
    private final DecisionLog log;
    private final Counter requestsToDeclining;

    /**
     * Creates a recorder and its metrics.
     *
     * @param notices the registry to record in
     * @param log receives the log lines
     * @param metrics receives the numbers of leaving and declining instances and of requests to declining ones
     */
    InstanceNoticeRecorder(InstanceNotices notices, DecisionLog log, MetricRegistry metrics) {
        this.notices = notices;
        this.log = log;
        this.requestsToDeclining = metrics.counter("requests_to_declining_instances");
        metrics.gauge("instances_leaving", () -> notices::leavingCount);
        metrics.gauge("instances_declining", () -> notices::decliningCount);
    }

    @Override
    public void onSend(UpstreamInstance instance, HttpRequest request) {
        if (!notices.isDeclining(instance)) {
            return;
        }
        requestsToDeclining.inc();
        log.line("sent to declining instance")
                .with("instance", instance.identifier())
                .with("method", request.method())
                .with("path", request.path())
                .write();
    }

    @Override
    public void onNotice(UpstreamInstance instance, InstanceNotice notice) {
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
     * Records that an instance has stated to another entry that it leaves.
     *
     * @param peer peer address of that entry
     * @param instance the instance, as that entry knows it
     */
    void onPeerNotice(String peer, EntryStatus.LeavingInstance instance) {
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
