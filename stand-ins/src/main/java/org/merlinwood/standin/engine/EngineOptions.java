package org.merlinwood.standin.engine;

import java.util.List;

/**
 * Options of a model engine. Immutable; created by {@link #builder()}.
 *
 * @param role initial role, {@code PREFILL} or {@code DECODE}; orders can change it
 * @param models models loaded at startup, as {@code NAME} or {@code NAME:VERSION}
 * @param pieces memory in pieces of 2,000 tokens
 * @param stepBaseMillis base duration of a decode step, in milliseconds
 * @param stepPerStreamMillis time that each running stream adds to a step, in milliseconds
 * @param prefillTokensPerSecond prefill rate, in tokens per second
 * @param resultMillis how long the result of a prefill is retained, in milliseconds
 * @param linkBytesPerSecond rate of the link that all exports of KV caches share, in bytes per second
 * @param cacheBytesPerToken size of the KV cache of one token, in bytes
 * @param prefixBlocks capacity of the prefix cache, in blocks
 * @param eventDelayMillis delay until a cache event becomes visible, in milliseconds
 * @param eventGapEvery every event whose sequence number is a multiple of this is lost; 0 loses none
 * @param loadLagMillis delay of the reported load, in milliseconds
 * @param fencingChecked whether orders with an old fencing number are refused
 * @param cancelOnDisconnect whether a stream is cancelled when its client disconnects
 * @param crashMode effect of a crash
 */
public record EngineOptions(
        String role,
        List<String> models,
        int pieces,
        double stepBaseMillis,
        double stepPerStreamMillis,
        double prefillTokensPerSecond,
        long resultMillis,
        long linkBytesPerSecond,
        long cacheBytesPerToken,
        int prefixBlocks,
        long eventDelayMillis,
        int eventGapEvery,
        long loadLagMillis,
        boolean fencingChecked,
        boolean cancelOnDisconnect,
        CrashMode crashMode) {

    /** Tokens that one piece of memory holds. */
    public static final int PIECE_TOKENS = 2_000;

    /** Effect of a crash. */
    public enum CrashMode {
        /** Halts the process. */
        HALT_PROCESS,
        /** Closes the server and all its connections; the process keeps running. */
        CLOSE_SERVER
    }

    /** Copies the list of models, so that the record is immutable. */
    public EngineOptions {
        models = List.copyOf(models);
    }

    /**
     * Creates a builder whose defaults make tests fast.
     *
     * @return a new builder
     */
    public static Builder builder() {
        return new Builder();
    }

    /**
     * Returns the memory that a number of tokens needs.
     *
     * @param tokens tokens of prompt and response
     * @return pieces, rounded up; at least one
     */
    public static int piecesOf(long tokens) {
        return (int) Math.max(1, Math.ceilDiv(tokens, PIECE_TOKENS));
    }

    /** Collects options. Not thread-safe. */
    public static final class Builder {

        private String role = "DECODE";
        private List<String> models = List.of();
        private int pieces = 20;
        private double stepBaseMillis = 2;
        private double stepPerStreamMillis = 0.1;
        private double prefillTokensPerSecond = 50_000;
        private long resultMillis = 900;
        private long linkBytesPerSecond = 50L << 20;
        private long cacheBytesPerToken = 256;
        private int prefixBlocks = 1_024;
        private long eventDelayMillis = 100;
        private int eventGapEvery;
        private long loadLagMillis = 200;
        private boolean fencingChecked = true;
        private boolean cancelOnDisconnect;
        private CrashMode crashMode = CrashMode.CLOSE_SERVER;

        private Builder() {}

        /** Sets the initial role. */
        public Builder role(String value) {
            role = value;
            return this;
        }

        /** Sets the models loaded at startup. */
        public Builder models(List<String> value) {
            models = value;
            return this;
        }

        /** Sets the memory, in pieces. */
        public Builder pieces(int value) {
            pieces = value;
            return this;
        }

        /** Sets the base duration of a step and the time that each stream adds, in milliseconds. */
        public Builder stepMillis(double base, double perStream) {
            stepBaseMillis = base;
            stepPerStreamMillis = perStream;
            return this;
        }

        /** Sets the prefill rate, in tokens per second. */
        public Builder prefillTokensPerSecond(double value) {
            prefillTokensPerSecond = value;
            return this;
        }

        /** Sets how long results of prefills are retained, in milliseconds. */
        public Builder resultMillis(long value) {
            resultMillis = value;
            return this;
        }

        /** Sets the rate of the shared export link, in bytes per second. */
        public Builder linkBytesPerSecond(long value) {
            linkBytesPerSecond = value;
            return this;
        }

        /** Sets the size of the KV cache of one token, in bytes. */
        public Builder cacheBytesPerToken(long value) {
            cacheBytesPerToken = value;
            return this;
        }

        /** Sets the capacity of the prefix cache, in blocks. */
        public Builder prefixBlocks(int value) {
            prefixBlocks = value;
            return this;
        }

        /** Sets the delay of cache events in milliseconds, and which ones are lost: every Nth, none for 0. */
        public Builder cacheEvents(long delayMillis, int gapEvery) {
            eventDelayMillis = delayMillis;
            eventGapEvery = gapEvery;
            return this;
        }

        /** Sets the delay of the reported load, in milliseconds. */
        public Builder loadLagMillis(long value) {
            loadLagMillis = value;
            return this;
        }

        /** Sets whether orders with old fencing numbers are refused. */
        public Builder fencingChecked(boolean value) {
            fencingChecked = value;
            return this;
        }

        /** Sets whether a disconnect of the client cancels its stream. */
        public Builder cancelOnDisconnect(boolean value) {
            cancelOnDisconnect = value;
            return this;
        }

        /** Sets the effect of a crash. */
        public Builder crashMode(CrashMode value) {
            crashMode = value;
            return this;
        }

        /**
         * Builds the options.
         *
         * @return immutable options
         */
        public EngineOptions build() {
            return new EngineOptions(
                    role,
                    models,
                    pieces,
                    stepBaseMillis,
                    stepPerStreamMillis,
                    prefillTokensPerSecond,
                    resultMillis,
                    linkBytesPerSecond,
                    cacheBytesPerToken,
                    prefixBlocks,
                    eventDelayMillis,
                    eventGapEvery,
                    loadLagMillis,
                    fencingChecked,
                    cancelOnDisconnect,
                    crashMode);
        }
    }
}
