package org.merlinwood.gateway.request;

/**
 * A part of a prompt. Different requests can have parts in common.
 *
 * @param identifier identifier of the content; parts with the same content have the same identifier
 * @param tokens length in tokens
 */
public record PromptPart(String identifier, int tokens) {}
