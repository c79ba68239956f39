package org.merlinwood.proving.soak;

/** The kinds of fault that the soak injects. Printed by name. */
enum FaultKind {
    /** Kills an entry; it is restarted at the end of the fault. */
    ENTRY_KILLED(Target.ENTRY),
    /** Suspends the process of an entry until the end of the fault. */
    ENTRY_PAUSED(Target.ENTRY),
    /** Asks an entry to drain and exit; it is restarted at the end of the fault. */
    ENTRY_LEAVES(Target.ENTRY),
    /** Makes an entry reload its settings. */
    ENTRY_RELOADS(Target.ENTRY),
    /** An instance loses all runs and is unreachable until the end of the fault. */
    INSTANCE_CRASHES(Target.INSTANCE),
    /** No bytes pass between entries and an instance in either direction. */
    INSTANCE_SILENT(Target.INSTANCE),
    /** Bytes pass from an instance to the entries, but not to it. */
    INSTANCE_DEAF(Target.INSTANCE),
    /** Bytes pass to an instance, but not back to the entries. */
    INSTANCE_MUTE(Target.INSTANCE),
    /** All connections to an instance are reset, including new ones. */
    INSTANCE_RESET(Target.INSTANCE),
    /** Bytes to and from an instance are delayed. */
    INSTANCE_DELAYED(Target.INSTANCE),
    /**
     * An instance is registered as leaving and states so in its responses; its successor is ready at the end of the
     * fault.
     */
    INSTANCE_LEAVES(Target.INSTANCE),
    /** No bytes pass on connections to the store. */
    STORE_SILENT(Target.STORE),
    /** All connections to the store are reset. */
    STORE_RESET(Target.STORE),
    /** Publishes the same configuration under a new version. */
    CONFIGURATION_CHANGES(Target.STORE),
    /** An instance declines all requests until the end of the fault, and names the time. */
    INSTANCE_DECLINES(Target.INSTANCE),
    /** An instance responds to every request with a body that has no end, until the end of the fault. */
    INSTANCE_ENDLESS(Target.INSTANCE),
    /** The store is restored from a backup; what it lost is written again at the end of the fault. */
    STORE_RESTORED(Target.STORE),
    /** Requests come whose prompts share a part that crashes each instance about to begin a response to one. */
    CRASHING_PART(Target.LOAD);

    /** The part of the deployment, or of its load, that a fault affects. */
    enum Target {
        ENTRY,
        INSTANCE,
        STORE,
        LOAD
    }

    private final Target target;

    FaultKind(Target target) {
        this.target = target;
    }

    Target target() {
        return target;
    }
}
