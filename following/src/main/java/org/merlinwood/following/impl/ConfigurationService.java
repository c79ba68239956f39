package org.merlinwood.following.impl;

import java.util.concurrent.CompletionStage;

/** Client interface of the platform's configuration service. */
public interface ConfigurationService {

    /**
     * Requests a revision that is higher than the known one (long poll).
     *
     * @param document name of the document
     * @param afterRevision the highest known revision
     * @param waitMillis how long the service may hold the request until a higher revision is published, in milliseconds
     * @return the response; never completed exceptionally
     */
    CompletionStage<ConfigurationResponse> fetch(String document, long afterRevision, long waitMillis);
}
