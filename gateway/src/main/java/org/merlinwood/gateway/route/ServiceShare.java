package org.merlinwood.gateway.route;

/**
 * The share of a route's requests that is sent to one service.
 *
 * @param service name of the service
 * @param weight weight of the service, relative to the other weights of the route
 */
public record ServiceShare(String service, int weight) {}
