package org.merlinwood.standin.engine;

import java.util.List;

/**
 * How an engine behaves. Immutable; made by {@link #builder()}.
 *
 * @param role {@code PREFILL} or {@code DECODE}, until an order changes it
 * @param models models loaded at the start
 * @param pieces memory in pieces of 2,000 tokens
 * @param stepBaseMillis time of one step without streams, in milliseconds
 * @param stepPerStreamMillis time that each running stream adds to a step, in milliseconds
 * @param prefillTokensPerSecond tokens that one second of prefill computes
 * @param resultMillis how long a prefill's result is kept, in milliseconds
 * @param linkBytesPerSecond rate of the link that exports KV caches, shared by all exports
 * @param cacheBytesPerToken size of the KV cache of one token, in bytes
 * @param prefixBlocks blocks that the prefix cache holds at most
 * @param eventDelayMillis how late cache events are, in milliseconds
 * @param eventGapEvery one event in so many is lost; 0 loses none
 * @param loadLagMillis how old reported load is, in milliseconds
 * @param fencingChecked whether orders with an old fencing number are refused
 * @param cancelOnDisconnect whether a stream is cancelled when its client's connection goes
 * @param crashMode what a crash does
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

    /** What a crash does. */
    public enum CrashMode {
        /** Ends the whole process. */
        HALT_PROCESS,
        /** Closes the server and all its connections; the process lives on. */
        CLOSE_SERVER
    }

    /** Copies the list. */
    public EngineOptions {
        models = List.copyOf(models);
    }

    /**
     * Creates a builder with fast defaults for tests.
     *
     * @return a new builder
     */
    public static Builder builder() {
        return new Builder();
    }

    /**
     * Returns the memory of a number of tokens.
     *
     * @param tokens tokens of prompt and answer
     * @return whole pieces, at least one
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

        /** Sets the role at the start. */
        public Builder role(String value) {
            role = value;
            return this;
        }

        /** Sets the models loaded at the start. */
        public Builder models(List<String> value) {
            models = value;
            return this;
        }

        /** Sets the memory in pieces. */
        public Builder pieces(int value) {
            pieces = value;
            return this;
        }

        /** Sets the time of a step: its base and what each stream adds, in milliseconds. */
        public Builder stepMillis(double base, double perStream) {
            stepBaseMillis = base;
            stepPerStreamMillis = perStream;
            return this;
        }

        /** Sets the rate of prefill. */
        public Builder prefillTokensPerSecond(double value) {
            prefillTokensPerSecond = value;
            return this;
        }

        /** Sets how long results of prefills are kept, in milliseconds. */
        public Builder resultMillis(long value) {
            resultMillis = value;
            return this;
        }

        /** Sets the rate of the link. */
        public Builder linkBytesPerSecond(long value) {
            linkBytesPerSecond = value;
            return this;
        }

        /** Sets the size of the KV cache of a token, in bytes. */
        public Builder cacheBytesPerToken(long value) {
            cacheBytesPerToken = value;
            return this;
        }

        /** Sets the size of the prefix cache, in blocks. */
        public Builder prefixBlocks(int value) {
            prefixBlocks = value;
            return this;
        }

        /** Sets how late cache events are and how many are lost. */
        public Builder cacheEvents(long delayMillis, int gapEvery) {
            eventDelayMillis = delayMillis;
            eventGapEvery = gapEvery;
            return this;
        }

        /** Sets how old reported load is, in milliseconds. */
        public Builder loadLagMillis(long value) {
            loadLagMillis = value;
            return this;
        }

        /** Sets whether old fencing numbers are refused. */
        public Builder fencingChecked(boolean value) {
            fencingChecked = value;
            return this;
        }

        /** Sets whether a lost connection cancels its stream. */
        public Builder cancelOnDisconnect(boolean value) {
            cancelOnDisconnect = value;
            return this;
        }

        /** Sets what a crash does. */
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
