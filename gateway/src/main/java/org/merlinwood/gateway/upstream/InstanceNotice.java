package org.merlinwood.gateway.upstream;

import java.util.OptionalLong;

/**
 * What an instance states about itself with a response, whatever was requested.
 *
 * @param leaving whether it is about to leave, so that it must get no request that arrives from now on
 * @param declinedMillis time from the response on for which it wants no request from this entry, in milliseconds,
 *     positive; empty unless it declined a request and named a time
 */
public record InstanceNotice(boolean leaving, OptionalLong declinedMillis) {

    /** The notice of a response that states neither. */
    public static final InstanceNotice NONE = new InstanceNotice(false, OptionalLong.empty());
}
