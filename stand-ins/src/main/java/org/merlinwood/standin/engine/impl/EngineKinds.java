package org.merlinwood.standin.engine.impl;

/** Kinds of work, as spelled in the engine's interface. */
public final class EngineKinds {

    /** Computes the KV cache of a prompt. */
    public static final String PREFILL = "prefill";

    /** Generates tokens. */
    public static final String DECODE = "decode";

    private EngineKinds() {}
}
