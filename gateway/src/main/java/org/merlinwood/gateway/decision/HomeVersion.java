package org.merlinwood.gateway.decision;

import java.util.List;
import java.util.Optional;
import org.merlinwood.gateway.fleet.Stage;
import org.merlinwood.gateway.fleet.UpstreamInstance;

/**
 * The software version at which the requests of a session preferably begin: that of the instance which ranks first for
 * the last part of their prompts.
 *
 * <p>All entries compute the same one, also those that have just started. So the instances of one version hold the
 * prompts of a session, and tell the version that began a stream of it when no entry knows that any more. A version is
 * home to as many sessions as it has instances, and a session moves only if the instance that ranked first has gone or
 * a new one ranks higher. Stateless.
 */
public final class HomeVersion {

    private HomeVersion() {}

    /**
     * Returns the home version of a session.
     *
     * @param lastPart identifier of the last part of its prompts
     * @param instances the registered instances of its service
     * @return the version, or empty if no instance that stays generates responses
     */
    public static Optional<String> of(String lastPart, List<UpstreamInstance> instances) {
        return instances.stream()
                .filter(instance -> instance.stage() == Stage.DECODE && !instance.leaving())
                .max(RendezvousRanking.order(lastPart, UpstreamInstance::identifier))
                .map(UpstreamInstance::version);
    }
}
