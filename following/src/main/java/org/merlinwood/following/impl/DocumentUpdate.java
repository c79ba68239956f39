package org.merlinwood.following.impl;

import com.google.protobuf.ByteString;
import org.merlinwood.core.identity.Revisions;

/**
 * A revision as it travels between processes. Immutable.
 *
 * @param kind the document
 * @param revision the revision
 * @param baseRevision the revision that the delta starts from; {@link Revisions#NONE} where the whole text follows
 * @param content a {@link TextDelta}, or the whole text in UTF-8
 */
record DocumentUpdate(DocumentKind kind, long revision, long baseRevision, ByteString content) {

    boolean isWhole() {
        return baseRevision == Revisions.NONE;
    }
}
