package org.merlinwood.gateway.process;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.merlinwood.gateway.fleet.Stage;
import org.merlinwood.gateway.fleet.UpstreamInstance;
import org.merlinwood.gateway.follow.StoreProtocol;
import org.merlinwood.gateway.follow.StoreResponse;
import org.merlinwood.gateway.route.RouteTable;
import org.merlinwood.http.HttpRequest;
import org.merlinwood.http.HttpResponse;

/** Reads a version as routes, and {@code ready START} or {@code leaving START} as an instance. */
final class WordsStoreProtocol implements StoreProtocol {

    static final String CONFIGURATION = "configuration";

    /** Address of every instance. */
    static final InetSocketAddress INSTANCE_ADDRESS = new InetSocketAddress("127.0.0.1", 1);

    @Override
    public HttpRequest list(String afterKey) {
        return HttpRequest.of("GET", new InetSocketAddress("127.0.0.1", 1), "/", new byte[0]);
    }

    @Override
    public HttpRequest watch(long afterRevision, long waitMillis) {
        return HttpRequest.of("GET", new InetSocketAddress("127.0.0.1", 1), "/", new byte[0]);
    }

    @Override
    public StoreResponse read(HttpResponse response) {
        return new StoreResponse.Failed(response.text());
    }

    @Override
    public boolean isConfiguration(String key) {
        return key.equals(CONFIGURATION);
    }

    @Override
    public Optional<RouteTable> readRoutes(byte[] value) {
        return Optional.of(new String(value, StandardCharsets.UTF_8))
                .filter(text -> text.matches("\\d+"))
                .map(text -> RouteTable.of(Long.parseLong(text), List.of(), List.of(), 1_000));
    }

    @Override
    public Optional<String> instanceIdentifier(String key) {
        return Optional.of(key);
    }

    @Override
    public Optional<UpstreamInstance> readInstance(String key, byte[] value) {
        String[] words = new String(value, StandardCharsets.UTF_8).split(" ", -1);
        if (words.length != 2) {
            return Optional.empty();
        }
        return Optional.of(new UpstreamInstance(
                key,
                "service",
                INSTANCE_ADDRESS,
                "near",
                16,
                words[0].equals("leaving"),
                Stage.PLAIN,
                Long.parseLong(words[1]),
                "v1"));
    }
}
