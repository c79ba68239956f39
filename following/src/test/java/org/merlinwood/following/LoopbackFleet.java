package org.merlinwood.following;

import com.codahale.metrics.MetricRegistry;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.merlinwood.configuration.inventory.NetworkAddress;
import org.merlinwood.configuration.settings.ProcessSettings;
import org.merlinwood.core.identity.FailureDomain;
import org.merlinwood.core.identity.Incarnation;
import org.merlinwood.core.identity.InstanceName;
import org.merlinwood.core.identity.Revisions;
import org.merlinwood.http.HttpClient;
import org.merlinwood.protocol.AuthenticationKey;
import org.merlinwood.protocol.BaseProtocolObserver;
import org.merlinwood.protocol.PeerConnection;
import org.merlinwood.protocol.PeerEndpoint;
import org.merlinwood.protocol.PeerIdentity;
import org.merlinwood.protocol.PeerRole;
import org.merlinwood.standin.platform.ConfigurationService;

/** A fleet of followers in three failure domains; all run in this process and connect over loopback. */
final class LoopbackFleet implements AutoCloseable {

    private static final String RULES = """
            {
              "services": [{"name": "ledger", "kind": "plain"}],
              "classes": [{"name": "c", "priority": 0, "firstTokenTargetMillis": 9, "betweenTokensTargetMillis": 9}],
              "callers": [{"name": "x", "callerClass": "c", "tokenDigest": "%s"}]
            }
            """.formatted("ab".repeat(32));
    private static final List<String> DOMAINS = List.of("lalitpur", "bhaktapur", "kirtipur");
    private static final AuthenticationKey KEY = new AuthenticationKey(1, "5e".repeat(32));
    private static final long POLL_MILLIS = 2;
    private static final int CALLS_PER_SECOND = 2_000;

    private final ConfigurationService service;
    private final HttpClient httpClient = HttpClient.create("fleet", 2);
    private final List<Member> members = new ArrayList<>();

    /** The follower and the endpoint of one simulated process. */
    private record Member(ConfigurationFollower follower, PeerEndpoint endpoint) {

        void close() {
            follower.close();
            endpoint.close();
        }
    }

    LoopbackFleet(int size) {
        this.service = new ConfigurationService(loopback(), loopback(), CALLS_PER_SECOND, 0);
        IntStream.range(0, size).forEach(index -> members.add(create(index, List.of())));
        service.publish("rules", RULES);
    }

    // ------------------------------------------------------------------ processes

    void start() {
        members.forEach(member -> member.follower().start(member.endpoint()));
    }

    /** Replaces a process by a new one that uses three others as seed peers. */
    ConfigurationFollower replace(int index) {
        members.get(index).close();
        List<NetworkAddress> seeds = IntStream.range(0, members.size())
                .filter(other -> other != index)
                .limit(3)
                .mapToObj(this::address)
                .toList();
        Member member = create(index, seeds);
        members.set(index, member);
        member.follower().start(member.endpoint());
        return member.follower();
    }

    ConfigurationService service() {
        return service;
    }

    List<ConfigurationFollower> followers() {
        return members.stream().map(Member::follower).toList();
    }

    /** Publishes an inventory of all processes. The concurrency makes the content of each revision different. */
    long publish(int concurrency) {
        String rows = IntStream.range(0, members.size())
                .mapToObj(index -> row(index, concurrency))
                .collect(Collectors.joining(",\n"));
        return service.publish("inventory", "{\"instances\": [\n" + rows + "\n]}\n")
                .revision();
    }

    boolean allAt(Revisions revisions) {
        return followers().stream().allMatch(follower -> follower.revisions().equals(revisions));
    }

    long readers() {
        return followers().stream()
                .filter(follower -> follower.state().readsService())
                .count();
    }

    static boolean await(BooleanSupplier condition, long timeoutMillis) throws InterruptedException {
        for (long waitedMillis = 0; waitedMillis < timeoutMillis; waitedMillis += POLL_MILLIS) {
            if (condition.getAsBoolean()) {
                return true;
            }
            Thread.sleep(POLL_MILLIS);
        }
        return condition.getAsBoolean();
    }

    @Override
    public void close() {
        members.forEach(Member::close);
        httpClient.close();
        service.close();
    }

    // ------------------------------------------------------------------ internals

    private Member create(int index, List<NetworkAddress> seeds) {
        ProcessSettings settings = new ProcessSettings(
                new InstanceName("instance-" + index),
                new FailureDomain(domain(index)),
                new NetworkAddress("127.0.0.1", 1),
                new NetworkAddress("127.0.0.1", 2),
                List.of(new NetworkAddress("127.0.0.1", service.address().getPort())),
                seeds,
                List.of());
        ConfigurationFollower follower = ConfigurationFollower.builder(settings, httpClient)
                .metrics(new MetricRegistry())
                .build();
        PeerIdentity identity = new PeerIdentity(
                settings.instance(),
                new Incarnation(ThreadLocalRandom.current().nextLong(1, Long.MAX_VALUE)),
                PeerRole.SIDECAR);
        PeerEndpoint endpoint = follower.serve(PeerEndpoint.builder())
                .identity(identity)
                .keys(List.of(KEY))
                .listenAddress(loopback())
                .threads(1)
                .observer(new BaseProtocolObserver() {
                    @Override
                    public void onRevisions(PeerConnection connection, Revisions revisions) {
                        follower.onPeerRevisions(connection, revisions);
                    }
                })
                .build();
        endpoint.start();
        return new Member(follower, endpoint);
    }

    private String row(int index, int concurrency) {
        return ("{\"name\": \"instance-%d\", \"address\": \"%s\", \"failureDomain\": \"%s\", \"service\": \"ledger\","
                        + " \"role\": \"plain\", \"concurrency\": %d}")
                .formatted(index, address(index), domain(index), index == 0 ? concurrency : 1);
    }

    private NetworkAddress address(int index) {
        return new NetworkAddress(
                "127.0.0.1", members.get(index).endpoint().boundAddress().getPort());
    }

    private static String domain(int index) {
        return DOMAINS.get(index % DOMAINS.size());
    }

    private static InetSocketAddress loopback() {
        return new InetSocketAddress("127.0.0.1", 0);
    }
}
