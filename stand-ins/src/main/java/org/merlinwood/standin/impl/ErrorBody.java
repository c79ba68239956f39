package org.merlinwood.standin.impl;

/**
 * Body of a refusal.
 *
 * @param error what was wrong, one word where callers judge by it
 */
public record ErrorBody(String error) {}
