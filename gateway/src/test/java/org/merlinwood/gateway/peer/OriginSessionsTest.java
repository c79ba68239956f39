package org.merlinwood.gateway.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.merlinwood.core.time.ManualMillisClock;
import org.merlinwood.gateway.ManualLoop;
import org.merlinwood.gateway.decision.EntryStatus;
import org.merlinwood.gateway.decision.OriginPeers;
import org.merlinwood.gateway.decision.StreamOrigin;
import org.merlinwood.gateway.decision.StreamOrigins;
import org.merlinwood.gateway.follow.StoreChange;
import org.merlinwood.gateway.follow.StorePosition;
import org.merlinwood.wire.Frame;

/** Several entries without a network: frames arrive at once, or not at all where a test cuts an entry off. */
final class OriginSessionsTest {

    private static final OriginPeers.Question QUESTION = new OriginPeers.Question("attempt", "service", 1_000);

    private final ManualMillisClock clock = new ManualMillisClock(0);
    private final ManualLoop loop = new ManualLoop(clock);
    private final Map<String, Entry> entries = new HashMap<>();
    private final Set<String> silent = new java.util.HashSet<>();

    /** One entry with what it knows. */
    private final class Entry implements PeerLinks, PeerListener {

        private final String address;
        private final StreamOrigins origins = new StreamOrigins(clock);
        private final OriginSessions sessions = new OriginSessions(this, this, loop);
        private Set<String> soleVersions = Set.of();
        private Set<String> heldVersions = Set.of();
        private int unreachable;

        private Entry(String address) {
            this.address = address;
            entries.put(address, this);
        }

        @Override
        public List<String> reachable() {
            return entries.keySet().stream()
                    .filter(other -> !other.equals(address))
                    .toList();
        }

        @Override
        public int knownCount() {
            return entries.size() - 1 + unreachable;
        }

        @Override
        public void send(String receiver, Frame.Builder frame) {
            Entry entry = entries.get(receiver);
            if (entry == null || silent.contains(receiver)) {
                return;
            }
            if (frame.hasStreamOrigins()) {
                entry.onOrigins(OriginMessages.origins(frame.getStreamOrigins()));
            } else {
                Frame.Builder answer = entry.sessions.answer(frame.getStreamOriginRequest());
                sessions.onAnswer(answer.getStreamOriginAnswer());
            }
        }

        private Optional<Answers> ask() {
            List<OriginPeers.Answers> received = new ArrayList<>();
            sessions.ask(QUESTION, received::add);
            return received.stream().findFirst().map(Answers::new);
        }

        private void tell(String version) {
            StreamOrigin origin = new StreamOrigin(QUESTION.attempt(), version, 10_000);
            origins.recordOwn(origin);
            sessions.tell(origin);
        }

        @Override
        public EntryStatus status(String ownAddress, List<String> members) {
            throw new UnsupportedOperationException();
        }

        @Override
        public void onStatus(EntryStatus status) {}

        @Override
        public void onWork(String address, List<EntryStatus.InstanceWork> work) {}

        @Override
        public void onLost(String lost) {}

        @Override
        public boolean isBehind(EntryStatus status) {
            return false;
        }

        @Override
        public StorePosition storePosition() {
            return StorePosition.START;
        }

        @Override
        public List<StoreChange> changesAfter(StorePosition after) {
            return List.of();
        }

        @Override
        public void onChanges(List<StoreChange> changes, StorePosition position) {}

        @Override
        public List<StreamOrigin> ownOrigins() {
            return origins.own();
        }

        @Override
        public void onOrigins(List<StreamOrigin> told) {
            told.forEach(origins::recordTold);
        }

        @Override
        public OriginPeers.Answers answer(OriginPeers.Question question) {
            return new OriginPeers.Answers(origins.versionOf(question.attempt()), soleVersions, heldVersions);
        }
    }

    private record Answers(OriginPeers.Answers received) {

        Optional<String> version() {
            return received.recordedVersion();
        }
    }

    private Entry entry(String address) {
        return new Entry(address);
    }

    private List<Entry> entries(int count) {
        List<Entry> created = new ArrayList<>();
        for (int number = 0; number < count; number++) {
            created.add(entry("10.0.0." + number));
        }
        return created;
    }

    /** Guards against an entry that is killed together with some of those that keep its origins. */
    @Test
    void originOutlivesItsEntryAndAllButOneOfThoseThatKeepIt() {
        List<Entry> all = entries(12);
        all.getFirst().tell("v1");
        List<Entry> keepers =
                all.stream().skip(1).filter(entry -> entry.origins.size() > 0).toList();
        assertThat(keepers).hasSize(3);
        entries.remove(all.getFirst().address);
        entries.remove(keepers.get(0).address);
        entries.remove(keepers.get(1).address);
        assertThat(entries.values())
                .filteredOn(entry -> !entry.equals(keepers.get(2)))
                .allSatisfy(entry ->
                        assertThat(entry.ask().flatMap(Answers::version)).contains("v1"));
    }

    /** Guards against origins that nobody has once a partition is over, or all others have started again. */
    @Test
    void entryThatBecomesReachableGetsTheOriginsThatItKeeps() {
        Entry alone = entry("10.0.0.1");
        alone.tell("v1");
        alone.sessions.tellNewlyReachable();
        Entry started = entry("10.0.0.2");
        alone.sessions.tellNewlyReachable();
        assertThat(started.origins.versionOf(QUESTION.attempt())).contains("v1");
    }

    /** Guards against a caller that waits for an entry which doesn't answer. */
    @Test
    void questionEndsAlthoughAnEntryDoesNotAnswer() {
        List<Entry> all = entries(3);
        all.get(1).soleVersions = Set.of("v1");
        silent.add(all.get(2).address);
        List<OriginPeers.Answers> received = new ArrayList<>();
        all.getFirst().sessions.ask(QUESTION, received::add);
        loop.advance(499);
        assertThat(received).isEmpty();
        loop.advance(1);
        assertThat(received).containsExactly(new OriginPeers.Answers(Optional.empty(), Set.of("v1"), Set.of()));
        loop.advance(1_000);
        assertThat(received).hasSize(1);
    }

    /** Guards against a refusal by an entry that has just started: those that know the origin aren't reached yet. */
    @Test
    void entryThatBecomesReachableIsAskedAsWell() {
        Entry started = entry("10.0.0.1");
        started.unreachable = 1;
        List<OriginPeers.Answers> received = new ArrayList<>();
        started.sessions.ask(QUESTION, received::add);
        loop.advance(100);
        assertThat(received).isEmpty();
        started.unreachable = 0;
        Entry other = entry("10.0.0.2");
        other.origins.recordTold(new StreamOrigin(QUESTION.attempt(), "v1", 10_000));
        started.sessions.tellNewlyReachable();
        assertThat(received).containsExactly(new OriginPeers.Answers(Optional.of("v1"), Set.of(), Set.of()));
    }

    /**
     * Guards against a stream that goes on at another version since an entry that knows only what instances held
     * answers before one that recorded its origin.
     */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2, 3, 4, 5, 6, 7})
    void recordOfAnyEntryGoesBeforeWhatInstancesToldTheOthers(int recording) {
        Entry asking = entry("10.0.0.9");
        List<Entry> others = entries(8);
        others.forEach(other -> other.heldVersions = Set.of("v2"));
        others.get(recording).origins.recordTold(new StreamOrigin(QUESTION.attempt(), "v1", 10_000));
        assertThat(asking.ask().flatMap(Answers::version)).contains("v1");
    }

    /** Guards against a refusal where no entry has a record: what instances told some of them is gathered. */
    @Test
    void whatInstancesToldOtherEntriesIsGathered() {
        Entry asking = entry("10.0.0.9");
        List<Entry> others = entries(3);
        others.get(0).heldVersions = Set.of("v1");
        others.get(2).heldVersions = Set.of("v2");
        assertThat(asking.ask().map(Answers::received))
                .contains(new OriginPeers.Answers(Optional.empty(), Set.of(), Set.of("v1", "v2")));
    }

    /** An entry without any other must not keep its caller waiting. */
    @Test
    void questionOfAnEntryWithoutOthersEndsAtOnce() {
        List<OriginPeers.Answers> received = new ArrayList<>();
        entry("10.0.0.1").sessions.ask(QUESTION, received::add);
        loop.advance(1);
        assertThat(received).containsExactly(new OriginPeers.Answers(Optional.empty(), Set.of(), Set.of()));
    }
}
