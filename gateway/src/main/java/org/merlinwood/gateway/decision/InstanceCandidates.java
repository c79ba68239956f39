package org.merlinwood.gateway.decision;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.merlinwood.gateway.fleet.FleetState;
import org.merlinwood.gateway.fleet.Stage;
import org.merlinwood.gateway.fleet.UpstreamInstance;

/**
 * The instances that may get a new request, whatever their load and health: registered, neither leaving nor changing
 * their stage, and not declining requests. Confined to the event loop.
 */
final class InstanceCandidates {

    private final FleetState fleet;
    private final InstanceNotices notices;
    private Set<String> switching = Set.of();

    /**
     * Creates candidates of which none is changing its stage.
     *
     * @param fleet the registered instances
     * @param notices what instances have stated about themselves
     */
    InstanceCandidates(FleetState fleet, InstanceNotices notices) {
        this.fleet = fleet;
        this.notices = notices;
    }

    /** Sets the identifiers of the instances that are changing their stage; replaces the previous set. */
    void switching(Set<String> identifiers) {
        switching = Set.copyOf(identifiers);
    }

    /** Returns the candidates of a service, without the instances whose identifiers are excluded. */
    List<UpstreamInstance> of(String service, Stage stage, Set<String> excluded) {
        return of(service, stage, Optional.empty(), excluded);
    }

    /** Returns the candidates of one software version, or of all versions if it is empty, without excluded ones. */
    List<UpstreamInstance> of(String service, Stage stage, Optional<String> version, Set<String> excluded) {
        return registered(service, stage, version).stream()
                .filter(instance -> !switching.contains(instance.identifier()))
                .filter(instance -> !excluded.contains(instance.identifier()))
                .filter(notices::mayReceive)
                .toList();
    }

    /** Returns the version at which the requests of a session preferably begin; empty if there is only one version. */
    Optional<String> homeVersion(String service, String lastPart) {
        List<UpstreamInstance> instances = fleet.instances(service);
        boolean severalVersions =
                instances.stream().map(UpstreamInstance::version).distinct().count() > 1;
        return severalVersions ? HomeVersion.of(lastPart, instances) : Optional.empty();
    }

    /**
     * Returns the milliseconds until the first instance accepts requests again, greater than 0; empty if one accepts
     * them now or all are leaving.
     */
    OptionalLong millisUntilAccepted(String service, Stage stage, Optional<String> version) {
        OptionalLong millis = notices.millisUntilAccepted(registered(service, stage, version));
        return millis.orElse(0) > 0 ? millis : OptionalLong.empty();
    }

    /** Returns whether all instances of a stage that don't leave run other versions, and there is one at least. */
    boolean isVersionGone(String service, Stage stage, String version) {
        return registered(service, stage, Optional.of(version)).isEmpty()
                && !registered(service, stage, Optional.empty()).isEmpty();
    }

    private List<UpstreamInstance> registered(String service, Stage stage, Optional<String> version) {
        return fleet.instances(service).stream()
                .filter(instance -> instance.stage() == stage && !instance.leaving())
                .filter(instance -> version.isEmpty() || version.get().equals(instance.version()))
                .toList();
    }
}
