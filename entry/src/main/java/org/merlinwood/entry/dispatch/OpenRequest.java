package org.merlinwood.entry.dispatch;

import java.util.List;

/**
 * One request that is not settled yet, for the dump. Immutable.
 *
 * @param request its identifier
 * @param caller who sent it
 * @param service the service
 * @param state state of its machine
 * @param ageMillis since it arrived, in milliseconds
 * @param remainingMillis until its deadline, in milliseconds
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
