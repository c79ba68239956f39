package org.merlinwood.gateway.follow;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.merlinwood.gateway.fleet.UpstreamInstance;
import org.merlinwood.gateway.route.RouteTable;
import org.merlinwood.http.HttpRequest;
import org.merlinwood.http.HttpResponse;

/**
 * Reads responses of the form {@code more|done POSITION KEY=VALUE@POSITION ...}; {@code -} removes a key. A position is
 * {@code REVISION}, of era 0, or {@code ERA:REVISION}.
 */
final class PlainTextStoreProtocol implements StoreProtocol {

    static StoreChange change(String text) {
        String[] parts = text.split("[=@]", -1);
        return new StoreChange(
                parts[0],
                position(parts[2]),
                parts[1].equals("-") ? Optional.empty() : Optional.of(parts[1].getBytes(StandardCharsets.UTF_8)));
    }

    static StorePosition position(String text) {
        String[] parts = text.split(":", -1);
        return parts.length == 1
                ? new StorePosition(0, Long.parseLong(parts[0]))
                : new StorePosition(Long.parseLong(parts[0]), Long.parseLong(parts[1]));
    }

    @Override
    public HttpRequest list(String afterKey) {
        return request("/list/" + afterKey);
    }

    @Override
    public HttpRequest watch(long afterRevision, long waitMillis) {
        return request("/watch/" + afterRevision);
    }

    @Override
    public StoreResponse read(HttpResponse response) {
        String[] words = response.text().split(" ", -1);
        if (words[0].equals("gone")) {
            return new StoreResponse.HistoryCompacted();
        }
        List<StoreChange> changes = new ArrayList<>();
        for (int index = 2; index < words.length; index++) {
            changes.add(change(words[index]));
        }
        return new StoreResponse.Changes(changes, words[0].equals("more"), position(words[1]));
    }

    @Override
    public boolean isConfiguration(String key) {
        return false;
    }

    @Override
    public Optional<RouteTable> readRoutes(byte[] value) {
        return Optional.empty();
    }

    @Override
    public Optional<String> instanceIdentifier(String key) {
        return Optional.empty();
    }

    @Override
    public Optional<UpstreamInstance> readInstance(String key, byte[] value) {
        return Optional.empty();
    }

    private static HttpRequest request(String path) {
        return HttpRequest.of("GET", new InetSocketAddress("127.0.0.1", 1), path, new byte[0]);
    }
}
