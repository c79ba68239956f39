package org.merlinwood.proving.demo;

import java.util.Optional;
import org.merlinwood.proving.caller.CallerResponse;
import org.merlinwood.standin.engine.ExpectedResponse;

/** Judges one answer. */
interface ResponseCheck {

    /**
     * Judges an answer that has result code 0 and is whole.
     *
     * @param answer the answer
     * @return what is wrong, or empty if all is well
     */
    Optional<String> fault(CallerResponse answer);

    /** The whole answer of a model to this prompt. */
    static ResponseCheck completionOf(String prompt, int maximumTokens) {
        return answer -> answer.text().equals(ExpectedResponse.text(prompt, maximumTokens))
                ? Optional.empty()
                : Optional.of("the text is not the whole answer to this prompt");
    }

    /** A plain answer with a status and a part. */
    static ResponseCheck plain(int status, String part) {
        return answer -> answer.status() == status && answer.text().contains(part)
                ? Optional.empty()
                : Optional.of("status " + answer.status() + ", body " + answer.text());
    }
}
