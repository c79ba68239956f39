package org.merlinwood.sidecar.key;

import java.util.List;
import org.merlinwood.decision.idempotency.StoredAnswer;
import org.merlinwood.http.HttpAnswer;
import org.merlinwood.http.HttpHeader;
import org.merlinwood.sidecar.execution.AnswerChannel;
import org.merlinwood.sidecar.execution.PlainExecution;

/** Converts answers between the HTTP client and the table of keys. Stateless. */
public final class StoredAnswers {

    private StoredAnswers() {}

    /**
     * Makes an answer that may be given again.
     *
     * @param answer the answer of the upstream
     * @return the same answer
     */
    public static StoredAnswer of(HttpAnswer answer) {
        List<StoredAnswer.StoredHeader> headers = answer.headers().stream()
                .map(header -> new StoredAnswer.StoredHeader(header.name(), header.value()))
                .toList();
        return new StoredAnswer(answer.status(), headers, answer.body());
    }

    /**
     * Gives a stored answer again.
     *
     * @param channel the exchange
     * @param answer the stored answer
     */
    public static void replay(AnswerChannel channel, StoredAnswer answer) {
        List<HttpHeader> headers = answer.headers().stream()
                .map(header -> new HttpHeader(header.name(), header.value()))
                .toList();
        PlainExecution.relay(channel, new HttpAnswer(answer.status(), headers, answer.body()), true);
    }
}
