package org.merlinwood.proving.prove;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.merlinwood.proving.caller.CallerAnswer;
import org.merlinwood.proving.caller.CallerClient;
import org.merlinwood.proving.caller.CallerRequest;
import org.merlinwood.proving.caller.RequestUnderway;
import org.merlinwood.proving.fleet.FleetDocuments;
import org.merlinwood.standin.engine.ExpectedResponse;

/** Streamed completions with prompts of their own, and what came of them. Used by one thread. */
final class StreamSet {

    private static final long FIRST_TOKEN_MILLIS = 20_000;
    private static final int SENTENCES = 40;

    private final List<Stream> streams = new ArrayList<>();
    private final Workbench bench;

    StreamSet(Workbench bench) {
        this.bench = bench;
    }

    // ------------------------------------------------------------------ sending

    /** Sends streams through all entries in turn. */
    StreamSet send(int count, int tokens) {
        for (int number = 0; number < count; number++) {
            sendTo(number, tokens);
        }
        return this;
    }

    /** Sends one stream through one entry. */
    Stream sendTo(int entry, int tokens) {
        String prompt =
                "Report " + bench.random().nextLong() + ". " + "Hydrant checked, cap in place. ".repeat(SENTENCES);
        CallerRequest request =
                CallerRequest.streamed(FleetDocuments.INSPECTOR_TOKEN, FleetDocuments.SUMMARY_MODEL, prompt, tokens);
        Stream stream = new Stream(prompt, tokens, bench.client().send(bench.caller(entry), request));
        streams.add(stream);
        return stream;
    }

    /** Waits until every stream has its first token or its end. */
    boolean awaitFirstTokens() throws InterruptedException {
        for (Stream stream : streams) {
            if (!stream.underway.firstToken().await(FIRST_TOKEN_MILLIS, TimeUnit.MILLISECONDS)) {
                return false;
            }
        }
        return true;
    }

    /** Closes the callers' connections. */
    void disconnectAll() {
        streams.forEach(stream -> stream.underway.disconnect());
    }

    // ------------------------------------------------------------------ results

    /** Returns the digests of all prompts. */
    Set<String> promptDigests() {
        return streams.stream()
                .map(stream -> ExpectedResponse.promptDigest(stream.prompt))
                .collect(Collectors.toCollection(LinkedHashSet::new));
    }

    /** Returns how many streams have not ended. */
    int open() {
        return (int) streams.stream()
                .filter(stream -> !stream.underway.answer().isDone())
                .count();
    }

    /** Waits for all answers and says what is wrong with them. */
    List<String> faults() {
        return streams.stream()
                .map(stream -> stream.fault(CallerClient.await(stream.underway)))
                .filter(fault -> !fault.isEmpty())
                .toList();
    }

    /** Waits for all answers and says which were given as whole but are not. */
    List<String> wrongAnswers() {
        return streams.stream()
                .filter(stream -> CallerClient.await(stream.underway).isOk())
                .map(stream -> stream.fault(CallerClient.await(stream.underway)))
                .filter(fault -> !fault.isEmpty())
                .toList();
    }

    /** Waits for all answers and returns them. */
    List<CallerAnswer> answers() {
        return streams.stream()
                .map(stream -> CallerClient.await(stream.underway))
                .toList();
    }

    /** Returns the number of streams. */
    int size() {
        return streams.size();
    }

    /**
     * One stream.
     *
     * @param prompt its prompt
     * @param tokens tokens of the answer
     * @param underway the request
     */
    record Stream(String prompt, int tokens, RequestUnderway underway) {

        /** Says what is wrong with an answer, or nothing. */
        String fault(CallerAnswer answer) {
            if (!answer.isOk()) {
                return "status " + answer.status() + " code " + answer.codeText() + " after " + answer.totalMillis()
                        + " ms, " + answer.broken().orElse("ended without [DONE]");
            }
            if (answer.terminalEvents() != 1) {
                return answer.terminalEvents() + " final events";
            }
            return answer.text().equals(ExpectedResponse.text(prompt, tokens)) ? "" : "not its own whole answer";
        }
    }
}
