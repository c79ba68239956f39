package org.merlinwood.standin.platform;

/**
 * One revision of a document.
 *
 * @param revision given by the service, rising by one
 * @param content text of the document
 */
public record PublishedDocument(long revision, String content) {}
