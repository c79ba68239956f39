package org.merlinwood.gateway.request;

/**
 * One part of a prompt. Requests share parts.
 *
 * @param identifier names the content of the part
 * @param tokens its length in tokens
 */
public record PromptPart(String identifier, int tokens) {}
