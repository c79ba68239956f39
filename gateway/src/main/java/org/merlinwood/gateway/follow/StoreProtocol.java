package org.merlinwood.gateway.follow;

import java.util.Optional;
import org.merlinwood.gateway.fleet.UpstreamInstance;
import org.merlinwood.gateway.route.RouteTable;
import org.merlinwood.http.HttpRequest;
import org.merlinwood.http.HttpResponse;

/**
 * Creates requests to the configuration store and decodes its responses, keys and values. Implementations are stateless
 * and thread-safe.
 */
public interface StoreProtocol {

    /**
     * Creates a request for one page of all keys.
     *
     * @param afterKey last key of the previous page, or an empty string for the first page
     * @return the request
     */
    HttpRequest list(String afterKey);

    /**
     * Creates a long-polling request for changes.
     *
     * @param afterRevision revision up to which changes are already known
     * @param waitMillis how long the store may wait for a change, in milliseconds
     * @return the request
     */
    HttpRequest watch(long afterRevision, long waitMillis);

    /**
     * Decodes the response to a list or watch request.
     *
     * @param response HTTP response of any status
     * @return the decoded response; {@link StoreResponse.Failed} if it is an error or cannot be decoded
     */
    StoreResponse read(HttpResponse response);

    /**
     * Returns whether a key holds the configuration with the routes.
     *
     * @param key key in the store
     * @return true for the only configuration key
     */
    boolean isConfiguration(String key);

    /**
     * Decodes the routes.
     *
     * @param value value of the configuration key
     * @return the routes, or empty if the value is invalid
     */
    Optional<RouteTable> readRoutes(byte[] value);

    /**
     * Returns the identifier of the instance that a key registers.
     *
     * @param key key in the store
     * @return the identifier, or empty if the key does not register an instance
     */
    Optional<String> instanceIdentifier(String key);

    /**
     * Decodes the registration of an instance.
     *
     * @param key key in the store
     * @param value value of the key
     * @return the instance, or empty if the key does not register an instance or the value is invalid
     */
    Optional<UpstreamInstance> readInstance(String key, byte[] value);
}
