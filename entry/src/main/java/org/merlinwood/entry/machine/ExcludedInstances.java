package org.merlinwood.entry.machine;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.merlinwood.configuration.inventory.InstanceRole;
import org.merlinwood.core.identity.InstanceName;

/** The instances that a model request does not try again. Not thread-safe: used by one state machine. */
final class ExcludedInstances {

    private final Set<InstanceName> decodes = new HashSet<>();
    private final Set<InstanceName> prefills = new HashSet<>();
    private Optional<InstanceName> lastFailedDecode = Optional.empty();

    /**
     * Returns the excluded instances of one role: prefill instances for {@code PREFILL}, otherwise decode instances.
     */
    Set<InstanceName> of(InstanceRole role) {
        return role == InstanceRole.PREFILL ? prefills : decodes;
    }

    /** Excludes an instance from further attempts of one role. */
    void exclude(InstanceRole role, InstanceName name) {
        of(role).add(name);
    }

    /** Clears all exclusions, since instances that were full when the request started may have capacity now. */
    void clear() {
        decodes.clear();
        prefills.clear();
    }

    /** Clears all exclusions but that of the decode instance whose engine failed last. */
    void clearExceptLastFailed() {
        clear();
        lastFailedDecode.ifPresent(decodes::add);
    }

    /**
     * Excludes a decode instance that ended a response early.
     *
     * @param isEngineFailure false if only the connection ended, which says nothing about the engine
     */
    void excludeFailedDecode(InstanceName name, boolean isEngineFailure) {
        decodes.add(name);
        lastFailedDecode = Optional.of(name).filter(instance -> isEngineFailure);
    }
}
