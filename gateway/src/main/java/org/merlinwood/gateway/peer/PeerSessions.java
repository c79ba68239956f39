package org.merlinwood.gateway.peer;

import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Predicate;
import org.merlinwood.core.identity.Incarnation;
import org.merlinwood.core.identity.InstanceName;
import org.merlinwood.core.result.Failure;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.core.time.MillisClock;
import org.merlinwood.gateway.decision.EntryStatus;
import org.merlinwood.gateway.decision.OriginPeers;
import org.merlinwood.gateway.follow.ConfirmationPeers;
import org.merlinwood.gateway.follow.StorePosition;
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
import org.merlinwood.wire.StoreChanges;

/**
 * Sessions with the other entries. Discovers entries from the seeds and from the member lists of its peers, sends them
 * the status of this entry, and requests store changes from peers that have a later revision.
 *
 * <p>Each entry connects to every other entry and sends its status on the connection that it opened. Frames arrive on
 * the event loops of the protocol and are passed to the event loop of the entry, which owns all state of this class.
 */
public final class PeerSessions {

    /** Every how many status messages the member list is included. Membership changes slowly. */
    private static final int MEMBER_LIST_INTERVAL = 10;

    /** Minimum interval between two connection attempts to one entry, in milliseconds. */
    private static final long RECONNECT_INTERVAL_MILLIS = 500;

    /** Time after which an unreachable address that is not a seed is removed, in milliseconds. */
    private static final long UNREACHABLE_EXPIRY_MILLIS = 20_000;

    private final String ownAddress;
    private final List<String> seeds;
    private final Function<String, InetSocketAddress> addressParser;
    private final EventLoop loop;
    private final MillisClock clock;
    private final PeerListener listener;
    private final DecisionLog log;
    private final PeerEndpoint endpoint;
    private final OriginSessions originSessions;
    private final WorkSessions workSessions;
    private final ConfirmationSessions confirmationSessions;
    private final Map<String, Member> members = new HashMap<>();
    private final ReceivedStatuses receivedStatuses;
    private int maximumKnownCount;
    private boolean memberListReceived;
    private long sentStatusCount;

    /**
     * Creates the sessions. Nothing listens before {@link #start()}.
     *
     * @param instance name of this entry
     * @param listenAddress address to accept sessions on; also identifies this entry to its peers
     * @param key authentication key shared by all entries
     * @param seeds peer addresses of some entries, possibly stale
     * @param addressParser parses IP:PORT as sent by peers
     * @param loop event loop that owns all state
     * @param clock monotonic time, and wall time for the incarnation
     * @param listener supplies the status of this entry and receives that of its peers; called on the event loop
     * @param copy the copy of the store, of which peers are told how current it is
     * @param log receives a line for each connection that opens or closes
     */
    public PeerSessions(
            String instance,
            InetSocketAddress listenAddress,
            AuthenticationKey key,
            List<InetSocketAddress> seeds,
            Function<String, InetSocketAddress> addressParser,
            EventLoop loop,
            MillisClock clock,
            PeerListener listener,
            CopySource copy,
            DecisionLog log) {
        this.ownAddress = formatAddress(listenAddress);
        this.seeds = seeds.stream().map(PeerSessions::formatAddress).toList();
        this.addressParser = addressParser;
        this.loop = loop;
        this.clock = clock;
        this.listener = listener;
        this.log = log;
        this.receivedStatuses = new ReceivedStatuses(clock);
        this.originSessions = new OriginSessions(new Links(receivedStatuses::keepsOrigins), listener, loop);
        this.workSessions = new WorkSessions(new Links(receivedStatuses::takesWorkUpdates), receivedStatuses, listener);
        this.confirmationSessions =
                new ConfirmationSessions(new Links(receivedStatuses::confirmsCopies), copy, listener::storePosition);
        long incarnation = clock.wallMillis() * 1_000_003 + instance.hashCode();
        this.endpoint = PeerEndpoint.builder()
                .identity(new PeerIdentity(
                        new InstanceName(instance),
                        new Incarnation(incarnation == 0 ? 1 : incarnation),
                        PeerRole.ENTRY))
                .keys(List.of(key))
                .listenAddress(listenAddress)
                .threads(1)
                .acceptor(Frame.BodyCase.ENTRY_STATUS, this::accept)
                .build();
    }

    /** Starts to listen and to connect to other entries. Call once. */
    public void start() {
        endpoint.start();
        loop.execute(() -> {
            seeds.forEach(this::addAddress);
            sendStatus();
        });
    }

    /** Closes all sessions and stops listening. */
    public void close() {
        endpoint.close();
    }

    private final class Member implements ExchangeListener {

        private final String address;
        private final boolean seed;
        private Optional<Exchange> exchange = Optional.empty();
        private boolean connecting;

        /** Whether the present exchange has carried a status, by which the other entry recognizes it. */
        private boolean greeted;

        private long lastAttemptMillis = Long.MIN_VALUE / 2;
        private long lastOpenMillis = clock.monotonicMillis();

        private Member(String address) {
            this.address = address;
            this.seed = seeds.contains(address);
        }

        private void connect() {
            if (connecting || clock.monotonicMillis() - lastAttemptMillis < RECONNECT_INTERVAL_MILLIS) {
                return;
            }
            connecting = true;
            lastAttemptMillis = clock.monotonicMillis();
            endpoint.connect(addressParser.apply(address))
                    .thenAccept(result -> loop.execute(() -> onConnected(result)));
        }

        private void onConnected(Either<Failure, PeerConnection> result) {
            connecting = false;
            result.forEach(connection -> {
                exchange = Optional.of(connection.open(this));
                greeted = false;
                lastOpenMillis = clock.monotonicMillis();
                log.line("peer connected").with("peer", address).write();
            });
        }

        private boolean isExpired() {
            return !seed && exchange.isEmpty() && clock.monotonicMillis() - lastOpenMillis > UNREACHABLE_EXPIRY_MILLIS;
        }

        @Override
        public void onFrame(Exchange source, Frame frame) {
            if (frame.hasStoreChanges()) {
                loop.execute(() -> onChanges(frame.getStoreChanges()));
            } else if (frame.hasStreamOriginAnswer()) {
                loop.execute(() -> originSessions.onAnswer(frame.getStreamOriginAnswer()));
            } else if (frame.hasConfirmationAnswer()) {
                loop.execute(() -> confirmationSessions.onAnswer(address, frame.getConfirmationAnswer()));
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

    /** The reachable entries that know messages of one kind. */
    private final class Links implements PeerLinks {

        private final Predicate<String> knowsMessages;

        private Links(Predicate<String> knowsMessages) {
            this.knowsMessages = knowsMessages;
        }

        @Override
        public List<String> reachable() {
            return members.values().stream()
                    .filter(member -> member.greeted && member.exchange.isPresent())
                    .map(member -> member.address)
                    .filter(knowsMessages)
                    .toList();
        }

        @Override
        public int knownCount() {
            return members.size();
        }

        @Override
        public void send(String address, Frame.Builder frame) {
            Optional.ofNullable(members.get(address))
                    .flatMap(member -> member.exchange)
                    .ifPresent(exchange -> exchange.send(frame));
        }
    }

    private void addAddress(String address) {
        if (!address.equals(ownAddress)) {
            members.computeIfAbsent(address, Member::new);
            maximumKnownCount = Math.max(maximumKnownCount, members.size());
        }
    }

    private void sendStatus() {
        members.values().removeIf(Member::isExpired);
        List<String> connected = members.values().stream()
                .filter(member -> member.exchange.isPresent())
                .map(member -> member.address)
                .toList();
        boolean includesMembers = sentStatusCount++ % MEMBER_LIST_INTERVAL == 0;
        Frame.Builder frame = PeerMessages.status(listener.status(ownAddress, includesMembers ? connected : List.of()));
        for (Member member : members.values()) {
            member.exchange.ifPresentOrElse(exchange -> greet(member, exchange, frame), member::connect);
        }
        removeSilentEntries();
        originSessions.tellNewlyReachable();
        loop.schedule(StatusInterval.millis(members.size()), this::sendStatus);
    }

    private static void greet(Member member, Exchange exchange, Frame.Builder status) {
        exchange.send(status.clone());
        member.greeted = true;
    }

    private void removeSilentEntries() {
        receivedStatuses
                .removeSilent(StatusInterval.silenceMillis(members.size()))
                .forEach(listener::onLost);
    }

    private ExchangeListener accept(Exchange exchange, Frame first) {
        loop.execute(() -> onStatus(first));
        return new ExchangeListener() {
            @Override
            public void onFrame(Exchange source, Frame frame) {
                switch (frame.getBodyCase()) {
                    case ENTRY_STATUS -> loop.execute(() -> onStatus(frame));
                    case STORE_CHANGES_REQUEST ->
                        loop.execute(() -> sendChanges(source, PeerMessages.after(frame.getStoreChangesRequest())));
                    case WORK_UPDATE -> loop.execute(() -> workSessions.onUpdate(frame.getWorkUpdate()));
                    case STREAM_ORIGINS ->
                        loop.execute(() -> listener.onOrigins(OriginMessages.origins(frame.getStreamOrigins())));
                    case STREAM_ORIGIN_REQUEST ->
                        loop.execute(() -> source.send(originSessions.answer(frame.getStreamOriginRequest())));
                    case CONFIRMATION_REQUEST ->
                        loop.execute(() -> source.send(confirmationSessions.answer(frame.getConfirmationRequest())));
                    default -> source.connection().close(ResultCode.PROTOCOL_VIOLATION);
                }
            }

            @Override
            public void onClosed(Exchange source, ResultCode code) {
                // A lost sender is detected by its missing status messages.
            }
        };
    }

    private void onStatus(Frame frame) {
        EntryStatus status = PeerMessages.status(frame.getEntryStatus());
        receivedStatuses.record(
                status.address(),
                frame.getEntryStatus().getKeepsStreamOrigins(),
                status.report().incarnation() != 0,
                frame.getEntryStatus().getTakesWorkUpdates());
        addAddress(status.address());
        status.members().forEach(this::addAddress);
        memberListReceived |= !status.members().isEmpty();
        listener.onStatus(status);
        if (listener.isBehind(status)) {
            Member member = members.get(status.address());
            if (member != null) {
                member.exchange.ifPresent(
                        exchange -> exchange.send(PeerMessages.changesRequest(listener.storePosition())));
            }
        }
    }

    private void onChanges(StoreChanges changes) {
        listener.onChanges(PeerMessages.changes(changes), PeerMessages.position(changes));
        confirmationSessions.onChangesApplied();
    }

    /**
     * Sends the work of this entry at some instances to the other entries, between two status messages. Call on the
     * event loop.
     *
     * @param work the work
     */
    public void sendWork(List<EntryStatus.InstanceWork> work) {
        workSessions.send(ownAddress, work);
    }

    private void sendChanges(Exchange exchange, StorePosition after) {
        exchange.send(PeerMessages.changes(listener.changesAfter(after), listener.storePosition()));
    }

    /**
     * Returns the other entries as those that keep stream origins.
     *
     * @return for use on the event loop
     */
    public OriginPeers originPeers() {
        return originSessions;
    }

    /**
     * Returns the other entries as those that may have read the store more recently.
     *
     * @return for use on the event loop
     */
    public ConfirmationPeers confirmationPeers() {
        return confirmationSessions;
    }

    /**
     * Adds addresses of other entries. Call on the event loop.
     *
     * @param addresses peer addresses, possibly stale or of this entry itself
     */
    public void addAddresses(List<InetSocketAddress> addresses) {
        addresses.forEach(address -> addAddress(formatAddress(address)));
    }

    /**
     * Returns the number of other entries that are known, reachable or not.
     *
     * @return the number, without this entry
     */
    public int knownCount() {
        return members.size();
    }

    /**
     * Returns the highest number of other entries that were known at the same time. It does not drop during a network
     * partition.
     *
     * @return the number, without this entry
     */
    public int maximumKnownCount() {
        return maximumKnownCount;
    }

    /**
     * Returns whether another entry has sent the list of its members. Before that, only seeds and the entries that have
     * connected to this one are known.
     *
     * @return false until the first list
     */
    public boolean memberListReceived() {
        return memberListReceived;
    }

    /**
     * Formats an address as entries send it to each other.
     *
     * @param address resolved address
     * @return IP:PORT
     */
    public static String formatAddress(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
