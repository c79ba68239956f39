package review3;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/**
 * The memory of a runner, which running requests and parts of former prompts share. The least recently used parts
 * yield. Thread-safe.
 */
final class PromptMemory {

    private final int capacityTokens;

    /** Tokens of each part; the least recently used comes first. */
    private final Map<String, Integer> tokensByPart = new LinkedHashMap<>();

    /** Number of running requests by part; these parts don't yield. */
    private final Map<String, Integer> usersByPart = new HashMap<>();

    private int running;

    /** The parts of one running request. */
    record Use(List<String> parts) {}

    PromptMemory(int capacityTokens) {
        this.capacityTokens = capacityTokens;
    }

    /** Takes the parts of a prompt, written as in Prompt-Prefix, and room for the answer. */
    synchronized Use use(String prefix) {
        List<String> parts =
                Stream.of(prefix.split(",")).map(part -> part.split(":")[0]).toList();
        for (String part : prefix.split(",")) {
            String identifier = part.split(":")[0];
            tokensByPart.remove(identifier);
            tokensByPart.put(identifier, Integer.parseInt(part.split(":")[1]));
            usersByPart.merge(identifier, 1, Integer::sum);
        }
        running++;
        yieldOldest();
        return new Use(parts);
    }

    synchronized void release(Use use) {
        running--;
        use.parts().forEach(part -> usersByPart.merge(part, -1, Integer::sum));
        yieldOldest();
    }

    /** Returns whether so many tokens fit in beside the running requests. */
    synchronized boolean hasRoom(int tokens) {
        int used = tokensByPart.entrySet().stream()
                .filter(part -> usersByPart.getOrDefault(part.getKey(), 0) > 0)
                .mapToInt(Map.Entry::getValue)
                .sum();
        return used + running * StreamClient.OUTPUT_TOKENS + tokens <= capacityTokens;
    }

    /** Returns the tokens of each part that is kept; a copy. */
    synchronized Map<String, Integer> held() {
        return new LinkedHashMap<>(tokensByPart);
    }

    private void yieldOldest() {
        var oldestFirst = tokensByPart.entrySet().iterator();
        while (oldestFirst.hasNext() && usedTokens() > capacityTokens) {
            if (usersByPart.getOrDefault(oldestFirst.next().getKey(), 0) == 0) {
                oldestFirst.remove();
            }
        }
    }

    private int usedTokens() {
        return tokensByPart.values().stream().mapToInt(Integer::intValue).sum() + running * StreamClient.OUTPUT_TOKENS;
    }
}
