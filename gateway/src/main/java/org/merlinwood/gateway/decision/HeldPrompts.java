package org.merlinwood.gateway.decision;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.merlinwood.core.time.MillisClock;
import org.merlinwood.gateway.fleet.FleetState;
import org.merlinwood.gateway.fleet.Stage;
import org.merlinwood.gateway.fleet.UpstreamInstance;
import org.merlinwood.gateway.upstream.HeldPart;

/**
 * The software versions of the instances that hold a prompt, as the instances themselves said. An instance that
 * generated a response holds the prompt for some time, also when the stream was broken off and whoever sent it is gone.
 *
 * <p>What was said is kept for as long as a stream may be taken up again, since the instances evict prompts meanwhile.
 * An instance that was asked and hasn't answered, or that wasn't asked, may hold any prompt. Confined to the event
 * loop.
 */
public final class HeldPrompts {

    /** Time for which an answer of an instance counts, in milliseconds: about the longest that a caller waits. */
    static final long LIFETIME_MILLIS = 20_000;

    /** Largest number of parts that are kept: about 8 MB. The oldest ones are forgotten first. */
    static final int MAXIMUM_PARTS = 50_000;

    private final FleetState fleet;
    private final MillisClock clock;

    /** The part that was recorded first comes first. */
    private final Map<Key, Holders> holdersByPart = new LinkedHashMap<>();

    /** The last question to each start of an instance. */
    private final Map<Start, Question> questionByStart = new HashMap<>();

    /** When a part was last forgotten for want of room, by the versions that held it; monotonic, in milliseconds. */
    private final Map<String, Long> forgottenMillisByVersion = new HashMap<>();

    /**
     * The part of prompts that instances are asked for.
     *
     * @param service name of the service of the instances
     * @param model name of the model
     * @param identifier identifier of the part
     */
    public record Key(String service, String model, String identifier) {}

    /** The instances that hold a part, and when that was first said, in milliseconds of the monotonic time. */
    private static final class Holders {

        private final long sinceMillis;
        private final Set<String> versions = new HashSet<>();

        private Holders(long sinceMillis) {
            this.sinceMillis = sinceMillis;
        }
    }

    /**
     * One start of an instance, since an instance that has started again has forgotten what it held.
     *
     * @param instance identifier of the instance
     * @param startedUnixMillis when it started by its own clock
     */
    private record Start(String instance, long startedUnixMillis) {

        private static Start of(UpstreamInstance instance) {
            return new Start(instance.identifier(), instance.startedUnixMillis());
        }
    }

    /**
     * A question to an instance that has ended.
     *
     * @param service name of the service of the instance
     * @param version its software version
     * @param answered whether it said what it holds
     * @param askedMillis monotonic time at which it was asked, in milliseconds
     */
    private record Question(String service, String version, boolean answered, long askedMillis) {}

    /**
     * Creates an empty registry.
     *
     * @param fleet the registered instances
     * @param clock source of the monotonic time
     */
    public HeldPrompts(FleetState fleet, MillisClock clock) {
        this.fleet = fleet;
        this.clock = clock;
    }

    /**
     * Records what an instance holds, in addition to what it held before.
     *
     * @param instance the instance
     * @param askedMillis monotonic time at which it was asked, in milliseconds
     * @param parts the parts of prompts in its memory
     */
    public void record(UpstreamInstance instance, long askedMillis, List<HeldPart> parts) {
        recordQuestion(instance, askedMillis, true);
        long nowMillis = clock.monotonicMillis();
        for (HeldPart part : parts) {
            holdersByPart
                    .computeIfAbsent(
                            new Key(instance.service(), part.model(), part.identifier()),
                            ignored -> new Holders(nowMillis))
                    .versions
                    .add(instance.version());
        }
        forgetOldest(nowMillis);
    }

    /**
     * Records that an instance was asked and hasn't told what it holds.
     *
     * @param instance the instance
     * @param askedMillis monotonic time at which it was asked, in milliseconds
     */
    public void recordUnanswered(UpstreamInstance instance, long askedMillis) {
        recordQuestion(instance, askedMillis, false);
    }

    private void recordQuestion(UpstreamInstance instance, long askedMillis, boolean answered) {
        questionByStart.values().removeIf(question -> isExpired(question.askedMillis()));
        questionByStart.put(
                Start.of(instance), new Question(instance.service(), instance.version(), answered, askedMillis));
    }

    private boolean isExpired(long sinceMillis) {
        return clock.monotonicMillis() - sinceMillis >= LIFETIME_MILLIS;
    }

    private void forgetOldest(long nowMillis) {
        var oldestFirst = holdersByPart.values().iterator();
        while (oldestFirst.hasNext()) {
            Holders oldest = oldestFirst.next();
            boolean expired = isExpired(oldest.sinceMillis);
            if (!expired && holdersByPart.size() <= MAXIMUM_PARTS) {
                return;
            }
            if (!expired) {
                oldest.versions.forEach(version -> forgottenMillisByVersion.put(version, nowMillis));
            }
            oldestFirst.remove();
        }
    }

    /**
     * Returns the software version of all instances that hold a part of prompts, wholly or what they haven't evicted.
     *
     * <p>An instance that held the part earlier counts, since it may have evicted it meanwhile. One that didn't hold it
     * earlier is not known: the stream may have begun since.
     *
     * @param part the part; one that belongs to a single request tells where that was sent
     * @param heldElsewhere versions that held the part when other entries asked
     * @param sinceMillis monotonic time in milliseconds; an instance that wasn't asked since then is not known
     * @return the version and how certain it is
     */
    public HeldVersion versionHolding(Key part, Set<String> heldElsewhere, long sinceMillis) {
        Set<String> versions = new HashSet<>(versionsHolding(part));
        versions.addAll(heldElsewhere);
        if (versions.size() != 1) {
            return new HeldVersion.Ambiguous(versions);
        }
        String version = versions.iterator().next();
        Set<String> unknownVersions = unknownVersions(part.service(), sinceMillis);
        unknownVersions.remove(version);
        return unknownVersions.isEmpty()
                ? new HeldVersion.Certain(version)
                : new HeldVersion.Uncertain(version, unknownVersions);
    }

    /**
     * Returns the versions of the instances that are known to hold a part of prompts, or to have held it.
     *
     * @param part the part
     * @return the versions, empty if no instance has named the part
     */
    public Set<String> versionsHolding(Key part) {
        Holders holders = holdersByPart.get(part);
        return holders == null || isExpired(holders.sinceMillis) ? Set.of() : Set.copyOf(holders.versions);
    }

    /**
     * Returns the versions of the instances that may hold any prompt, also of those that aren't registered any more.
     */
    private Set<String> unknownVersions(String service, long sinceMillis) {
        Set<String> versions = new HashSet<>();
        forgottenMillisByVersion.values().removeIf(this::isExpired);
        versions.addAll(forgottenMillisByVersion.keySet());
        questionByStart.values().stream()
                .filter(question -> question.service().equals(service) && !question.answered())
                .filter(question -> !isExpired(question.askedMillis()))
                .forEach(question -> versions.add(question.version()));
        fleet.instances(service).stream()
                .filter(instance -> instance.stage() == Stage.DECODE && !hasBeenAsked(instance, sinceMillis))
                .forEach(instance -> versions.add(instance.version()));
        return versions;
    }

    private boolean hasBeenAsked(UpstreamInstance instance, long sinceMillis) {
        Question question = questionByStart.get(Start.of(instance));
        return question != null && question.askedMillis() >= sinceMillis;
    }
}
