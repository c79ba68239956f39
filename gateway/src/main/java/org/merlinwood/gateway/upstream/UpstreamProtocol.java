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
 * How calls to an upstream are written and its answers read. Implementations decide nothing and hold no state; they are
 * thread-safe.
 *
 * <p>Every call names the instance that it is meant for, so that another one behind the same address refuses it.
 */
public interface UpstreamProtocol {

    /**
     * Writes the call that reserves a slot and memory.
     *
     * @param instance where to reserve
     * @param tokens memory in tokens
     * @param leaseMillis how long the reservation lasts unused, in milliseconds
     * @return the call
     */
    HttpRequest reserve(UpstreamInstance instance, int tokens, long leaseMillis);

    /**
     * Reads the answer to {@link #reserve}.
     *
     * @param answer the answer
     * @return the reservation, or empty if there is no room
     */
    Optional<String> readReservation(HttpResponse answer);

    /**
     * Writes the call that gives a reservation back.
     *
     * @param instance where it was made
     * @param hold the reservation
     * @return the call
     */
    HttpRequest releaseReservation(UpstreamInstance instance, String hold);

    /**
     * Writes the call that computes a prompt and keeps the result for a transfer.
     *
     * @param instance the instance that is to compute
     * @param request the request
     * @param timeLeftMillis time that the instance has, in milliseconds
     * @return the call
     */
    HttpRequest prefill(UpstreamInstance instance, CallerRequest request, long timeLeftMillis);

    /**
     * Reads the answer to {@link #prefill}.
     *
     * @param instance the instance that was asked
     * @param answer the answer
     * @return the computed prompt, or empty if there is none
     */
    Optional<PrefillResult> readPrefill(UpstreamInstance instance, HttpResponse answer);

    /**
     * Writes the call that frees a computed prompt.
     *
     * @param prefill the computed prompt
     * @return the call
     */
    HttpRequest releasePrefill(PrefillResult prefill);

    /**
     * Writes the request itself.
     *
     * @param instance the instance that is to run it
     * @param request the request
     * @param terms the terms
     * @return the call
     */
    HttpRequest run(UpstreamInstance instance, CallerRequest request, AttemptTerms terms);

    /**
     * Writes the order to change the stage of an instance.
     *
     * @param instance the instance
     * @param stage the stage to change to
     * @param holder name of the entry that gives the order
     * @param fence its fencing token
     * @return the call
     */
    HttpRequest order(UpstreamInstance instance, Stage stage, String holder, long fence);

    /**
     * Reads the answer to {@link #order}.
     *
     * @param answer the answer
     * @return what became of the order
     */
    OrderAnswer readOrder(HttpResponse answer);

    /**
     * Reads the head of an answer to {@link #run}.
     *
     * @param status HTTP status
     * @param headers the headers
     * @return the head
     */
    ResponseHead readHead(int status, List<HttpHeader> headers);
}
