package org.merlinwood.following.impl;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BiPredicate;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import org.merlinwood.configuration.inventory.NetworkAddress;
import org.merlinwood.core.identity.InstanceName;
import org.merlinwood.core.identity.Revisions;
import org.merlinwood.core.result.Failure;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.core.time.ManualMillisClock;

/** Followers in virtual time, connected by links that can be cut. A cut is detected after an idle timeout. */
final class FakeFleet {

    private static final long LATENCY_MILLIS = 1;
    private static final long IDLE_TIMEOUT_MILLIS = 1_500;

    final ManualMillisClock clock = new ManualMillisClock(1);
    final VirtualTimer timer = new VirtualTimer(clock);
    final FakeService service = new FakeService(clock, timer);
    final List<FollowerCore> followers = new ArrayList<>();
    final List<MetricRegistry> metrics = new ArrayList<>();
    private final Set<Link> links = new HashSet<>();
    private BiPredicate<Integer, Integer> cut = (from, to) -> false;
    private Predicate<Integer> unresponsive = index -> false;
    private int losingSubscriber = -1;

    FakeFleet(int size, List<NetworkAddress> seedPeers) {
        IntStream.range(0, size).forEach(index -> add(index, service, seedPeers));
    }

    // ------------------------------------------------------------------ processes

    /** Starts a process; replaces a running process of the same index. */
    FollowerCore add(int index, ConfigurationService configurationService, List<NetworkAddress> seedPeers) {
        MetricRegistry registry = new MetricRegistry();
        FollowerCore follower = new FollowerCore(
                TestDocuments.settings(index, seedPeers), timer, clock, configurationService, registry, 100 + index);
        if (index < followers.size()) {
            followers.get(index).close();
            followers.set(index, follower);
            metrics.set(index, registry);
            Set.copyOf(links).forEach(link -> link.endIfConnectedTo(index));
        } else {
            followers.add(follower);
            metrics.add(registry);
        }
        follower.start(address -> new FakePeer(index, indexOf(address)));
        return follower;
    }

    /** Cuts the links between the given pairs, in both directions. */
    void cut(BiPredicate<Integer, Integer> pairs) {
        cut = (from, to) -> pairs.test(from, to) || pairs.test(to, from);
        timer.schedule(IDLE_TIMEOUT_MILLIS, () -> Set.copyOf(links).forEach(Link::endIfCut));
    }

    /** Makes processes accept connections without ever responding. */
    void unresponsive(Predicate<Integer> indices) {
        unresponsive = indices;
    }

    /** Drops all updates to the subscriptions of one process. */
    void loseUpdatesTo(int index) {
        losingSubscriber = index;
    }

    void heal() {
        cut = (from, to) -> false;
    }

    // ------------------------------------------------------------------ observation

    List<Integer> readers() {
        return IntStream.range(0, followers.size())
                .filter(index -> followers.get(index).state().readsService())
                .boxed()
                .toList();
    }

    boolean allAt(Revisions revisions) {
        return followers.stream().allMatch(follower -> follower.revisions().equals(revisions));
    }

    /** Runs until all processes have the revisions; returns the elapsed milliseconds, or -1 at the limit. */
    long millisUntilAllAt(Revisions revisions, long limitMillis) {
        long startMillis = clock.monotonicMillis();
        boolean reached = timer.runUntil(() -> allAt(revisions), startMillis + limitMillis);
        return reached ? clock.monotonicMillis() - startMillis : -1;
    }

    Peer peer(int from, int to) {
        return new FakePeer(from, to);
    }

    // ------------------------------------------------------------------ links

    private int indexOf(NetworkAddress address) {
        return IntStream.range(0, followers.size())
                .filter(index -> TestDocuments.address(index).equals(address.toString()))
                .findFirst()
                .orElse(-1);
    }

    private final class FakePeer implements Peer {

        private final int from;
        private final int to;

        private FakePeer(int from, int to) {
            this.from = from;
            this.to = to;
        }

        @Override
        public String name() {
            return TestDocuments.address(to);
        }

        @Override
        public void fetch(Revisions known, Listener listener) {
            if (isUnreachable()) {
                timer.schedule(LATENCY_MILLIS, () -> listener.onEnded(unreachableFailure()));
                return;
            }
            if (unresponsive.test(to)) {
                return;
            }
            timer.schedule(LATENCY_MILLIS, () -> {
                List<DocumentUpdate> updates = followers.get(to).store().since(known);
                timer.schedule(LATENCY_MILLIS, () -> listener.onUpdates(updates));
            });
        }

        @Override
        public Subscription subscribe(Revisions known, Listener listener) {
            if (isUnreachable()) {
                timer.schedule(LATENCY_MILLIS, () -> listener.onEnded(unreachableFailure()));
                return () -> {};
            }
            Link link = new Link(from, to, listener);
            links.add(link);
            if (!unresponsive.test(to)) {
                timer.schedule(LATENCY_MILLIS, () -> link.open(known));
            }
            return link;
        }

        private boolean isUnreachable() {
            return to < 0 || cut.test(from, to);
        }
    }

    private final class Link implements Peer.Subscription {

        private final int from;
        private final int to;
        private final Peer.Listener listener;
        private final Predicate<List<DocumentUpdate>> sender = this::send;

        private Link(int from, int to, Peer.Listener listener) {
            this.from = from;
            this.to = to;
            this.listener = listener;
        }

        private void open(Revisions known) {
            followers.get(to).subscribers().add(new InstanceName(TestDocuments.name(from)), known, sender);
        }

        private boolean send(List<DocumentUpdate> updates) {
            if (!cut.test(from, to) && from != losingSubscriber) {
                timer.schedule(LATENCY_MILLIS, () -> {
                    if (links.contains(this)) {
                        listener.onUpdates(updates);
                    }
                });
            }
            return true;
        }

        /** Closes the link if the process at one of its ends was replaced. */
        private void endIfConnectedTo(int index) {
            if (from == index) {
                end();
            } else if (to == index) {
                links.remove(this);
                listener.onEnded(unreachableFailure());
            }
        }

        private void endIfCut() {
            if (cut.test(from, to) && links.contains(this)) {
                end();
                listener.onEnded(unreachableFailure());
            }
        }

        @Override
        public void end() {
            links.remove(this);
            followers.get(to).subscribers().remove(new InstanceName(TestDocuments.name(from)), sender);
        }
    }

    private static Failure unreachableFailure() {
        return Failure.of(ResultCode.PEER_SILENT, "the link is cut");
    }
}
