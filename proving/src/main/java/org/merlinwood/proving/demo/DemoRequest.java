package org.merlinwood.proving.demo;

import org.merlinwood.proving.caller.CallerRequest;

/**
 * One request of the demo.
 *
 * @param deployment who sends it
 * @param description what it is
 * @param request the request
 * @param check judges its answer
 */
record DemoRequest(String deployment, String description, CallerRequest request, ResponseCheck check) {}
