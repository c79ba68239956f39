package org.merlinwood.entry.dispatch;

import java.util.List;

/**
 * A request that is not complete yet, for the state dump. Immutable.
 *
 * @param request its identifier
 * @param caller name of the caller
 * @param service name of the service
 * @param state state of its state machine
 * @param ageMillis time since it arrived, in milliseconds
 * @param remainingMillis time until its deadline, in milliseconds
 * @param attempts its open attempts: number, role, instance and phase
 */
public record OpenRequest(
        String request,
        String caller,
        String service,
        String state,
        long ageMillis,
        long remainingMillis,
        List<String> attempts) {}
