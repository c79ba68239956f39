package org.merlinwood.gateway.front;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.merlinwood.core.time.MillisClock;
import org.merlinwood.gateway.decision.HeldPrompts;
import org.merlinwood.gateway.decision.HeldVersion;
import org.merlinwood.gateway.decision.InstanceNotices;
import org.merlinwood.gateway.fleet.FleetState;
import org.merlinwood.gateway.fleet.Stage;
import org.merlinwood.gateway.fleet.UpstreamInstance;
import org.merlinwood.gateway.route.RouteTable;
import org.merlinwood.gateway.upstream.HeldPart;
import org.merlinwood.gateway.upstream.UpstreamClient;
import org.merlinwood.gateway.upstream.UpstreamProtocol;
import org.merlinwood.http.HttpRequest;
import org.merlinwood.operation.log.DecisionLog;

/**
 * Asks the instances of a model service which prompts they hold, for streams whose version no entry knows: after all
 * entries were lost, only the instances do. An entry that starts asks them at once, since new prompts evict those of
 * the streams that were broken off.
 *
 * <p>One round asks the instances that generate responses, once. Requests that come meanwhile wait until the answers
 * tell their version, at most for the end of the round: an instance that hasn't answered may hold their prompts. Used
 * by the event loop alone.
 */
final class HeldPromptSearch {

    /** Time for the answer of an instance, in milliseconds. A sound one may be silent for a second. */
    private static final long ANSWER_TIMEOUT_MILLIS = 1_500;

    /** Minimum time between two rounds for a service, in milliseconds, since an answer costs an instance some work. */
    private static final long MINIMUM_INTERVAL_MILLIS = 2_000;

    /** Number of instances of a service that are asked in one round. */
    private static final int MAXIMUM_INSTANCES = 64;

    private final UpstreamClient client;
    private final UpstreamProtocol protocol;
    private final FleetState fleet;
    private final InstanceNotices notices;
    private final MillisClock clock;
    private final HeldPrompts heldPrompts;
    private final DecisionLog log;
    private final Map<String, Round> roundByService = new HashMap<>();

    /**
     * A request for the version that holds a prompt.
     *
     * @param part the part of the prompt
     * @param heldElsewhere versions that held the part when other entries asked
     * @param sinceMillis monotonic time of the start of the round that tells, in milliseconds
     * @param consumer receives the version, exactly once
     */
    private record Search(
            HeldPrompts.Key part, Set<String> heldElsewhere, long sinceMillis, Consumer<HeldVersion> consumer) {}

    /** One round of questions to the instances of a service. */
    private static final class Round {

        private final List<Search> waiting = new ArrayList<>();
        private final List<String> unanswered = new ArrayList<>();
        private final long startedMillis;
        private int openQuestions;
        private int answers;
        private int parts;
        private long endedMillis;

        private Round(int questions, long startedMillis) {
            this.openQuestions = questions;
            this.startedMillis = startedMillis;
            this.endedMillis = startedMillis;
        }

        private boolean isOpen() {
            return openQuestions > 0;
        }
    }

    /**
     * Creates a search that has asked nobody.
     *
     * @param client sends the questions
     * @param protocol encodes the questions and decodes the answers
     * @param fleet the registered instances
     * @param notices what the instances have stated about themselves; those that want no request aren't asked
     * @param clock source of the monotonic time
     * @param heldPrompts receives the answers
     * @param log receives a line for each round
     */
    HeldPromptSearch(
            UpstreamClient client,
            UpstreamProtocol protocol,
            FleetState fleet,
            InstanceNotices notices,
            MillisClock clock,
            HeldPrompts heldPrompts,
            DecisionLog log) {
        this.client = client;
        this.protocol = protocol;
        this.fleet = fleet;
        this.notices = notices;
        this.clock = clock;
        this.heldPrompts = heldPrompts;
        this.log = log;
    }

    /**
     * Looks for the software version of the instances that hold a part of prompts, as they say now: what they held
     * before a stream began tells nothing of it.
     *
     * @param part the part; its identifier is empty if there is none
     * @param heldElsewhere versions that held the part when other entries asked
     * @param consumer receives what the instances tell, exactly once, possibly before this method returns
     */
    void find(HeldPrompts.Key part, Set<String> heldElsewhere, Consumer<HeldVersion> consumer) {
        if (part.identifier().isEmpty()) {
            consumer.accept(new HeldVersion.Ambiguous(Set.of()));
            return;
        }
        Round round = currentRound(part.service());
        Search search = new Search(part, heldElsewhere, round.startedMillis, consumer);
        if (round.isOpen() && !isCertain(search)) {
            round.waiting.add(search);
        } else {
            complete(search);
        }
    }

    private HeldVersion versionOf(Search search) {
        return heldPrompts.versionHolding(search.part(), search.heldElsewhere(), search.sinceMillis());
    }

    private boolean isCertain(Search search) {
        return versionOf(search) instanceof HeldVersion.Certain;
    }

    private void complete(Search search) {
        search.consumer().accept(versionOf(search));
    }

    /** Asks the instances of all services with engines. Called once all of them are known. */
    void readAll() {
        fleet.routes().map(RouteTable::services).orElse(Map.of()).values().stream()
                .filter(service -> service.engine().isPresent())
                .forEach(service -> startRound(service.name()));
    }

    /** Returns the round that is open or has ended just now, or starts one. */
    private Round currentRound(String service) {
        Round last = roundByService.get(service);
        boolean current =
                last != null && (last.isOpen() || clock.monotonicMillis() - last.endedMillis < MINIMUM_INTERVAL_MILLIS);
        return current ? last : startRound(service);
    }

    /** Starts a round, which has ended already if there is no instance to ask. */
    private Round startRound(String service) {
        List<UpstreamInstance> instances = fleet.instances(service).stream()
                .filter(instance -> instance.stage() == Stage.DECODE && !notices.isDeclining(instance))
                .limit(MAXIMUM_INSTANCES)
                .toList();
        Round round = new Round(instances.size(), clock.monotonicMillis());
        roundByService.put(service, round);
        instances.forEach(instance -> ask(instance, round));
        return round;
    }

    private void ask(UpstreamInstance instance, Round round) {
        HttpRequest request = protocol.heldParts(instance)
                .withTimeouts(RequestProcessor.CONNECT_TIMEOUT_MILLIS, ANSWER_TIMEOUT_MILLIS);
        client.executeListing(instance, request, response -> {
            Optional<List<HeldPart>> parts = response.toJavaOptional().flatMap(protocol::readHeldParts);
            if (parts.isPresent()) {
                round.answers++;
                round.parts += parts.get().size();
                heldPrompts.record(instance, round.startedMillis, parts.get());
            } else {
                round.unanswered.add(instance.identifier());
                heldPrompts.recordUnanswered(instance, round.startedMillis);
            }
            endQuestion(instance.service(), round);
        });
    }

    private void endQuestion(String service, Round round) {
        round.openQuestions--;
        if (round.isOpen()) {
            completeIf(round, this::isCertain);
        } else {
            end(service, round);
        }
    }

    private void end(String service, Round round) {
        round.endedMillis = clock.monotonicMillis();
        log.line("held prompts read")
                .with("service", service)
                .with("instances", round.answers)
                .with("parts", round.parts)
                .with("unanswered", String.join(",", round.unanswered))
                .write();
        completeIf(round, search -> true);
    }

    /** Completes the searches that wait for a round and meet a condition. */
    private void completeIf(Round round, Predicate<Search> condition) {
        List<Search> completed = round.waiting.stream().filter(condition).toList();
        round.waiting.removeAll(completed);
        completed.forEach(this::complete);
    }
}
