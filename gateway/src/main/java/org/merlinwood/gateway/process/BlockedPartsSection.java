package org.merlinwood.gateway.process;

import java.util.List;
import org.merlinwood.gateway.crash.CrashCausingParts;
import org.merlinwood.gateway.crash.PartFingerprints;
import org.merlinwood.operation.port.StateSection;

/**
 * Section of the state dump that shows which requests are refused because of the parts of their prompts. Confined to
 * the event loop.
 */
final class BlockedPartsSection implements StateSection {

    private final CrashCausingParts crashCausingParts;

    BlockedPartsSection(CrashCausingParts crashCausingParts) {
        this.crashCausingParts = crashCausingParts;
    }

    /**
     * A combination of parts.
     *
     * @param parts fingerprints as in log lines, in ascending order
     * @param lastCrashMillisAgo time since the last crash that it explains, in milliseconds
     * @param expiresInMillis time until it is tried again, in milliseconds; 0 or less if it may be
     * @param count how often it was blocked
     */
    record Block(List<String> parts, long lastCrashMillisAgo, long expiresInMillis, int count) {}

    @Override
    public String name() {
        return "blockedPromptParts";
    }

    @Override
    public List<Block> state() {
        return crashCausingParts.blocks().stream()
                .map(block -> new Block(
                        block.parts().stream()
                                .map(PartFingerprints::format)
                                .sorted()
                                .toList(),
                        block.lastCrashMillisAgo(),
                        block.expiresInMillis(),
                        block.count()))
                .toList();
    }
}
