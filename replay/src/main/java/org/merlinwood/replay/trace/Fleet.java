package org.merlinwood.replay.trace;

import java.util.List;

/**
 * The fleet that a trace is replayed against. Immutable.
 *
 * @param failureDomains names of the failure domains; instances are assigned to them round robin
 * @param entries number of entries; requests are assigned to them round robin
 * @param prefill the prefill pool
 * @param decode the decode pool
 * @param link the links between prefill and decode instances
 * @param plain the plain service
 * @param reports delay and loss of the engines' reports
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
     * @param tokensPerMilli rate of one instance, in tokens per millisecond
     * @param cacheTokens size of the prefix cache of one instance, in tokens
     * @param resultLifeMillis time after which a result that was not transferred is evicted, in milliseconds
     */
    public record Prefill(int instances, double tokensPerMilli, int cacheTokens, long resultLifeMillis) {}

    /**
     * The decode pool. Immutable.
     *
     * @param instances number of instances
     * @param pieces engine memory of one instance, in pieces of 2,000 tokens
     * @param stepMillis base duration of a step, which generates one token for each running request, in milliseconds
     * @param stepMillisPerRequest additional duration of a step for each running request, in milliseconds
     */
    public record Decode(int instances, int pieces, double stepMillis, double stepMillisPerRequest) {}

    /**
     * The links. Each instance has one link, which carries its transfers one after another. Immutable.
     *
     * @param bytesPerMilli rate of one link, in bytes per millisecond
     * @param bytesPerToken size of the KV cache of one token, in bytes
     */
    public record Link(long bytesPerMilli, long bytesPerToken) {}

    /**
     * The plain service. Immutable.
     *
     * @param instances number of instances
     * @param concurrency maximum number of concurrent requests at one instance
     * @param serviceMillis duration of one request, in milliseconds
     */
    public record Plain(int instances, int concurrency, long serviceMillis) {}

    /**
     * Delay and loss of the engines' reports. Immutable.
     *
     * @param loadLagMillis age of a reported load, in milliseconds
     * @param cacheEventDelayMillis delay of a cache event, in milliseconds
     * @param cacheEventLossShare share of cache events that are lost, from 0 to 1
     */
    public record Reports(long loadLagMillis, long cacheEventDelayMillis, double cacheEventLossShare) {}
}
