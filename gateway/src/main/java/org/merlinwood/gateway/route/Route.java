package org.merlinwood.gateway.route;

import java.util.List;

/**
 * A route of the operator's configuration. Immutable.
 *
 * @param name name of the route
 * @param host value of the {@code Host} header of its requests, in lower case
 * @param prefix path prefix of its requests, with a slash at both ends
 * @param kind kind of its requests
 * @param timeoutMillis maximum time until the response is complete, in milliseconds
 * @param targetMillis target time for the response, or for the first event of a stream, in milliseconds
 * @param priority priority, 0 is the highest
 * @param shares the services that its requests are distributed over, at least one
 * @param maximumAttempts maximum number of instances that one attempt of a caller is sent to
 * @param resumable whether an interrupted stream may continue at another instance after its last event
 * @param keyRequired whether its requests need the key of a workspace, if the configuration has workspaces
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
        boolean resumable,
        boolean keyRequired) {

    /** Copies the shares. */
    public Route {
        shares = List.copyOf(shares);
        if (shares.isEmpty()) {
            throw new IllegalArgumentException("route " + name + " has no service");
        }
    }

    /**
     * Returns whether a request of this route may run more than once.
     *
     * @return true for idempotent requests and for resumable streams
     */
    public boolean repeatable() {
        return switch (kind) {
            case IDEMPOTENT -> true;
            case NON_IDEMPOTENT -> false;
            case STREAM -> resumable;
        };
    }

    /**
     * Chooses the service for an attempt according to the weights. The same attempt always gets the same service.
     *
     * @param attempt identifier that the caller assigned to the attempt; may be empty
     * @return name of the service
     */
    public String serviceFor(String attempt) {
        int totalWeight = shares.stream().mapToInt(ServiceShare::weight).sum();
        if (shares.size() == 1 || totalWeight <= 0) {
            return shares.getFirst().service();
        }
        int point = Math.floorMod(attempt.hashCode() * 0x9E3779B1, totalWeight);
        for (ServiceShare share : shares) {
            point -= share.weight();
            if (point < 0) {
                return share.service();
            }
        }
        return shares.getLast().service();
    }
}
