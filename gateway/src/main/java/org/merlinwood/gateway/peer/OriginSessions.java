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

    /** Time after which entries that haven't answered are taken not to know an origin, in milliseconds. */
    private static final long ANSWER_TIMEOUT_MILLIS = 200;

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

        private final Consumer<Answers> consumer;
        private final Set<String> soleVersions = new HashSet<>();
        private int unanswered;

        private PendingQuestion(Consumer<Answers> consumer, int unanswered) {
            this.consumer = consumer;
            this.unanswered = unanswered;
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
        List<String> asked = RendezvousRanking.first(question.attempt(), links.reachable(), ASKED_ENTRIES);
        long number = ++lastNumber;
        pendingByNumber.put(number, new PendingQuestion(consumer, asked.size()));
        for (String address : asked) {
            links.send(address, OriginMessages.request(number, question));
        }
        loop.schedule(asked.isEmpty() ? 0 : ANSWER_TIMEOUT_MILLIS, () -> finish(number, Optional.empty()));
    }

    /** Answers the question of another entry. */
    Frame.Builder answer(StreamOriginRequest request) {
        Answers answers = listener.answer(OriginMessages.question(request));
        return OriginMessages.answer(request.getNumber(), answers);
    }

    /** Records what another entry answered. An answer that comes after the end of its question is left out. */
    void onAnswer(StreamOriginAnswer answer) {
        PendingQuestion pending = pendingByNumber.get(answer.getNumber());
        if (pending == null) {
            return;
        }
        Answers answers = OriginMessages.answers(answer);
        pending.soleVersions.addAll(answers.soleVersions());
        pending.unanswered--;
        if (answers.version().isPresent() || pending.unanswered == 0) {
            finish(answer.getNumber(), answers.version());
        }
    }

    private void finish(long number, Optional<String> version) {
        PendingQuestion pending = pendingByNumber.remove(number);
        if (pending != null) {
            pending.consumer.accept(new Answers(version, pending.soleVersions));
        }
    }
}
