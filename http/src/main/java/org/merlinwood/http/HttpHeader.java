package org.merlinwood.http;

/**
 * One header line.
 *
 * @param name the name, case-insensitive
 * @param value the value, without line breaks
 */
public record HttpHeader(String name, String value) {}
