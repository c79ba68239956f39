package org.merlinwood.gateway.peer;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Supplier;
import org.merlinwood.gateway.follow.ConfirmationPeers;
import org.merlinwood.gateway.follow.CopyConfirmation;
import org.merlinwood.gateway.follow.StorePosition;
import org.merlinwood.wire.ConfirmationAnswer;
import org.merlinwood.wire.ConfirmationRequest;
import org.merlinwood.wire.Frame;

/**
 * Asks other entries how current their copies of the store are, and answers them. A copy that is not behind that of
 * another entry is complete up to the same time. Confined to the event loop.
 */
final class ConfirmationSessions implements ConfirmationPeers {

    /** Number of entries that are asked at once: one may be cut off from the store, too. */
    private static final int ASKED_ENTRIES = 2;

    /** Time after which an answer is ignored, in milliseconds. */
    private static final long ANSWER_TIMEOUT_MILLIS = 1_000;

    /**
     * Minimum interval between two requests for changes, in milliseconds. A configuration with thousands of workspaces
     * is large, and several entries may answer that they are ahead.
     */
    private static final long CHANGES_INTERVAL_MILLIS = 500;

    private final PeerLinks links;
    private final CopySource copy;
    private final Supplier<StorePosition> appliedPosition;
    private final Map<Long, Question> pendingByNumber = new HashMap<>();
    private Optional<Confirmed> ahead = Optional.empty();
    private long lastChangesRequestMillis = Long.MIN_VALUE / 2;
    private long lastNumber;

    /** A question that was sent at a moment. */
    private record Question(CopyConfirmation.Moment sentAt) {}

    /** What another entry told: a copy up to this position contained everything at this moment. */
    private record Confirmed(CopyConfirmation.Moment moment, StorePosition position) {}

    /**
     * Creates sessions that have asked nobody.
     *
     * @param links the reachable entries that know these messages
     * @param copy the copy of this entry
     * @param appliedPosition returns the position after which changes are requested from other entries
     */
    ConfirmationSessions(PeerLinks links, CopySource copy, Supplier<StorePosition> appliedPosition) {
        this.links = links;
        this.copy = copy;
        this.appliedPosition = appliedPosition;
    }

    @Override
    public void ask() {
        long nowMillis = copy.confirmation().now().monotonicMillis();
        pendingByNumber
                .values()
                .removeIf(question -> nowMillis - question.sentAt().monotonicMillis() > ANSWER_TIMEOUT_MILLIS);
        List<String> reachable = links.reachable();
        for (int asked = 0; asked < Math.min(ASKED_ENTRIES, reachable.size()); asked++) {
            long number = ++lastNumber;
            pendingByNumber.put(number, new Question(copy.confirmation().now()));
            links.send(reachable.get((int) (number % reachable.size())), request(number));
        }
    }

    private static Frame.Builder request(long number) {
        return Frame.newBuilder()
                .setConfirmationRequest(ConfirmationRequest.newBuilder().setNumber(number));
    }

    /** Answers the question of another entry. */
    Frame.Builder answer(ConfirmationRequest request) {
        long version = copy.configurationVersion().getAsLong();
        OptionalLong ageMillis = copy.confirmation().state(version).higherVersionElsewhere()
                ? OptionalLong.empty()
                : copy.confirmation().ageMillis();
        StorePosition position = copy.position();
        copy.onAsked().run();
        return Frame.newBuilder()
                .setConfirmationAnswer(ConfirmationAnswer.newBuilder()
                        .setNumber(request.getNumber())
                        .setConfirmed(ageMillis.isPresent())
                        .setAgeMillis((int) Math.min(Integer.MAX_VALUE, ageMillis.orElse(0)))
                        .setStoreEra(position.era())
                        .setStoreRevision(position.revision())
                        .setConfigurationVersion(version));
    }

    /**
     * Records what another entry answered.
     *
     * @param address the entry
     * @param answer its answer; ignored if it took too long or was not asked for
     */
    void onAnswer(String address, ConfirmationAnswer answer) {
        Question question = pendingByNumber.remove(answer.getNumber());
        long nowMillis = copy.confirmation().now().monotonicMillis();
        if (question == null || nowMillis - question.sentAt().monotonicMillis() > ANSWER_TIMEOUT_MILLIS) {
            return;
        }
        copy.confirmation().onVersionElsewhere(answer.getConfigurationVersion());
        if (!answer.getConfirmed()) {
            return;
        }
        long ageMillis = Integer.toUnsignedLong(answer.getAgeMillis());
        Confirmed confirmed = new Confirmed(
                question.sentAt().minus(ageMillis), new StorePosition(answer.getStoreEra(), answer.getStoreRevision()));
        if (isBehind(confirmed.position())) {
            keepLatest(confirmed);
            requestChanges(address, nowMillis);
        } else {
            copy.confirmation().confirm(confirmed.moment(), confirmed.position());
        }
    }

    private boolean isBehind(StorePosition position) {
        return position.isAfter(copy.position());
    }

    private void keepLatest(Confirmed confirmed) {
        boolean later = ahead.filter(kept ->
                        kept.moment().monotonicMillis() >= confirmed.moment().monotonicMillis())
                .isEmpty();
        if (later) {
            ahead = Optional.of(confirmed);
        }
    }

    private void requestChanges(String address, long nowMillis) {
        if (nowMillis - lastChangesRequestMillis >= CHANGES_INTERVAL_MILLIS) {
            lastChangesRequestMillis = nowMillis;
            links.send(address, PeerMessages.changesRequest(appliedPosition.get()));
        }
    }

    /** Called when changes of another entry have been applied, which may have made up what this copy lacked. */
    void onChangesApplied() {
        ahead.filter(confirmed -> !isBehind(confirmed.position())).ifPresent(confirmed -> {
            ahead = Optional.empty();
            copy.confirmation().confirm(confirmed.moment(), confirmed.position());
        });
    }
}
