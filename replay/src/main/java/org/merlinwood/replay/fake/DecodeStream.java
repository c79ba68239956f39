package org.merlinwood.replay.fake;

/** Receives the events of one stream from a fake decode engine. */
public interface DecodeStream {

    /**
     * Called when a token has been generated.
     *
     * @param nowMicros virtual time, in microseconds
     * @return true if the engine is to generate more tokens
     */
    boolean token(long nowMicros);

    /** Called when the KV cache was evicted before its transfer began. The grant has been released. */
    void cacheMissing();

    /** Called when the decode instance has failed. */
    void lost();
}
