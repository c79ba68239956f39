package org.merlinwood.standin.impl;

/**
 * JSON body of an error response.
 *
 * @param error the cause; a single word where clients evaluate it
 */
public record ErrorBody(String error) {}
