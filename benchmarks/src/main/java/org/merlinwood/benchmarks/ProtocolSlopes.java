package org.merlinwood.benchmarks;

import com.sun.management.OperatingSystemMXBean;
import io.vavr.control.Either;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadInfo;
import java.lang.management.ThreadMXBean;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import org.merlinwood.core.identity.Incarnation;
import org.merlinwood.core.identity.InstanceName;
import org.merlinwood.core.result.Failure;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.protocol.AuthenticationKey;
import org.merlinwood.protocol.Exchange;
import org.merlinwood.protocol.ExchangeListener;
import org.merlinwood.protocol.PeerConnection;
import org.merlinwood.protocol.PeerEndpoint;
import org.merlinwood.protocol.PeerIdentity;
import org.merlinwood.protocol.PeerRole;
import org.merlinwood.wire.Frame;
import org.merlinwood.wire.WorkKind;

/**
 * Measures CPU time and heap of one process by number of connections and rate of exchanges. The process {@code serve}
 * is measured. A second process, {@code connect}, opens connections and requests grants at increasing rates over
 * loopback.
 */
public final class ProtocolSlopes {

    private static final List<Integer> CONNECTIONS = List.of(50, 100, 200, 400);
    private static final List<Integer> EXCHANGES_PER_SECOND = List.of(250, 500, 1_000, 2_000);
    private static final int WARM_UP_PER_SECOND = 3_000;
    private static final long WARM_UP_MILLIS = 30_000;
    private static final long STAGE_MILLIS = 9_000;
    private static final long SETTLE_MILLIS = 2_500;
    private static final long SAMPLE_MILLIS = 5_000;
    private static final long TICK_MILLIS = 10;
    private static final double TICKS_PER_SECOND = 100;
    private static final long CONNECT_TIMEOUT_MILLIS = 10_000;
    private static final String NETWORK_THREAD_PREFIX = "peer-";
    private static final WorkKind LONG_EXCHANGE_KIND = WorkKind.PLAIN;
    private static final AuthenticationKey KEY = new AuthenticationKey(1, "11".repeat(32));
    private static final LongAdder EXCHANGES = new LongAdder();

    private ProtocolSlopes() {}

    /**
     * Runs one of the two processes.
     *
     * @param arguments {@code serve} or {@code connect}, and the file in which {@code serve} writes its port
     * @throws IOException if the file can't be read or written
     * @throws InterruptedException if interrupted
     */
    public static void main(String[] arguments) throws IOException, InterruptedException {
        Path portFile = Path.of(arguments[1]);
        if (arguments[0].equals("serve")) {
            serve(portFile);
        } else {
            connect(Integer.parseInt(Files.readString(portFile).trim()));
        }
    }

    private static void serve(Path portFile) throws IOException, InterruptedException {
        try (PeerEndpoint endpoint = PeerEndpoint.builder()
                .identity(identity("measured", PeerRole.SIDECAR))
                .keys(List.of(KEY))
                .listenAddress(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                .acceptor(Frame.BodyCase.GRANT_REQUEST, ProtocolSlopes::accept)
                .build()) {
            endpoint.start();
            Files.writeString(portFile, Integer.toString(endpoint.boundAddress().getPort()));
            awaitFirstConnection(endpoint);
            Thread.sleep(WARM_UP_MILLIS);
            for (int stage = 0; stage < CONNECTIONS.size() + EXCHANGES_PER_SECOND.size(); stage++) {
                sample(endpoint);
            }
        }
    }

    private static ExchangeListener accept(Exchange exchange, Frame first) {
        if (first.getGrantRequest().getKind() != LONG_EXCHANGE_KIND) {
            EXCHANGES.increment();
            exchange.send(SampleFrames.granted().toBuilder().clearExchange());
            exchange.finish();
        }
        return new FinishOnFirstFrame();
    }

    private static void awaitFirstConnection(PeerEndpoint endpoint) throws InterruptedException {
        System.out.printf("protocol connections 0 heap %d bytes%n", heapBytes());
        while (endpoint.openConnections() == 0) {
            Thread.sleep(TICK_MILLIS);
        }
    }

    private static void sample(PeerEndpoint endpoint) throws InterruptedException {
        long startedNanos = System.nanoTime();
        Thread.sleep(SETTLE_MILLIS);
        long exchangesBefore = EXCHANGES.sum();
        long cpuBefore = cpuNanos();
        long networkBefore = networkThreadNanos();
        Thread.sleep(SAMPLE_MILLIS);
        double networkPercent = percent(networkThreadNanos() - networkBefore);
        double cpuPercent = percent(cpuNanos() - cpuBefore);
        double perSecond = (EXCHANGES.sum() - exchangesBefore) * 1_000.0 / SAMPLE_MILLIS;
        System.out.printf(
                "protocol connections %d exchanges %.0f/s network threads %.2f%% process %.2f%% of a core heap %d bytes%n",
                endpoint.openConnections(), perSecond, networkPercent, cpuPercent, heapBytes());
        long usedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNanos);
        Thread.sleep(Math.max(0, STAGE_MILLIS - usedMillis));
    }

    private static long cpuNanos() {
        return ((OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean()).getProcessCpuTime();
    }

    private static double percent(long nanos) {
        return 100.0 * nanos / TimeUnit.MILLISECONDS.toNanos(SAMPLE_MILLIS);
    }

    /** Returns the CPU time of the network threads, without compiler and garbage collector threads. */
    private static long networkThreadNanos() {
        ThreadMXBean threads = ManagementFactory.getThreadMXBean();
        long nanos = 0;
        for (long identifier : threads.getAllThreadIds()) {
            ThreadInfo thread = threads.getThreadInfo(identifier);
            if (thread != null && thread.getThreadName().startsWith(NETWORK_THREAD_PREFIX)) {
                nanos += Math.max(0, threads.getThreadCpuTime(identifier));
            }
        }
        return nanos;
    }

    private static long heapBytes() {
        System.gc();
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }

    private static void connect(int port) throws InterruptedException {
        List<PeerEndpoint> endpoints = new ArrayList<>();
        List<PeerConnection> connections = new ArrayList<>();
        addConnections(1, port, endpoints, connections);
        sendGrantRequests(connections, WARM_UP_PER_SECOND, WARM_UP_MILLIS);
        for (int count : CONNECTIONS) {
            long startedNanos = System.nanoTime();
            addConnections(count, port, endpoints, connections);
            long usedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNanos);
            Thread.sleep(Math.max(0, STAGE_MILLIS - usedMillis));
        }
        for (int perSecond : EXCHANGES_PER_SECOND) {
            sendGrantRequests(connections, perSecond, STAGE_MILLIS);
        }
        endpoints.forEach(PeerEndpoint::close);
    }

    private static void addConnections(
            int count, int port, List<PeerEndpoint> endpoints, List<PeerConnection> connections) {
        while (connections.size() < count) {
            PeerEndpoint endpoint = endpoint(connections.size());
            endpoints.add(endpoint);
            PeerConnection connection = openConnection(endpoint, port);
            connections.add(connection);
            sendGrantRequests(connection, LONG_EXCHANGE_KIND);
        }
    }

    private static PeerEndpoint endpoint(int number) {
        PeerEndpoint endpoint = PeerEndpoint.builder()
                .identity(identity("entry-" + number, PeerRole.ENTRY))
                .keys(List.of(KEY))
                .threads(1)
                .build();
        endpoint.start();
        return endpoint;
    }

    private static PeerConnection openConnection(PeerEndpoint endpoint, int port) {
        InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
        Either<Failure, PeerConnection> result = endpoint.connect(address)
                .toCompletableFuture()
                .orTimeout(CONNECT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .join();
        return result.getOrElseThrow(failure -> new CompletionException(new IOException(failure.detail())));
    }

    private static void sendGrantRequests(List<PeerConnection> connections, int perSecond, long millis)
            throws InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        int next = 0;
        double due = 0;
        while (System.nanoTime() < endNanos) {
            for (due += perSecond / TICKS_PER_SECOND; due >= 1; due--) {
                sendGrantRequests(connections.get(next), WorkKind.DECODE);
                next = (next + 1) % connections.size();
            }
            Thread.sleep(TICK_MILLIS);
        }
    }

    private static void sendGrantRequests(PeerConnection connection, WorkKind kind) {
        connection
                .open(new FinishOnFirstFrame())
                .send(SampleFrames.grantRequest(kind, 0).toBuilder().clearExchange());
    }

    private static PeerIdentity identity(String name, PeerRole role) {
        return new PeerIdentity(new InstanceName(name), new Incarnation(name.hashCode() | 1L), role);
    }

    /** Finishes an exchange at its first frame. */
    private static final class FinishOnFirstFrame implements ExchangeListener {
        @Override
        public void onFrame(Exchange exchange, Frame frame) {
            exchange.finish();
        }

        @Override
        public void onClosed(Exchange exchange, ResultCode code) {}
    }
}
