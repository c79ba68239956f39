package org.merlinwood.following.impl;

import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** Texts of small documents. */
final class TestDocuments {

    static final String RULES = """
            {
              "services": [{"name": "ledger", "kind": "plain"}],
              "classes": [{"name": "c", "priority": 0, "firstTokenTargetMillis": 9, "betweenTokensTargetMillis": 9}],
              "callers": [{"name": "x", "callerClass": "c", "tokenDigest": "%s"}]
            }
            """.formatted("ab".repeat(32));

    private static final int ROWS_PER_DOMAIN = 8;

    private TestDocuments() {}

    /** An inventory of instances that sit in two failure domains, with a concurrency to tell revisions apart. */
    static String inventory(int instances, int concurrency) {
        String rows = IntStream.range(0, instances)
                .mapToObj(index -> row(index, concurrency))
                .collect(Collectors.joining(",\n"));
        return "{\"instances\": [\n" + rows + "\n]}\n";
    }

    static String inventory(int concurrency) {
        return inventory(3, concurrency);
    }

    static String invalidInventory() {
        return inventory(-1);
    }

    static String name(int index) {
        return "i" + index;
    }

    static String domain(int index) {
        return index / ROWS_PER_DOMAIN % 2 == 0 ? "a" : "b";
    }

    static String address(int index) {
        return "10.0.0." + (index + 1) + ":7100";
    }

    static List<String> addresses(int instances) {
        return IntStream.range(0, instances).mapToObj(TestDocuments::address).toList();
    }

    private static String row(int index, int concurrency) {
        return ("{\"name\": \"%s\", \"address\": \"%s\", \"failureDomain\": \"%s\", \"service\": \"ledger\","
                        + " \"role\": \"plain\", \"concurrency\": %d}")
                .formatted(name(index), address(index), domain(index), concurrency);
    }
}
