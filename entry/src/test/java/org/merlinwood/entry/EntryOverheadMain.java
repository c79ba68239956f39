package org.merlinwood.entry;

import io.undertow.Undertow;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.Arrays;
import java.util.concurrent.TimeUnit;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.merlinwood.configuration.inventory.InstanceRole;

/**
 * Measures the latency that an entry adds to a plain request. Sends the same request directly to a server that responds
 * immediately, and through an entry whose sidecar responds immediately. Both kinds alternate on one thread; the results
 * are printed as one JSON line for each kind.
 */
final class EntryOverheadMain {

    private static final int WARM_UP_REQUESTS = 3_000;
    private static final int MEASURED_REQUESTS = 3_000;
    private static final double NANOS_PER_MICRO = TimeUnit.MICROSECONDS.toNanos(1);

    private EntryOverheadMain() {}

    public static void main(String[] arguments) throws Exception {
        Logger.getLogger("").setLevel(Level.WARNING);
        Undertow server = Undertow.builder()
                .setIoThreads(2)
                .addHttpListener(0, "127.0.0.1")
                .setHandler(exchange -> exchange.getResponseSender().send("{\"ran\":true}"))
                .build();
        server.start();
        try (EntryFixture fixture = new EntryFixture(new FakeSidecar("plain-1", InstanceRole.PLAIN))) {
            measure(
                    fixture,
                    ((InetSocketAddress) server.getListenerInfo().getFirst().getAddress()).getPort());
        } finally {
            server.stop();
        }
    }

    private static void measure(EntryFixture fixture, int directPort) throws Exception {
        HttpClient client = HttpClient.newHttpClient();
        HttpRequest direct = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + directPort + "/hydrants/7"))
                .build();
        HttpRequest throughEntry = fixture.request("/hydrants/7").GET().build();
        long[] directNanos = new long[MEASURED_REQUESTS];
        long[] throughNanos = new long[MEASURED_REQUESTS];
        for (int index = -WARM_UP_REQUESTS; index < MEASURED_REQUESTS; index++) {
            long directElapsed = nanos(client, direct);
            long throughElapsed = nanos(client, throughEntry);
            if (index >= 0) {
                directNanos[index] = directElapsed;
                throughNanos[index] = throughElapsed;
            }
        }
        print("direct", directNanos);
        print("through the entry", throughNanos);
    }

    private static long nanos(HttpClient client, HttpRequest request) throws Exception {
        long start = System.nanoTime();
        HttpResponse<String> response = client.send(request, HttpResponse.BodyHandlers.ofString());
        long elapsed = System.nanoTime() - start;
        if (response.statusCode() >= 300) {
            throw new IllegalStateException("status " + response.statusCode() + ": " + response.body());
        }
        return elapsed;
    }

    private static void print(String path, long[] nanos) {
        Arrays.sort(nanos);
        System.out.printf(
                "{\"measure\":\"plain call\",\"path\":\"%s\",\"calls\":%d,\"medianMicros\":%.0f,\"micros95\":%.0f}%n",
                path, nanos.length, quantile(nanos, 0.5), quantile(nanos, 0.95));
    }

    private static double quantile(long[] sorted, double share) {
        return sorted[(int) (sorted.length * share)] / NANOS_PER_MICRO;
    }
}
