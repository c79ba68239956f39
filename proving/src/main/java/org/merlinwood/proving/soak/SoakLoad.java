package org.merlinwood.proving.soak;

import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.merlinwood.core.result.ExecutionState;
import org.merlinwood.core.result.Failure;
import org.merlinwood.core.time.MillisClock;
import org.merlinwood.core.time.SystemMillisClock;
import org.merlinwood.http.HttpClient;
import org.merlinwood.http.HttpHeader;
import org.merlinwood.http.HttpListener;
import org.merlinwood.http.HttpRequest;
import org.merlinwood.http.HttpStream;
import org.merlinwood.platform.standin.CallerCalls;

/** Sends requests at a steady rate on kept connections. Used once, by one thread. */
final class SoakLoad implements AutoCloseable {

    /** Mean time between two requests, in milliseconds; a load of about a third of the capacity of the instances. */
    private static final int MEAN_INTERVAL_MILLIS = 25;

    /** One of this many callers disconnects before the end of the response. */
    private static final int REQUESTS_PER_DISCONNECT = 25;

    /** Longest delay before such a caller disconnects, in milliseconds; shorter than a stream. */
    private static final int MAXIMUM_DISCONNECT_DELAY_MILLIS = 300;

    /** One of this many requests is followed by one with the crashing part while that fault lasts. */
    private static final int REQUESTS_PER_CRASHING_REQUEST = 12;

    /** Part that crashes instances, in hexadecimal. */
    static final String CRASHING_PART = "dd";

    /** First part of all prompts, in hexadecimal. */
    private static final String COMMON_PART = "aa";

    /** Ends each event of a stream. */
    private static final String EVENT_END = "\n\n";

    private static final long FIRST_SECOND_PART = 0x100;
    private static final int SECOND_PARTS = 4;

    private static final List<CallerCalls.Kind> KINDS = List.of(CallerCalls.Kind.values());

    private final MillisClock clock = SystemMillisClock.shared();
    private final HttpClient client = HttpClient.create("soak", 2);
    private final Queue<Observation> observations = new ConcurrentLinkedQueue<>();
    private final UniformRandomProvider random;

    /** Draws the requests with a crashing part, so that the others of a seed stay what they are. */
    private final UniformRandomProvider crashingRandom;

    private final FaultPlan plan;
    private final Set<String> crashingAttempts = ConcurrentHashMap.newKeySet();
    private final List<InetSocketAddress> entries;
    private final long startMillis;
    private final AtomicInteger takenUp = new AtomicInteger();
    private long sequence;

    SoakLoad(long seed, List<InetSocketAddress> entries, FaultPlan plan) {
        this.plan = plan;
        this.crashingRandom = RandomSource.XO_RO_SHI_RO_128_PP.create(seed + 2);
        this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed + 1);
        this.entries = List.copyOf(entries);
        this.startMillis = clock.monotonicMillis();
    }

    /** Sends requests until the given time on the clock of {@link #now()}, then waits for those that are still open. */
    List<Observation> run(long untilMillis) throws InterruptedException {
        while (now() < untilMillis) {
            sendRequest();
            sendCrashingRequest();
            TimeUnit.MILLISECONDS.sleep(random.nextInt(2 * MEAN_INTERVAL_MILLIS));
        }
        long latestEnd = now() + 2 * CallerCalls.STREAM_TIMEOUT_MILLIS;
        while (open() > 0 && now() < latestEnd) {
            TimeUnit.MILLISECONDS.sleep(MEAN_INTERVAL_MILLIS);
        }
        return List.copyOf(observations);
    }

    /** Returns the number of requests that have not ended. */
    long open() {
        return sequence + takenUp.get() - observations.size();
    }

    /** Returns the identifiers of the attempts whose prompt has the crashing part; a copy. */
    Set<String> crashingAttempts() {
        return Set.copyOf(crashingAttempts);
    }

    /** Returns the monotonic time of the start of the load, in milliseconds. */
    long startMillis() {
        return startMillis;
    }

    /** Returns the milliseconds since the start of the load. */
    long now() {
        return clock.monotonicMillis() - startMillis;
    }

    @Override
    public void close() {
        client.close();
    }

    private void sendRequest() {
        sequence++;
        CallerCalls.Kind kind = KINDS.get(random.nextInt(KINDS.size()));
        int entry = random.nextInt(entries.size());
        String attempt = "a" + sequence;
        HttpRequest request = request(kind, entry, attempt);
        Caller caller = new Caller(request, kind, attempt, entry, "");
        HttpStream stream = client.send(request, caller);
        if (random.nextInt(REQUESTS_PER_DISCONNECT) == 0) {
            long after = random.nextInt(MAXIMUM_DISCONNECT_DELAY_MILLIS);
            Thread.ofVirtual().start(() -> disconnectAfter(caller, stream, after));
        }
    }

    /** The prompts of all streams share their first part, some also the second. */
    private HttpRequest request(CallerCalls.Kind kind, int entry, String attempt) {
        return kind == CallerCalls.Kind.STREAM
                ? CallerCalls.stream(entries.get(entry), attempt, List.of(COMMON_PART, secondPart()))
                : CallerCalls.create(entries.get(entry), kind, attempt);
    }

    private String secondPart() {
        return Long.toHexString(FIRST_SECOND_PART + sequence % SECOND_PARTS);
    }

    private void sendCrashingRequest() {
        if (!isCrashingPartDue() || crashingRandom.nextInt(REQUESTS_PER_CRASHING_REQUEST) > 0) {
            return;
        }
        sequence++;
        int entry = crashingRandom.nextInt(entries.size());
        String attempt = "a" + sequence;
        crashingAttempts.add(attempt);
        List<String> parts = List.of(COMMON_PART, CRASHING_PART, secondPart());
        HttpRequest request = CallerCalls.stream(entries.get(entry), attempt, parts);
        client.send(request, new Caller(request, CallerCalls.Kind.STREAM, attempt, entry, ""));
    }

    /** Takes a stream that was broken off up again, once, at the next entry. */
    private void takeUp(Caller brokenOff, String events, int lastEvent) {
        takenUp.incrementAndGet();
        int entry = (brokenOff.entry + 1) % entries.size();
        String attempt = brokenOff.attempt + Observation.TAKEN_UP_SUFFIX;
        HttpRequest request =
                CallerCalls.takeUp(brokenOff.request, entries.get(entry), attempt, brokenOff.attempt, lastEvent);
        client.send(request, new Caller(request, brokenOff.kind, attempt, entry, events));
    }

    private boolean isCrashingPartDue() {
        long now = now();
        return plan.faults().stream()
                .anyMatch(fault ->
                        fault.kind() == FaultKind.CRASHING_PART && fault.atMillis() <= now && now < fault.endMillis());
    }

    private static void disconnectAfter(Caller caller, HttpStream stream, long afterMillis) {
        try {
            TimeUnit.MILLISECONDS.sleep(afterMillis);
            caller.disconnected = true;
            stream.cancel();
        } catch (InterruptedException ended) {
            Thread.currentThread().interrupt();
        }
    }

    /** Records the response to one attempt. */
    private final class Caller implements HttpListener {

        private final HttpRequest request;
        private final CallerCalls.Kind kind;
        private final String attempt;
        private final int entry;
        private final long beganMillis = now();
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private volatile boolean disconnected;
        private final String earlierEvents;
        private int status;

        private Caller(HttpRequest request, CallerCalls.Kind kind, String attempt, int entry, String earlierEvents) {
            this.request = request;
            this.earlierEvents = earlierEvents;
            this.kind = kind;
            this.attempt = attempt;
            this.entry = entry;
        }

        @Override
        public void onHead(int value, List<HttpHeader> headers) {
            status = value;
        }

        @Override
        public void onBytes(byte[] bytes) {
            body.writeBytes(bytes);
        }

        @Override
        public void onEnd() {
            observe(Observation.End.COMPLETE);
        }

        @Override
        public void onFailure(Failure failure) {
            boolean unreached = failure.executionState() == ExecutionState.NOT_RUN;
            observe(
                    disconnected
                            ? Observation.End.LEFT
                            : unreached ? Observation.End.UNREACHED : Observation.End.BROKEN);
        }

        private void takeUpIfBegun() {
            if (kind != CallerCalls.Kind.STREAM || status != 200 || !earlierEvents.isEmpty()) {
                return;
            }
            String received = body.toString(StandardCharsets.UTF_8);
            int lastEnd = received.lastIndexOf(EVENT_END);
            if (lastEnd >= 0) {
                String events = received.substring(0, lastEnd + EVENT_END.length());
                takeUp(this, events, CallerCalls.eventCount(events));
            }
        }

        private void observe(Observation.End end) {
            if (end == Observation.End.BROKEN) {
                takeUpIfBegun();
            }
            observations.add(new Observation(
                    attempt,
                    kind,
                    entry,
                    beganMillis,
                    now() - beganMillis,
                    end,
                    status,
                    earlierEvents + body.toString(StandardCharsets.UTF_8)));
        }
    }
}
