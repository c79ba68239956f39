package org.merlinwood.gateway.crash;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.merlinwood.core.time.MillisClock;

/**
 * The combinations of prompt parts that are blocked. A block expires a long time after the last crash that it explains;
 * then one request is let through as a trial. If that crashes its instance, the block holds for twice as long. Confined
 * to the event loop.
 */
final class BlockedParts {

    /** Time from the last crash to the end of the first block, in milliseconds. */
    static final long FIRST_BLOCK_MILLIS = 120_000;

    /** Upper bound of the time of a block, in milliseconds. */
    static final long LONGEST_BLOCK_MILLIS = 3_600_000;

    /** Time after which a trial is over whose outcome is not known, in milliseconds. */
    static final long TRIAL_MILLIS = 10_000;

    /** Number of blocks in one report. */
    static final int REPORTED_BLOCKS = 4;

    private static final int MAXIMUM_BLOCKS = 64;

    private final MillisClock clock;
    private final double expiryFactor;
    private final List<Block> blocks = new ArrayList<>();
    private int nextReported;

    /**
     * Creates an empty collection.
     *
     * @param clock source of the monotonic time
     * @param expiryFactor factor of the time of all blocks, from 1 to 2; differs between entries, so that one tries
     *     first
     */
    BlockedParts(MillisClock clock, double expiryFactor) {
        this.clock = clock;
        this.expiryFactor = expiryFactor;
    }

    private static final class Block {

        private final Set<Long> parts;
        private long lastCrashMillis;
        private int count;
        private long trialUntilMillis = Long.MIN_VALUE;

        private Block(Set<Long> parts, long lastCrashMillis, int count) {
            this.parts = Set.copyOf(parts);
            this.lastCrashMillis = lastCrashMillis;
            this.count = count;
        }
    }

    /** Returns whether a request with these parts must not be sent to an instance now. */
    boolean isBlocked(Collection<Long> requestParts) {
        long now = clock.monotonicMillis();
        return blocks.stream()
                .filter(block -> requestParts.containsAll(block.parts))
                .anyMatch(block -> now < expiresAtMillis(block) || now < block.trialUntilMillis);
    }

    /** Makes a request with these parts, which is being sent, the trial of its expired blocks. */
    void beginTrial(Collection<Long> requestParts) {
        blocks.stream()
                .filter(block -> requestParts.containsAll(block.parts))
                .forEach(block -> block.trialUntilMillis = clock.monotonicMillis() + TRIAL_MILLIS);
    }

    /**
     * Blocks a combination, unless a part of it is blocked already.
     *
     * @param parts the combination
     * @param lastCrashMillis monotonic time of its last crash, in milliseconds
     * @param count how often it was blocked
     * @return true if it was not known
     */
    boolean block(Set<Long> parts, long lastCrashMillis, int count) {
        Optional<Block> narrower =
                blocks.stream().filter(block -> parts.containsAll(block.parts)).findFirst();
        if (narrower.isPresent()) {
            if (narrower.get().parts.equals(parts)) {
                renew(narrower.get(), lastCrashMillis, count);
            }
            return false;
        }
        blocks.removeIf(block -> block.parts.containsAll(parts));
        if (blocks.size() >= MAXIMUM_BLOCKS) {
            blocks.remove(blocks.stream()
                    .min(Comparator.comparingLong(block -> block.lastCrashMillis))
                    .orElseThrow());
        }
        blocks.add(new Block(parts, lastCrashMillis, count));
        return true;
    }

    private void renew(Block block, long lastCrashMillis, int count) {
        if (lastCrashMillis > block.lastCrashMillis) {
            block.lastCrashMillis = lastCrashMillis;
        }
        block.count = Math.max(block.count, count);
    }

    /** Records a crash that requests with these parts may have caused. Blocks that had expired by then begin anew. */
    void recordCrash(Collection<Long> suspectParts, long atMillis) {
        for (Block block : blocks) {
            if (suspectParts.containsAll(block.parts)) {
                boolean again = atMillis >= block.lastCrashMillis + blockMillis(block);
                renew(block, atMillis, again ? block.count + 1 : block.count);
            }
        }
    }

    /** Returns whether a part is in a combination. */
    boolean contains(long part) {
        return blocks.stream().anyMatch(block -> block.parts.contains(part));
    }

    /**
     * Clears a part of the combinations whose last crash was before a response to it began.
     *
     * @param part the part
     * @param begunMillis monotonic time at which the response began, in milliseconds
     */
    void clear(long part, long begunMillis) {
        List<Block> affected = blocks.stream()
                .filter(block -> block.parts.contains(part) && block.lastCrashMillis <= begunMillis)
                .toList();
        blocks.removeAll(affected);
        for (Block block : affected) {
            Set<Long> rest = new HashSet<>(block.parts);
            rest.remove(part);
            if (!rest.isEmpty()) {
                block(rest, block.lastCrashMillis, block.count);
            }
        }
    }

    /** Returns the next few combinations to report, in turn. */
    List<CrashReport.Block> nextReport() {
        long now = clock.monotonicMillis();
        List<CrashReport.Block> reported = new ArrayList<>();
        for (int index = 0; index < Math.min(REPORTED_BLOCKS, blocks.size()); index++) {
            Block block = blocks.get(nextReported++ % blocks.size());
            reported.add(new CrashReport.Block(block.parts, now - block.lastCrashMillis, block.count));
        }
        return reported;
    }

    /** Returns all combinations, those whose block has expired too. */
    List<CrashCausingParts.Block> describe() {
        long now = clock.monotonicMillis();
        return blocks.stream()
                .map(block -> new CrashCausingParts.Block(
                        block.parts, now - block.lastCrashMillis, expiresAtMillis(block) - now, block.count))
                .toList();
    }

    /** Returns the number of combinations that are blocked now. */
    int activeCount() {
        long now = clock.monotonicMillis();
        return (int)
                blocks.stream().filter(block -> now < expiresAtMillis(block)).count();
    }

    private static long blockMillis(Block block) {
        int doublings = Math.min(block.count - 1, Long.numberOfLeadingZeros(FIRST_BLOCK_MILLIS) - 2);
        return Math.min(FIRST_BLOCK_MILLIS << doublings, LONGEST_BLOCK_MILLIS);
    }

    private long expiresAtMillis(Block block) {
        return block.lastCrashMillis + (long) (expiryFactor * blockMillis(block));
    }
}
