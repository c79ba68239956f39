package org.merlinwood.replay.fake;

/** A link of limited rate that carries one transfer after the other. */
public final class Link {

    private final long bytesPerMilli;
    private long freeAtMicros;

    /**
     * Creates an idle link.
     *
     * @param bytesPerMilli its rate, in bytes a millisecond
     */
    public Link(long bytesPerMilli) {
        this.bytesPerMilli = bytesPerMilli;
    }

    /**
     * Returns the time that a transfer takes on an idle link.
     *
     * @param bytes its size
     * @return microseconds
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
