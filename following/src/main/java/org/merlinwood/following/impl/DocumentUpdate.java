package org.merlinwood.following.impl;

import com.google.protobuf.ByteString;
import org.merlinwood.core.identity.Revisions;

/**
 * A document revision as it is sent between processes. Immutable.
 *
 * @param kind the document
 * @param revision the revision that results from the update
 * @param baseRevision the revision that the delta applies to; {@link Revisions#NONE} if the content is the whole text
 * @param content an encoded {@link TextDelta}, or the whole text in UTF-8
 */
record DocumentUpdate(DocumentKind kind, long revision, long baseRevision, ByteString content) {

    boolean isWhole() {
        return baseRevision == Revisions.NONE;
    }
}
