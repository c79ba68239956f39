package org.merlinwood.standin.platform;

/**
 * One revision of a document.
 *
 * @param revision revision number assigned by the service; starts at 1 and increases by 1
 * @param content text of the document
 */
public record PublishedDocument(long revision, String content) {}
