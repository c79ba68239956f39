package org.merlinwood.standin.engine.impl;

/** Names of the kinds of work, as the interface of the engine spells them. */
public final class EngineKinds {

    /** Computing the KV cache of a prompt. */
    public static final String PREFILL = "prefill";

    /** Producing tokens. */
    public static final String DECODE = "decode";

    private EngineKinds() {}
}
