package org.merlinwood.gateway.upstream;

/**
 * A part of a prompt that an instance has computed, or fetched, and still holds in its memory.
 *
 * @param model name of the model
 * @param identifier identifier of the part
 * @param tokens number of its tokens that are held; the others were evicted
 */
public record HeldPart(String model, String identifier, int tokens) {}
