package org.merlinwood.gateway.upstream;

import java.io.ByteArrayOutputStream;

/**
 * The body of one response while it is collected, as far as it is worth keeping: that of a response which can't be
 * passed on is read to its end if that comes soon, and not kept. Its bytes count in the account of the entry until it
 * is released. Made by {@link CollectedBytes#open}; confined to the event loop.
 */
public final class CollectedBody {

    /** Bytes of a body that isn't kept after which its end is not awaited. */
    public static final int MAXIMUM_DISCARDED_BYTES = 64 << 10;

    /** What is to follow bytes of a body. */
    public enum Next {
        /** The body is read on. */
        READ_ON,
        /** The rest of a body that isn't kept is not read. */
        STOP,
        /** The body is too large, by itself or with all others. */
        TOO_LARGE
    }

    private final CollectedBytes account;
    private ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    private boolean kept = true;
    private boolean released;
    private long discardedBytes;

    CollectedBody(CollectedBytes account) {
        this.account = account;
    }

    /** Keeps nothing of the body, since the response can't be passed on. Called before the first byte. */
    public void discard() {
        kept = false;
    }

    /**
     * Adds bytes.
     *
     * @param added the bytes
     * @return what is to follow; after a release that the rest is not read
     */
    public Next add(byte[] added) {
        if (released) {
            return Next.STOP;
        }
        if (!kept) {
            discardedBytes += added.length;
            return discardedBytes <= MAXIMUM_DISCARDED_BYTES ? Next.READ_ON : Next.STOP;
        }
        bytes.writeBytes(added);
        return account.add(added.length, bytes.size()) ? Next.READ_ON : Next.TOO_LARGE;
    }

    /** Returns a copy of the bytes that are kept; empty after a release. */
    public byte[] toByteArray() {
        return bytes.toByteArray();
    }

    /** Gives up the bytes. Further calls have no effect. */
    public void release() {
        if (!released) {
            released = true;
            account.remove(bytes.size());
            bytes = new ByteArrayOutputStream(0);
        }
    }
}
