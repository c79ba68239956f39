package org.merlinwood.proving.soak;

/** What the soak does to its deployment from outside. */
enum FaultKind {
    /** An entry is killed and started again at the end. */
    ENTRY_KILLED(Target.ENTRY),
    /** An entry is paused until the end. */
    ENTRY_PAUSED(Target.ENTRY),
    /** An entry is asked to leave, and started again at the end. */
    ENTRY_LEAVES(Target.ENTRY),
    /** An entry is asked to read its settings again. */
    ENTRY_RELOADS(Target.ENTRY),
    /** An instance loses all runs and is unreachable until the end. */
    INSTANCE_CRASHES(Target.INSTANCE),
    /** No bytes pass either way between entries and an instance. */
    INSTANCE_SILENT(Target.INSTANCE),
    /** Bytes pass from an instance, but not to it. */
    INSTANCE_DEAF(Target.INSTANCE),
    /** Bytes pass to an instance, but not from it. */
    INSTANCE_MUTE(Target.INSTANCE),
    /** All connections to an instance are reset, new ones too. */
    INSTANCE_RESET(Target.INSTANCE),
    /** Bytes to and from an instance take longer. */
    INSTANCE_DELAYED(Target.INSTANCE),
    /** An instance is registered as leaving, and as ready again at the end. */
    INSTANCE_LEAVES(Target.INSTANCE),
    /** The store's connections are silent. */
    STORE_SILENT(Target.STORE),
    /** The store's connections are reset. */
    STORE_RESET(Target.STORE),
    /** The operator publishes the configuration again, as a newer version. */
    CONFIGURATION_CHANGES(Target.STORE);

    /** What a fault is about. */
    enum Target {
        ENTRY,
        INSTANCE,
        STORE
    }

    private final Target target;

    FaultKind(Target target) {
        this.target = target;
    }

    Target target() {
        return target;
    }
}
