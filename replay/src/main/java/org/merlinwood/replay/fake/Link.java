package org.merlinwood.replay.fake;

/** A network link of limited rate that carries one transfer at a time. Not thread-safe. */
public final class Link {

    private final long bytesPerMilli;
    private long freeAtMicros;

    /**
     * Creates an idle link.
     *
     * @param bytesPerMilli rate of the link, in bytes per millisecond
     */
    public Link(long bytesPerMilli) {
        this.bytesPerMilli = bytesPerMilli;
    }

    /**
     * Returns the duration of a transfer on an idle link.
     *
     * @param bytes size of the transfer, in bytes
     * @return the duration, in microseconds
     */
    public long micros(long bytes) {
        return bytes * 1_000 / bytesPerMilli;
    }

    long freeAtMicros() {
        return freeAtMicros;
    }

    void occupyUntil(long micros) {
        freeAtMicros = micros;
    }

    long backlogMicros(long nowMicros) {
        return Math.max(0, freeAtMicros - nowMicros);
    }
}
