package org.merlinwood.replay.measure;

import com.fasterxml.jackson.annotation.JsonPropertyOrder;

/**
 * Results of replaying one trace under one policy. Immutable.
 *
 * @param policy name of the policy
 * @param trace name of the trace
 * @param goodput share of offered requests with a complete response within both targets
 * @param wastedPrefill share of computed prompt tokens that contributed to no complete response
 * @param offered number of requests, each counted once regardless of its attempts
 * @param refused number of refused attempts
 * @param firstTokenMillis95 95th percentile of the time to the first token of complete responses, in milliseconds
 * @param betweenTokensMillis95 95th percentile of the time between tokens, in milliseconds
 */
@JsonPropertyOrder({
    "policy",
    "trace",
    "goodput",
    "wastedPrefill",
    "offered",
    "refused",
    "firstTokenMillis95",
    "betweenTokensMillis95"
})
public record Measurement(
        String policy,
        String trace,
        double goodput,
        double wastedPrefill,
        long offered,
        long refused,
        long firstTokenMillis95,
        long betweenTokensMillis95) {}
