package org.merlinwood.gateway.peer;

import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.merlinwood.core.identity.Incarnation;
import org.merlinwood.core.identity.InstanceName;
import org.merlinwood.core.result.Failure;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.core.time.MillisClock;
import org.merlinwood.gateway.decision.EntryStatus;
import org.merlinwood.gateway.loop.EventLoop;
import org.merlinwood.operation.log.DecisionLog;
import org.merlinwood.protocol.AuthenticationKey;
import org.merlinwood.protocol.Exchange;
import org.merlinwood.protocol.ExchangeListener;
import org.merlinwood.protocol.PeerConnection;
import org.merlinwood.protocol.PeerEndpoint;
import org.merlinwood.protocol.PeerIdentity;
import org.merlinwood.protocol.PeerRole;
import org.merlinwood.wire.Frame;

/**
 * Sessions with the other entries: finds them from the seeds, tells them news, and asks those that know more of the
 * store for what this entry lacks.
 *
 * <p>Each entry connects to every other and tells its news on the connection that it opened. Frames come on the event
 * loops of the protocol and are handed to the entry's own loop, which owns all state here.
 */
public final class PeerSessions {

    /** Least time between news, in milliseconds: a tenth of the time that a new answer takes to its first event. */
    private static final long NEWS_MILLIS = 100;

    /** Entries up to which news come at that pace; beyond, their number a second stays the same for each entry. */
    private static final int FREQUENT_NEWS_ENTRIES = 8;

    /** News between two that name the members; membership changes slowly. */
    private static final int NEWS_BETWEEN_MEMBERS = 10;

    /** Time between attempts to reach an entry, in milliseconds. */
    private static final long RECONNECT_MILLIS = 500;

    /** How long an address that no seed names is tried in vain, in milliseconds. */
    private static final long FORGET_MILLIS = 20_000;

    /** Least silence after which the work of another entry counts no more, in milliseconds. */
    private static final long SILENCE_MILLIS = 1_000;

    /** News that may be missing before an entry counts as silent. */
    private static final int MISSING_NEWS = 4;

    private final String ownAddress;
    private final List<String> seeds;
    private final Function<String, InetSocketAddress> parser;
    private final EventLoop loop;
    private final MillisClock clock;
    private final PeerListener listener;
    private final DecisionLog log;
    private final PeerEndpoint endpoint;
    private final Map<String, Member> members = new HashMap<>();
    private final Map<String, Long> heardMillis = new HashMap<>();
    private int maximumKnownCount;
    private long newsTold;

    /**
     * Creates the sessions.
     *
     * @param instance name of this instance
     * @param listenAddress where to accept sessions
     * @param key secret of the fleet
     * @param seeds addresses of some entries
     * @param parser reads IP:PORT
     * @param loop owns all state
     * @param clock the time
     * @param listener the entry
     * @param log a line for each decision
     */
    public PeerSessions(
            String instance,
            InetSocketAddress listenAddress,
            AuthenticationKey key,
            List<InetSocketAddress> seeds,
            Function<String, InetSocketAddress> parser,
            EventLoop loop,
            MillisClock clock,
            PeerListener listener,
            DecisionLog log) {
        this.ownAddress = formatAddress(listenAddress);
        this.seeds = seeds.stream().map(PeerSessions::formatAddress).toList();
        this.parser = parser;
        this.loop = loop;
        this.clock = clock;
        this.listener = listener;
        this.log = log;
        long life = clock.wallMillis() * 1_000_003 + instance.hashCode();
        this.endpoint = PeerEndpoint.builder()
                .identity(new PeerIdentity(
                        new InstanceName(instance), new Incarnation(life == 0 ? 1 : life), PeerRole.ENTRY))
                .keys(List.of(key))
                .listenAddress(listenAddress)
                .threads(1)
                .acceptor(Frame.BodyCase.ENTRY_NEWS, this::accept)
                .build();
    }

    // ------------------------------------------------------------------ life-cycle

    /** Listens, and begins to look for the others. */
    public void start() {
        endpoint.start();
        loop.execute(() -> {
            seeds.forEach(this::addAddresses);
            sendStatus();
        });
    }

    /** Ends all sessions. */
    public void close() {
        endpoint.close();
    }

    // ------------------------------------------------------------------ members

    private final class Member implements ExchangeListener {

        private final String address;
        private final boolean seed;
        private Optional<Exchange> exchange = Optional.empty();
        private boolean connecting;
        private long lastTryMillis = Long.MIN_VALUE / 2;
        private long lastOpenMillis = clock.monotonicMillis();

        private Member(String address) {
            this.address = address;
            this.seed = seeds.contains(address);
        }

        private void connect() {
            if (connecting || clock.monotonicMillis() - lastTryMillis < RECONNECT_MILLIS) {
                return;
            }
            connecting = true;
            lastTryMillis = clock.monotonicMillis();
            endpoint.connect(parser.apply(address)).thenAccept(result -> loop.execute(() -> onConnected(result)));
        }

        private void onConnected(Either<Failure, PeerConnection> result) {
            connecting = false;
            result.forEach(connection -> {
                exchange = Optional.of(connection.open(this));
                lastOpenMillis = clock.monotonicMillis();
                log.line("peer connected").with("peer", address).write();
            });
        }

        private boolean forgettable() {
            return !seed && exchange.isEmpty() && clock.monotonicMillis() - lastOpenMillis > FORGET_MILLIS;
        }

        @Override
        public void onFrame(Exchange source, Frame frame) {
            if (frame.hasStoreChanges()) {
                loop.execute(() -> listener.onChanges(
                        PeerMessages.changes(frame.getStoreChanges()),
                        frame.getStoreChanges().getRevision()));
            }
        }

        @Override
        public void onClosed(Exchange source, ResultCode code) {
            loop.execute(() -> {
                exchange = Optional.empty();
                lastOpenMillis = clock.monotonicMillis();
                log.line("peer lost")
                        .with("peer", address)
                        .with("code", code.number())
                        .write();
            });
        }
    }

    private void addAddresses(String address) {
        if (!address.equals(ownAddress)) {
            members.computeIfAbsent(address, Member::new);
            maximumKnownCount = Math.max(maximumKnownCount, members.size());
        }
    }

    private void sendStatus() {
        members.values().removeIf(Member::forgettable);
        List<String> connected = members.values().stream()
                .filter(member -> member.exchange.isPresent())
                .map(member -> member.address)
                .toList();
        boolean namesMembers = newsTold++ % NEWS_BETWEEN_MEMBERS == 0;
        Frame.Builder frame = PeerMessages.status(listener.status(ownAddress, namesMembers ? connected : List.of()));
        for (Member member : members.values()) {
            member.exchange.ifPresentOrElse(exchange -> exchange.send(frame.clone()), member::connect);
        }
        dropSilent();
        loop.schedule(newsMillis(), this::sendStatus);
    }

    private long newsMillis() {
        return NEWS_MILLIS * Math.max(1, members.size() / FREQUENT_NEWS_ENTRIES);
    }

    private void dropSilent() {
        long oldest = clock.monotonicMillis() - Math.max(SILENCE_MILLIS, MISSING_NEWS * newsMillis());
        List<String> silent = new ArrayList<>();
        heardMillis.forEach((address, millis) -> {
            if (millis < oldest) {
                silent.add(address);
            }
        });
        silent.forEach(address -> {
            heardMillis.remove(address);
            listener.onLost(address);
        });
    }

    // ------------------------------------------------------------------ news of others

    private ExchangeListener accept(Exchange exchange, Frame first) {
        loop.execute(() -> onNews(first));
        return new ExchangeListener() {
            @Override
            public void onFrame(Exchange source, Frame frame) {
                switch (frame.getBodyCase()) {
                    case ENTRY_NEWS -> loop.execute(() -> onNews(frame));
                    case STORE_CHANGES_REQUEST ->
                        loop.execute(() -> sendChanges(
                                source, frame.getStoreChangesRequest().getAfter()));
                    default -> source.connection().close(ResultCode.PROTOCOL_VIOLATION);
                }
            }

            @Override
            public void onClosed(Exchange source, ResultCode code) {
                // The sender's silence is noticed by its news.
            }
        };
    }

    private void onNews(Frame frame) {
        EntryStatus news = PeerMessages.status(frame.getEntryNews());
        heardMillis.put(news.address(), clock.monotonicMillis());
        addAddresses(news.address());
        news.members().forEach(this::addAddresses);
        listener.onStatus(news);
        if (listener.isBehind(news)) {
            Member member = members.get(news.address());
            if (member != null) {
                member.exchange.ifPresent(
                        exchange -> exchange.send(PeerMessages.changesRequest(listener.storeRevision())));
            }
        }
    }

    private void sendChanges(Exchange exchange, long after) {
        exchange.send(PeerMessages.changes(listener.changesAfter(after), listener.storeRevision()));
    }

    /**
     * Takes addresses of other entries, possibly stale.
     *
     * @param addresses the addresses
     */
    public void addAddresses(List<InetSocketAddress> addresses) {
        addresses.forEach(address -> addAddresses(formatAddress(address)));
    }

    /**
     * Returns how many other entries are known, reachable or not.
     *
     * @return the count
     */
    public int knownCount() {
        return members.size();
    }

    /**
     * Returns how many other entries were known at once at most, so that a partition makes none of them count less.
     *
     * @return the count
     */
    public int maximumKnownCount() {
        return maximumKnownCount;
    }

    /**
     * Writes an address as entries tell each other.
     *
     * @param address numeric address
     * @return IP:PORT
     */
    public static String formatAddress(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
