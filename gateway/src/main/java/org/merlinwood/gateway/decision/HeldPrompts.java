package org.merlinwood.gateway.decision;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.merlinwood.core.time.MillisClock;
import org.merlinwood.gateway.upstream.HeldPart;

/**
 * The software versions of the instances that hold a prompt, as the instances themselves said. An instance that
 * generated a response holds the prompt for some time, also when the stream was broken off and whoever sent it is gone.
 *
 * <p>What was said is kept for as long as a stream may be taken up again, since the instances evict prompts meanwhile.
 * Confined to the event loop.
 */
public final class HeldPrompts {

    /** Time for which an answer of an instance counts, in milliseconds: about the longest that a caller waits. */
    static final long LIFETIME_MILLIS = 20_000;

    /** Largest number of parts that are kept: about 8 MB. The oldest ones are forgotten first. */
    static final int MAXIMUM_PARTS = 50_000;

    private final MillisClock clock;

    /** The part that was recorded first comes first. */
    private final Map<Key, Holders> holdersByPart = new LinkedHashMap<>();

    /**
     * What is asked for.
     *
     * @param service name of the service of the instances
     * @param model name of the model
     * @param part identifier of the part
     */
    private record Key(String service, String model, String part) {}

    /** The instances that hold a part, and when that was first said, in milliseconds of the monotonic time. */
    private static final class Holders {

        private final long sinceMillis;
        private final Set<String> versions = new HashSet<>();

        private Holders(long sinceMillis) {
            this.sinceMillis = sinceMillis;
        }
    }

    /**
     * Creates an empty registry.
     *
     * @param clock source of the monotonic time
     */
    public HeldPrompts(MillisClock clock) {
        this.clock = clock;
    }

    /**
     * Records what an instance holds, in addition to what it held before.
     *
     * @param service name of its service
     * @param version its software version
     * @param parts the parts of prompts in its memory
     */
    public void record(String service, String version, List<HeldPart> parts) {
        long nowMillis = clock.monotonicMillis();
        for (HeldPart part : parts) {
            holdersByPart
                    .computeIfAbsent(
                            new Key(service, part.model(), part.identifier()), ignored -> new Holders(nowMillis))
                    .versions
                    .add(version);
        }
        forgetOldest(nowMillis);
    }

    private void forgetOldest(long nowMillis) {
        var oldestFirst = holdersByPart.values().iterator();
        while (oldestFirst.hasNext()) {
            boolean expired = nowMillis - oldestFirst.next().sinceMillis >= LIFETIME_MILLIS;
            if (!expired && holdersByPart.size() <= MAXIMUM_PARTS) {
                return;
            }
            oldestFirst.remove();
        }
    }

    /**
     * Returns the software version of all instances that hold a part of prompts, wholly or what they haven't evicted.
     *
     * @param service name of the service
     * @param model name of the model
     * @param part identifier of the part; one that belongs to a single request tells where that was sent
     * @return the version, or empty if no instance holds the part, or instances of several versions do
     */
    public Optional<String> soleVersionHolding(String service, String model, String part) {
        return Optional.ofNullable(holdersByPart.get(new Key(service, model, part)))
                .filter(holders -> clock.monotonicMillis() - holders.sinceMillis < LIFETIME_MILLIS)
                .filter(holders -> holders.versions.size() == 1)
                .flatMap(holders -> holders.versions.stream().findFirst());
    }
}
