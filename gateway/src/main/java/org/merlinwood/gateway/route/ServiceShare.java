package org.merlinwood.gateway.route;

/**
 * The part of a route's requests that goes to one service.
 *
 * @param service name of the service
 * @param weight its part, relative to the other weights of the route
 */
public record ServiceShare(String service, int weight) {}
