package org.merlinwood.following.impl;

import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.merlinwood.configuration.inventory.NetworkAddress;
import org.merlinwood.configuration.settings.ProcessSettings;
import org.merlinwood.core.identity.FailureDomain;
import org.merlinwood.core.identity.InstanceName;

/** Small documents and matching settings for tests. */
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

    /**
     * Returns an inventory of instances in two failure domains. The concurrency makes the content of each revision
     * different.
     */
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

    /** Returns the settings of the process that belongs to an inventory row. */
    static ProcessSettings settings(int index, List<NetworkAddress> seedPeers) {
        return new ProcessSettings(
                new InstanceName(name(index)),
                new FailureDomain(domain(index)),
                NetworkAddress.parse(address(index)),
                new NetworkAddress("127.0.0.1", 1),
                List.of(new NetworkAddress("127.0.0.1", 2)),
                seedPeers,
                List.of());
    }

    private static String row(int index, int concurrency) {
        return ("{\"name\": \"%s\", \"address\": \"%s\", \"failureDomain\": \"%s\", \"service\": \"ledger\","
                        + " \"role\": \"plain\", \"concurrency\": %d}")
                .formatted(name(index), address(index), domain(index), concurrency);
    }
}
