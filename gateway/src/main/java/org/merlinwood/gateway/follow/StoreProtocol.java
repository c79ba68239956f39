package org.merlinwood.gateway.follow;

import java.util.Optional;
import org.merlinwood.gateway.fleet.UpstreamInstance;
import org.merlinwood.gateway.route.RouteTable;
import org.merlinwood.http.HttpRequest;
import org.merlinwood.http.HttpResponse;

/** How the store is asked and what its keys mean. Implementations hold no state; they are thread-safe. */
public interface StoreProtocol {

    /**
     * Writes the call that lists keys.
     *
     * @param afterKey last key of the page before, or empty text for the first page
     * @return the call
     */
    HttpRequest list(String afterKey);

    /**
     * Writes the call that waits for changes.
     *
     * @param afterRevision revision that is known already
     * @param waitMillis how long the store may wait for a change, in milliseconds
     * @return the call
     */
    HttpRequest watch(long afterRevision, long waitMillis);

    /**
     * Reads an answer to either call.
     *
     * @param answer the answer
     * @return what it says
     */
    StoreResponse read(HttpResponse answer);

    /**
     * Tells whether a key holds the routes.
     *
     * @param key the key
     * @return true for the one key of the configuration
     */
    boolean isConfiguration(String key);

    /**
     * Reads the routes.
     *
     * @param value value of the configuration's key
     * @return the routes, or empty if the value can't be read
     */
    Optional<RouteTable> readRoutes(byte[] value);

    /**
     * Tells which instance a key registers.
     *
     * @param key the key
     * @return identifier of the instance, or empty if the key is of another kind
     */
    Optional<String> instanceOf(String key);

    /**
     * Reads the registration of an instance.
     *
     * @param key the key
     * @param value its value
     * @return the instance, or empty if the key holds no usable registration
     */
    Optional<UpstreamInstance> readInstance(String key, byte[] value);
}
