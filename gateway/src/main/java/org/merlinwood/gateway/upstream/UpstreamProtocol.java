package org.merlinwood.gateway.upstream;

import java.util.List;
import java.util.Optional;
import org.merlinwood.gateway.fleet.Stage;
import org.merlinwood.gateway.fleet.UpstreamInstance;
import org.merlinwood.gateway.request.CallerRequest;
import org.merlinwood.http.HttpHeader;
import org.merlinwood.http.HttpRequest;
import org.merlinwood.http.HttpResponse;

/**
 * Creates requests to upstream instances and decodes their responses. Implementations are stateless and thread-safe,
 * and contain no policy.
 *
 * <p>Every request names the intended instance, so that another instance that took over its address refuses it.
 */
public interface UpstreamProtocol {

    /**
     * Creates a request that reserves a slot and memory.
     *
     * @param instance instance to reserve at
     * @param tokens amount of memory, in tokens of KV cache
     * @param leaseMillis time after which an unused reservation expires, in milliseconds
     * @return the HTTP request
     */
    HttpRequest reserve(UpstreamInstance instance, int tokens, long leaseMillis);

    /**
     * Decodes the response to {@link #reserve}.
     *
     * @param response HTTP response of any status
     * @return identifier of the reservation, or empty if none was made
     */
    Optional<String> readReservation(HttpResponse response);

    /**
     * Creates a request that releases a reservation.
     *
     * @param instance instance that made the reservation
     * @param reservation identifier of the reservation
     * @return the HTTP request
     */
    HttpRequest releaseReservation(UpstreamInstance instance, String reservation);

    /**
     * Creates a request that computes a prompt and retains the result for transfer to a decode instance.
     *
     * @param instance prefill instance
     * @param request request of the caller
     * @param timeLeftMillis remaining time for the instance, in milliseconds
     * @return the HTTP request
     */
    HttpRequest prefill(UpstreamInstance instance, CallerRequest request, long timeLeftMillis);

    /**
     * Decodes the response to {@link #prefill}.
     *
     * @param instance instance that sent the response
     * @param response HTTP response of any status
     * @return the computed prompt, or empty if the prefill failed
     */
    Optional<PrefillResult> readPrefill(UpstreamInstance instance, HttpResponse response);

    /**
     * Creates a request that releases a computed prompt.
     *
     * @param prefill computed prompt that is no longer needed
     * @return the HTTP request
     */
    HttpRequest releasePrefill(PrefillResult prefill);

    /**
     * Creates the request that executes a request of a caller.
     *
     * @param instance instance to execute it
     * @param request request of the caller
     * @param terms conditions of this attempt
     * @return the HTTP request
     */
    HttpRequest run(UpstreamInstance instance, CallerRequest request, AttemptTerms terms);

    /**
     * Creates a request for the parts of prompts that an instance holds.
     *
     * @param instance instance that generates responses
     * @return the HTTP request
     */
    HttpRequest heldParts(UpstreamInstance instance);

    /**
     * Decodes the response to {@link #heldParts}.
     *
     * @param response HTTP response of any status
     * @return the parts, or empty if the instance doesn't tell them
     */
    Optional<List<HeldPart>> readHeldParts(HttpResponse response);

    /**
     * Creates an order to change the stage of an instance.
     *
     * @param instance instance that receives the order
     * @param stage new stage, prefill or decode
     * @param holder name of the entry that issues the order
     * @param fencingToken fencing token of that entry
     * @return the HTTP request
     */
    HttpRequest order(UpstreamInstance instance, Stage stage, String holder, long fencingToken);

    /**
     * Decodes the response to {@link #order}.
     *
     * @param response HTTP response of any status
     * @return result of the order
     */
    OrderAnswer readOrder(HttpResponse response);

    /**
     * Decodes what any response states about the instance itself.
     *
     * @param status HTTP status
     * @param headers headers of the response
     * @return the notice, {@link InstanceNotice#NONE} if it states nothing
     */
    InstanceNotice readNotice(int status, List<HttpHeader> headers);

    /**
     * Decodes the head of a response to {@link #run}.
     *
     * @param status HTTP status
     * @param headers headers of the response
     * @return the decoded head
     */
    ResponseHead readHead(int status, List<HttpHeader> headers);
}
