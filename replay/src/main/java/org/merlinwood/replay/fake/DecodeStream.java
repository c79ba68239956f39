package org.merlinwood.replay.fake;

/** What a fake decode engine tells about one stream. */
public interface DecodeStream {

    /**
     * A token was generated.
     *
     * @param nowMicros virtual microseconds
     * @return true if more tokens are wanted
     */
    boolean token(long nowMicros);

    /** The KV cache was evicted before its transfer began; the grant is released. */
    void cacheMissing();

    /** The instance ended. */
    void lost();
}
