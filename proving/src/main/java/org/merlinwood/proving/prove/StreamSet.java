package org.merlinwood.proving.prove;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.merlinwood.core.time.SystemMillisClock;
import org.merlinwood.proving.caller.CallerClient;
import org.merlinwood.proving.caller.CallerRequest;
import org.merlinwood.proving.caller.CallerResponse;
import org.merlinwood.proving.caller.RequestInProgress;
import org.merlinwood.proving.fleet.FleetDocuments;
import org.merlinwood.standin.engine.ExpectedResponse;

/** Streamed completions with distinct prompts, and their responses. Not thread-safe: used by one thread. */
final class StreamSet {

    private static final long FIRST_TOKEN_MILLIS = 20_000;
    private static final int SENTENCES = 40;

    private final List<Stream> streams = new ArrayList<>();
    private final ProofContext context;
    private final String leadingPortion;
    private int sentAgain;

    StreamSet(ProofContext context) {
        this(context, "");
    }

    /** Creates a set whose prompts all begin with a portion. */
    StreamSet(ProofContext context, String leadingPortion) {
        this.context = context;
        this.leadingPortion = leadingPortion;
    }

    /** Sends streams through all entries in turn, without waiting for responses. */
    StreamSet send(int count, int tokens) {
        for (int number = 0; number < count; number++) {
            sendTo(number, tokens);
        }
        return this;
    }

    /** Sends one stream through one entry. */
    Stream sendTo(int entry, int tokens) {
        String prompt = leadingPortion + "Report " + context.random().nextLong() + ". "
                + "Hydrant checked, cap in place. ".repeat(SENTENCES);
        Stream stream = send(entry, prompt, tokens);
        streams.add(stream);
        return stream;
    }

    private Stream send(int entry, String prompt, int tokens) {
        CallerRequest request =
                CallerRequest.streamed(FleetDocuments.INSPECTOR_TOKEN, FleetDocuments.SUMMARY_MODEL, prompt, tokens);
        return new Stream(entry, prompt, tokens, context.client().send(context.caller(entry), request));
    }

    /** Waits until every stream has its first token or has ended; returns false on a timeout. */
    boolean awaitFirstTokens() throws InterruptedException {
        for (Stream stream : streams) {
            if (!stream.inProgress.firstToken().await(FIRST_TOKEN_MILLIS, TimeUnit.MILLISECONDS)) {
                return false;
            }
        }
        return true;
    }

    /**
     * Waits until every stream runs at the same time. A caller that is refused because no instance has capacity in time
     * sends the request again after the stated delay, as long as the time allows.
     *
     * @return whether all streams run
     */
    boolean awaitAllRunning() throws InterruptedException {
        long deadlineMillis = SystemMillisClock.shared().monotonicMillis() + FIRST_TOKEN_MILLIS;
        while (awaitFirstTokens()) {
            OptionalLong delayMillis = longestRetryDelayMillis();
            if (open() == size()) {
                return true;
            }
            long nowMillis = SystemMillisClock.shared().monotonicMillis();
            if (delayMillis.isEmpty() || nowMillis + delayMillis.getAsLong() > deadlineMillis) {
                return false;
            }
            Thread.sleep(delayMillis.getAsLong());
            streams.replaceAll(stream -> stream.inProgress.response().isDone() ? sendAgain(stream) : stream);
        }
        return false;
    }

    /** Returns how many requests were sent again after a refusal. */
    int sentAgain() {
        return sentAgain;
    }

    /** Returns empty if a stream has ended otherwise than by a refusal that states a delay. */
    private OptionalLong longestRetryDelayMillis() {
        List<CallerResponse> ended = streams.stream()
                .filter(stream -> stream.inProgress.response().isDone())
                .map(stream -> CallerClient.await(stream.inProgress))
                .toList();
        boolean allRefused =
                ended.stream().allMatch(response -> response.retryAfterMillis().isPresent());
        return allRefused
                ? ended.stream()
                        .mapToLong(response -> response.retryAfterMillis().orElseThrow())
                        .max()
                : OptionalLong.empty();
    }

    private Stream sendAgain(Stream refused) {
        sentAgain++;
        return send(refused.entry, refused.prompt, refused.tokens);
    }

    /** Closes the callers' connections. */
    void disconnectAll() {
        streams.forEach(stream -> stream.inProgress.disconnect());
    }

    /** Returns the digests of all prompts. */
    Set<String> promptDigests() {
        return streams.stream()
                .map(stream -> ExpectedResponse.promptDigest(stream.prompt))
                .collect(Collectors.toCollection(LinkedHashSet::new));
    }

    /** Describes the streams that have ended, for use in messages. */
    List<String> describeEnded() {
        return streams.stream()
                .map(Stream::inProgress)
                .filter(stream -> stream.response().isDone())
                .map(CallerClient::await)
                .map(response -> "ended after %d ms: status %d code %s, %s"
                        .formatted(
                                response.totalMillis(),
                                response.status(),
                                response.codeText(),
                                response.broken().orElse(response.whole() ? "whole" : "not whole")))
                .toList();
    }

    /** Returns how many streams have not ended. */
    int open() {
        return (int) streams.stream()
                .filter(stream -> !stream.inProgress.response().isDone())
                .count();
    }

    /** Waits for all responses and describes the incorrect or failed ones. */
    List<String> faults() {
        return streams.stream()
                .map(stream -> stream.fault(CallerClient.await(stream.inProgress)))
                .filter(fault -> !fault.isEmpty())
                .toList();
    }

    /** Waits for all responses and returns the identifiers of the requests whose responses are incorrect or failed. */
    List<String> faultyRequests() {
        return streams.stream()
                .filter(stream ->
                        !stream.fault(CallerClient.await(stream.inProgress)).isEmpty())
                .map(stream -> CallerClient.await(stream.inProgress).request())
                .toList();
    }

    /** Waits for all responses and describes those that report success but are incorrect. */
    List<String> wrongResponses() {
        return streams.stream()
                .filter(stream -> CallerClient.await(stream.inProgress).isOk())
                .map(stream -> stream.fault(CallerClient.await(stream.inProgress)))
                .filter(fault -> !fault.isEmpty())
                .toList();
    }

    /** Waits for all responses and returns them. */
    List<CallerResponse> responses() {
        return streams.stream()
                .map(stream -> CallerClient.await(stream.inProgress))
                .toList();
    }

    /** Returns the number of streams. */
    int size() {
        return streams.size();
    }

    /**
     * A streamed completion.
     *
     * @param entry number of the entry that the request was sent to
     * @param prompt the prompt
     * @param tokens requested length of the response in tokens
     * @param inProgress the request that was sent
     */
    record Stream(int entry, String prompt, int tokens, RequestInProgress inProgress) {

        /** Describes what is wrong with the response; empty if it is correct. */
        String fault(CallerResponse response) {
            if (!response.isOk()) {
                return "status " + response.status() + " code " + response.codeText() + " after "
                        + response.totalMillis() + " ms, " + response.broken().orElse("ended without [DONE]");
            }
            if (response.terminalEvents() != 1) {
                return response.terminalEvents() + " final events";
            }
            return response.text().equals(ExpectedResponse.text(prompt, tokens)) ? "" : "not its own whole answer";
        }
    }
}
