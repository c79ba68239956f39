package org.merlinwood.gateway.route;

import java.util.List;

/**
 * One route of the operator. Immutable.
 *
 * @param name name of the route
 * @param host value of the caller's host header, in lower case
 * @param prefix beginning of the path, with a slash at both ends
 * @param kind what may be repeated
 * @param timeoutMillis longest time until the final answer, in milliseconds
 * @param targetMillis time within which an answer, or its first event, is on time, in milliseconds
 * @param priority rank, 0 first
 * @param shares the services that serve it, at least one
 * @param maximumAttempts number of instances that one attempt of a caller may be sent to
 * @param resumable whether a stream may go on at another instance behind its last event
 */
public record Route(
        String name,
        String host,
        String prefix,
        RequestKind kind,
        long timeoutMillis,
        long targetMillis,
        int priority,
        List<ServiceShare> shares,
        int maximumAttempts,
        boolean resumable) {

    /** Copies the shares. */
    public Route {
        shares = List.copyOf(shares);
        if (shares.isEmpty()) {
            throw new IllegalArgumentException("route " + name + " names no service");
        }
    }

    /**
     * Tells whether a request of this route may run more than once.
     *
     * @return true for idempotent requests and for streams that may be resumed
     */
    public boolean repeatable() {
        return switch (kind) {
            case IDEMPOTENT -> true;
            case NON_IDEMPOTENT -> false;
            case STREAM -> resumable;
        };
    }

    /**
     * Chooses the service for one attempt; the same attempt always gets the same service.
     *
     * @param attempt identifier of the caller's attempt
     * @return name of the service
     */
    public String serviceFor(String attempt) {
        int total = shares.stream().mapToInt(ServiceShare::weight).sum();
        if (shares.size() == 1 || total <= 0) {
            return shares.getFirst().service();
        }
        int point = Math.floorMod(attempt.hashCode() * 0x9E3779B1, total);
        for (ServiceShare share : shares) {
            point -= share.weight();
            if (point < 0) {
                return share.service();
            }
        }
        return shares.getLast().service();
    }
}
