package org.merlinwood.replay.trace;

import java.util.List;

/**
 * The instances that a trace is replayed against. Immutable.
 *
 * @param failureDomains names of the failure domains; instances are spread over them in turn
 * @param entries entries; callers are spread over them in turn
 * @param prefill the prefill pool
 * @param decode the decode pool
 * @param link the links between them
 * @param plain the plain service
 * @param reports how late and how complete the reports of the engines are
 */
public record Fleet(
        List<String> failureDomains,
        int entries,
        Prefill prefill,
        Decode decode,
        Link link,
        Plain plain,
        Reports reports) {

    /** Copies the list. */
    public Fleet {
        failureDomains = List.copyOf(failureDomains);
    }

    /**
     * The prefill pool. Immutable.
     *
     * @param instances number of instances
     * @param tokensPerMilli rate of one instance, in tokens a millisecond
     * @param cacheTokens prefix cache of one instance, in tokens
     * @param resultLifeMillis how long a result waits for its transfer, in milliseconds
     */
    public record Prefill(int instances, double tokensPerMilli, int cacheTokens, long resultLifeMillis) {}

    /**
     * The decode pool. Immutable.
     *
     * @param instances number of instances
     * @param pieces engine memory of one instance, in pieces of 2,000 tokens
     * @param stepMillis time for one token of each running request, in milliseconds
     * @param stepMillisPerRequest what each running request adds to that, in milliseconds
     */
    public record Decode(int instances, int pieces, double stepMillis, double stepMillisPerRequest) {}

    /**
     * The links. Each instance has one, which its transfers share.
     *
     * @param bytesPerMilli rate of one link, in bytes a millisecond
     * @param bytesPerToken KV cache of one token, in bytes
     */
    public record Link(long bytesPerMilli, long bytesPerToken) {}

    /**
     * The plain service. Immutable.
     *
     * @param instances number of instances
     * @param concurrency calls that one instance takes at once
     * @param serviceMillis time of one call, in milliseconds
     */
    public record Plain(int instances, int concurrency, long serviceMillis) {}

    /**
     * What the engines report. Immutable.
     *
     * @param loadLagMillis age of a reported load, in milliseconds
     * @param cacheEventDelayMillis delay of a cache event, in milliseconds
     * @param cacheEventLossShare share of cache events that never arrive
     */
    public record Reports(long loadLagMillis, long cacheEventDelayMillis, double cacheEventLossShare) {}
}
