package org.merlinwood.gateway.workspace;

/** What an allotment counts. */
public enum AllotmentUnit {
    /** Each request counts as one. */
    REQUESTS,
    /** Each request counts as its prompt tokens and its maximum number of response tokens. */
    TOKENS
}
