package org.merlinwood.proving.demo;

import java.util.Optional;
import org.merlinwood.proving.caller.CallerResponse;
import org.merlinwood.standin.engine.ExpectedResponse;

/** Checks one response. */
interface ResponseCheck {

    /**
     * Checks a response that is complete and has result code 0.
     *
     * @param response the response
     * @return a description of the fault, or empty if the response is correct
     */
    Optional<String> fault(CallerResponse response);

    /** Expects the complete response of a model to the prompt. */
    static ResponseCheck completionOf(String prompt, int maximumTokens) {
        return response -> response.text().equals(ExpectedResponse.text(prompt, maximumTokens))
                ? Optional.empty()
                : Optional.of("the text is not the whole answer to this prompt");
    }

    /** Expects a plain response with a status and a body that contains the given part. */
    static ResponseCheck plain(int status, String part) {
        return response -> response.status() == status && response.text().contains(part)
                ? Optional.empty()
                : Optional.of("status " + response.status() + ", body " + response.text());
    }
}
