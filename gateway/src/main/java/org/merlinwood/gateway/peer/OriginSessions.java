package org.merlinwood.gateway.peer;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.merlinwood.gateway.decision.OriginPeers;
import org.merlinwood.gateway.decision.RendezvousRanking;
import org.merlinwood.gateway.decision.StreamOrigin;
import org.merlinwood.gateway.loop.EventLoop;
import org.merlinwood.wire.Frame;
import org.merlinwood.wire.StreamOriginAnswer;
import org.merlinwood.wire.StreamOriginRequest;

/**
 * Sends stream origins to the entries that keep copies of them, and asks for those of streams that callers take up
 * again here. The attempt's identifier picks the entries, so that each entry finds them without a list.
 *
 * <p>An entry that becomes reachable gets the origins that it should keep, so restarts and partitions leave no gap for
 * longer than they last. Confined to the event loop.
 */
final class OriginSessions implements OriginPeers {

    /** Number of entries that keep a copy. */
    private static final int COPIES = 3;

    /** Number of entries that are asked: more than keep a copy, since entries don't always know the same ones. */
    private static final int ASKED_ENTRIES = 8;

    /**
     * Time after which entries that haven't answered, or that haven't become reachable, are taken not to know an
     * origin, in milliseconds. An entry that has just started reaches the others within it.
     */
    private static final long ANSWER_TIMEOUT_MILLIS = 500;

    /** Largest number of origins in one frame. */
    private static final int ORIGINS_PER_FRAME = 1_000;

    private final PeerLinks links;
    private final PeerListener listener;
    private final EventLoop loop;
    private final Map<Long, PendingQuestion> pendingByNumber = new HashMap<>();
    private Set<String> previouslyReachable = Set.of();
    private long lastNumber;

    /**
     * Creates sessions that have told nothing.
     *
     * @param links the reachable entries
     * @param listener supplies the origins and answers of this entry
     * @param loop event loop that owns all state
     */
    OriginSessions(PeerLinks links, PeerListener listener, EventLoop loop) {
        this.links = links;
        this.listener = listener;
        this.loop = loop;
    }

    /** A question that some entries haven't answered yet. */
    private static final class PendingQuestion {

        private final Question question;
        private final Consumer<Answers> consumer;
        private final Set<String> asked = new HashSet<>();
        private final Set<String> soleVersions = new HashSet<>();
        private final Set<String> heldVersions = new HashSet<>();
        private int answerCount;

        private PendingQuestion(Question question, Consumer<Answers> consumer) {
            this.question = question;
            this.consumer = consumer;
        }

        /** Returns whether all entries have answered that there are to ask. */
        private boolean isAnsweredByAll(int knownCount) {
            return answerCount >= Math.min(ASKED_ENTRIES, knownCount);
        }
    }

    @Override
    public void tell(StreamOrigin origin) {
        for (String address : keepers(origin, links.reachable())) {
            links.send(address, OriginMessages.origins(List.of(origin)));
        }
    }

    private static List<String> keepers(StreamOrigin origin, List<String> reachable) {
        return RendezvousRanking.first(origin.attempt(), reachable, COPIES);
    }

    /** Sends the origins of this entry to those entries that should keep them and have become reachable. */
    void tellNewlyReachable() {
        List<String> reachable = links.reachable();
        reachable.stream()
                .filter(address -> !previouslyReachable.contains(address))
                .forEach(address -> tellAll(address, reachable));
        previouslyReachable = Set.copyOf(reachable);
        List.copyOf(pendingByNumber.keySet()).forEach(this::askReachable);
    }

    private void tellAll(String address, List<String> reachable) {
        List<StreamOrigin> origins = listener.ownOrigins().stream()
                .filter(origin -> keepers(origin, reachable).contains(address))
                .toList();
        for (int start = 0; start < origins.size(); start += ORIGINS_PER_FRAME) {
            int end = Math.min(origins.size(), start + ORIGINS_PER_FRAME);
            links.send(address, OriginMessages.origins(origins.subList(start, end)));
        }
    }

    @Override
    public void ask(Question question, Consumer<Answers> consumer) {
        long number = ++lastNumber;
        pendingByNumber.put(number, new PendingQuestion(question, consumer));
        loop.schedule(links.knownCount() == 0 ? 0 : ANSWER_TIMEOUT_MILLIS, () -> finish(number, Optional.empty()));
        askReachable(number);
    }

    /** Asks those entries that haven't been asked yet and can be reached now. */
    private void askReachable(long number) {
        PendingQuestion pending = pendingByNumber.get(number);
        List<String> first = RendezvousRanking.first(pending.question.attempt(), links.reachable(), ASKED_ENTRIES);
        for (String address : first) {
            if (pending.asked.add(address)) {
                links.send(address, OriginMessages.request(number, pending.question));
            }
        }
    }

    /** Answers the question of another entry. */
    Frame.Builder answer(StreamOriginRequest request) {
        Answers answers = listener.answer(OriginMessages.question(request));
        return OriginMessages.answer(request.getNumber(), answers);
    }

    /**
     * Records what another entry answered. The first record of the stream ends the question; as long as an entry that
     * was asked may have one, what instances told the others doesn't. An answer that comes after the end of its
     * question is left out.
     */
    void onAnswer(StreamOriginAnswer answer) {
        PendingQuestion pending = pendingByNumber.get(answer.getNumber());
        if (pending == null) {
            return;
        }
        Answers answers = OriginMessages.answers(answer);
        pending.soleVersions.addAll(answers.soleVersions());
        pending.heldVersions.addAll(answers.heldVersions());
        pending.answerCount++;
        if (answers.recordedVersion().isPresent() || pending.isAnsweredByAll(links.knownCount())) {
            finish(answer.getNumber(), answers.recordedVersion());
        }
    }

    private void finish(long number, Optional<String> recordedVersion) {
        PendingQuestion pending = pendingByNumber.remove(number);
        if (pending != null) {
            pending.consumer.accept(new Answers(recordedVersion, pending.soleVersions, pending.heldVersions));
        }
    }
}
