package org.merlinwood.following.impl;

import java.util.concurrent.CompletionStage;

/** The platform's configuration service, as followers see it. */
public interface ConfigurationService {

    /**
     * Asks for a revision higher than one that is known.
     *
     * @param document name of the document
     * @param afterRevision the revision that is known
     * @param waitMillis how long the service may wait for a higher one, in milliseconds
     * @return the answer, never completed exceptionally
     */
    CompletionStage<ConfigurationResponse> fetch(String document, long afterRevision, long waitMillis);
}
