package org.merlinwood.gateway.process;

import java.net.InetSocketAddress;
import java.util.Optional;
import org.merlinwood.gateway.decision.InstancePool;
import org.merlinwood.gateway.decision.VersionHistory;
import org.merlinwood.gateway.fleet.FleetState;
import org.merlinwood.gateway.fleet.UpstreamInstance;
import org.merlinwood.gateway.follow.StoreChange;
import org.merlinwood.gateway.follow.StoreListener;
import org.merlinwood.gateway.follow.StorePosition;
import org.merlinwood.gateway.follow.StoreProtocol;
import org.merlinwood.gateway.route.RouteTable;
import org.merlinwood.operation.log.DecisionLog;

/**
 * Applies changes of the configuration store to the routes and the registered instances, with a log line for each.
 * Confined to the event loop.
 */
final class FleetUpdates implements StoreListener {

    private final StoreProtocol storeProtocol;
    private final FleetState fleet;
    private final InstancePool pool;
    private final VersionHistory versionHistory;
    private final InetSocketAddress ownAddress;
    private final DecisionLog log;

    /**
     * Creates the listener of one entry.
     *
     * @param storeProtocol decodes keys and values
     * @param fleet routes and registered instances, which are changed
     * @param pool forgets instances that are removed
     * @param versionHistory records the software versions of the instances
     * @param ownAddress where this entry accepts callers; a registration with it names no instance, since requests
     *     would come back without end
     * @param log receives one line for each change
     */
    FleetUpdates(
            StoreProtocol storeProtocol,
            FleetState fleet,
            InstancePool pool,
            VersionHistory versionHistory,
            InetSocketAddress ownAddress,
            DecisionLog log) {
        this.storeProtocol = storeProtocol;
        this.fleet = fleet;
        this.pool = pool;
        this.versionHistory = versionHistory;
        this.ownAddress = ownAddress;
        this.log = log;
    }

    @Override
    public void onChange(StoreChange change) {
        if (storeProtocol.isConfiguration(change.key())) {
            change.value().flatMap(storeProtocol::readRoutes).ifPresent(this::replaceRoutes);
            return;
        }
        Optional<UpstreamInstance> instance = readInstance(change);
        if (instance.isPresent()) {
            put(instance.get(), change.position());
        } else {
            remove(change);
        }
    }

    private Optional<UpstreamInstance> readInstance(StoreChange change) {
        return change.value()
                .flatMap(value -> storeProtocol.readInstance(change.key(), value))
                .filter(instance -> !instance.address().equals(ownAddress))
                .map(fleet::withKnownStart);
    }

    private void replaceRoutes(RouteTable routes) {
        boolean replaced = fleet.replaceRoutes(routes);
        log.line(replaced ? "routes in force" : "older routes left out")
                .with("version", routes.version())
                .with("hosts", routes.routesByHost().size())
                .write();
    }

    private void put(UpstreamInstance instance, StorePosition position) {
        Optional<UpstreamInstance> previous = fleet.put(instance);
        versionHistory.onRegistered(instance);
        previous.ifPresent(versionHistory::onRegistrationEnded);
        if (!previous.equals(Optional.of(instance))) {
            log.line("instance registered")
                    .with("instance", instance.identifier())
                    .with("service", instance.service())
                    .with("address", instance.address().toString())
                    .with("stage", instance.stage().name())
                    .with("version", instance.version())
                    .with("leaving", String.valueOf(instance.leaving()))
                    .with("revision", position.revision())
                    .with("era", position.era())
                    .write();
        }
    }

    private void remove(StoreChange change) {
        storeProtocol.instanceIdentifier(change.key()).flatMap(fleet::remove).ifPresent(removed -> {
            pool.remove(removed.identifier());
            pool.notices().onRemoved(removed);
            versionHistory.onRegistrationEnded(removed);
            log.line("instance gone")
                    .with("instance", removed.identifier())
                    .with("revision", change.position().revision())
                    .with("era", change.position().era())
                    .write();
        });
    }

    @Override
    public boolean revives(StoreChange change) {
        Optional<UpstreamInstance> instance = readInstance(change);
        return instance.filter(changed -> !changed.leaving())
                .flatMap(changed -> fleet.find(changed.identifier())
                        .filter(UpstreamInstance::leaving)
                        .filter(known -> known.startedUnixMillis() == changed.startedUnixMillis()))
                .isPresent();
    }

    @Override
    public void onRestored(long previousEra, long era) {
        log.line("store restored")
                .with("previousEra", previousEra)
                .with("era", era)
                .write();
    }

    @Override
    public void onReachable(boolean reachable, String reason) {
        log.line(reachable ? "store regained" : "store lost")
                .with("reason", reason)
                .write();
    }
}
