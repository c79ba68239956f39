package org.merlinwood.gateway.allotment;

/** Decision on one request of a workspace. */
public sealed interface AllotmentDecision {

    /**
     * Returns what the decision rests on.
     *
     * @return for log lines
     */
    Inputs inputs();

    /**
     * What a decision rests on.
     *
     * @param share part of the rate that this entry and the reachable ones share, from 0 to 1
     * @param ageMillis mean age of what the other entries reported, in milliseconds
     * @param level units left in the shared bucket, below 0 if it is overdrawn
     */
    record Inputs(double share, long ageMillis, long level) {}

    /**
     * The request may be sent.
     *
     * @param charge what it counts; to be given back if the request does not run
     * @param inputs what the decision rests on
     */
    record Admitted(Charge charge, Inputs inputs) implements AllotmentDecision {}

    /**
     * The request is over the limit.
     *
     * @param retryAfterMillis time until the request could be admitted, with jitter, in milliseconds
     * @param reason why it was refused
     * @param inputs what the decision rests on
     */
    record Refused(long retryAfterMillis, Reason reason, Inputs inputs) implements AllotmentDecision {}

    /** Why a request is refused. */
    enum Reason {
        /** The shared bucket holds too little. */
        LEVEL,
        /** The workspace offers more than its rate, and the turn of this request has not come. */
        PACE,
        /** The window has no room for what other entries may admit at the same time. */
        WINDOW
    }
}
