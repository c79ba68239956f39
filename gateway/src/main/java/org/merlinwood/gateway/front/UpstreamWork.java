package org.merlinwood.gateway.front;

import org.merlinwood.gateway.fleet.UpstreamInstance;
import org.merlinwood.http.HttpStream;

/**
 * A request to an upstream in progress.
 *
 * @param purpose what it does, for log lines
 * @param instance the instance that received it
 * @param request cancels it
 */
record UpstreamWork(String purpose, UpstreamInstance instance, HttpStream request) {

    /** Returns the purpose and the instance, for log lines. */
    String describe() {
        return purpose + " at " + instance.identifier();
    }
}
