package org.merlinwood.gateway.upstream;

import org.merlinwood.gateway.fleet.UpstreamInstance;
import org.merlinwood.http.HttpRequest;

/** Observes all requests to upstream instances, and what the responses state about the instances. */
public interface InstanceListener {

    /**
     * Called before a request is sent.
     *
     * @param instance the instance that the request is for
     * @param request the request
     */
    void onSend(UpstreamInstance instance, HttpRequest request);

    /**
     * Called with the notice of each response that has one, before anything else handles the response.
     *
     * @param instance the instance, as it was registered when the request was sent
     * @param notice what the response states
     */
    void onNotice(UpstreamInstance instance, InstanceNotice notice);
}
