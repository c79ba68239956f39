package org.merlinwood.replay.measure;

import com.fasterxml.jackson.annotation.JsonPropertyOrder;

/**
 * What one replay of one trace under one policy showed. Immutable.
 *
 * @param policy name of the policy
 * @param trace name of the trace
 * @param goodput share of offered requests that were answered whole within both targets
 * @param wastedPrefill share of computed prompt tokens whose result no whole answer used
 * @param offered requests, each counted once however often it was sent
 * @param refused refusals that callers got
 * @param firstTokenMillis95 time to the first token that 95 of 100 whole answers stayed under, in milliseconds
 * @param betweenTokensMillis95 time between tokens that 95 of 100 stayed under, in milliseconds
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
