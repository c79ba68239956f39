package org.merlinwood.proving.demo;

import org.merlinwood.proving.caller.CallerRequest;

/**
 * A request of the demo. Immutable.
 *
 * @param deployment name of the deployment that sends the request
 * @param description printed description of the request
 * @param request the request
 * @param check checks the response
 */
record DemoRequest(String deployment, String description, CallerRequest request, ResponseCheck check) {}
