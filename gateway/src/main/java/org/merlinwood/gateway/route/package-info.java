/** The operator's routes and services, which determine the service for each request. Immutable. */
package org.merlinwood.gateway.route;
