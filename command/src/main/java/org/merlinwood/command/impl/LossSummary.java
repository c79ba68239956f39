package org.merlinwood.command.impl;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Counts the requests that were not answered, or answered late, by route and cause, with the second, the entry and the
 * instance at which most of each were lost. Not thread-safe.
 *
 * <p>Its memory is bounded by the number of routes, causes, seconds, entries and instances, and by
 * {@value #MAXIMUM_OPEN_REQUESTS} open requests.
 */
public final class LossSummary {

    /** Number of requests whose last instance is remembered until they end; the oldest are evicted first. */
    private static final int MAXIMUM_OPEN_REQUESTS = 20_000;

    /** Length of the time in a log line up to the second, as in 2026-01-01T00:00:00. */
    private static final int SECOND_LENGTH = 19;

    private final long lateStreamMillis;
    private final long latePlainMillis;
    private final Map<Cause, Losses> lossesByCause = new LinkedHashMap<>();
    private final Map<String, String> instanceByRequest = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, String> eldest) {
            return size() > MAXIMUM_OPEN_REQUESTS;
        }
    };
    private long accepted;

    private record Cause(String route, String text) {}

    /**
     * One line of the summary.
     *
     * @param route name of the route; empty if the request was refused before a route was chosen
     * @param cause why the requests were lost
     * @param requests number of requests
     * @param worstSecond time of the second with the most of them, and their number
     * @param worstEntry entry with the most of them, and their number
     * @param worstInstance instance with the most of them, and their number; empty if none was chosen
     */
    public record Row(
            String route,
            String cause,
            long requests,
            Count worstSecond,
            Count worstEntry,
            Optional<Count> worstInstance) {}

    /**
     * A name with a number of requests.
     *
     * @param name a second, an entry or an instance
     * @param requests number of requests
     */
    public record Count(String name, long requests) {}

    private static final class Losses {
        private long requests;
        private final Map<String, Long> bySecond = new HashMap<>();
        private final Map<String, Long> byEntry = new HashMap<>();
        private final Map<String, Long> byInstance = new HashMap<>();
    }

    /**
     * Creates an empty summary.
     *
     * @param lateStreamMillis time to the first event from which a stream is late, in milliseconds
     * @param latePlainMillis duration from which a plain response is late, in milliseconds
     */
    public LossSummary(long lateStreamMillis, long latePlainMillis) {
        this.lateStreamMillis = lateStreamMillis;
        this.latePlainMillis = latePlainMillis;
    }

    /**
     * Adds one decision.
     *
     * @param line the log line
     */
    public void add(JsonNode line) {
        String request = line.path("request").asText();
        switch (line.path("decision").asText()) {
            case "accepted" -> accepted++;
            case "send" -> instanceByRequest.put(request, line.path("instance").asText());
            case "answered" -> addAnswer(line, request);
            case "refused" -> addLoss("refused, code " + line.path("code").asText(), line, request);
            case "failed" -> addLoss("failed, code " + line.path("code").asText(), line, request);
            case "broken off" -> addLoss("broken off", line, request);
            case "caller left" -> addLoss("caller left", line, request);
            default -> {
                // Other decisions neither choose an instance nor end a request.
            }
        }
    }

    private void addAnswer(JsonNode line, String request) {
        boolean stream = line.has("firstEventMillis");
        long millis = line.path(stream ? "firstEventMillis" : "elapsedMillis").asLong();
        if (line.path("status").asInt() >= 500) {
            addLoss("error of the instance", line, request);
        } else if (millis > (stream ? lateStreamMillis : latePlainMillis)) {
            addLoss("late", line, request);
        }
        instanceByRequest.remove(request);
    }

    private void addLoss(String text, JsonNode line, String request) {
        Losses losses =
                lossesByCause.computeIfAbsent(new Cause(line.path("route").asText(), text), ignored -> new Losses());
        String time = line.path("time").asText();
        losses.requests++;
        losses.bySecond.merge(time.substring(0, Math.min(SECOND_LENGTH, time.length())), 1L, Long::sum);
        losses.byEntry.merge(line.path("process").asText(), 1L, Long::sum);
        String instance = instanceByRequest.remove(request);
        if (instance != null) {
            losses.byInstance.merge(instance, 1L, Long::sum);
        }
    }

    /**
     * Returns the number of requests that were accepted.
     *
     * @return number of requests
     */
    public long accepted() {
        return accepted;
    }

    /**
     * Returns the largest losses.
     *
     * @param maximum maximum number of rows
     * @return the rows, largest first
     */
    public List<Row> largest(int maximum) {
        return lossesByCause.entrySet().stream()
                .map(entry -> row(entry.getKey(), entry.getValue()))
                .sorted(Comparator.comparingLong(Row::requests).reversed())
                .limit(maximum)
                .toList();
    }

    private static Row row(Cause cause, Losses losses) {
        return new Row(
                cause.route(),
                cause.text(),
                losses.requests,
                highest(losses.bySecond).orElseThrow(),
                highest(losses.byEntry).orElseThrow(),
                highest(losses.byInstance));
    }

    private static Optional<Count> highest(Map<String, Long> counts) {
        return counts.entrySet().stream()
                .max(Map.Entry.<String, Long>comparingByValue()
                        .thenComparing(Map.Entry.comparingByKey(Comparator.reverseOrder())))
                .map(entry -> new Count(entry.getKey(), entry.getValue()));
    }
}
