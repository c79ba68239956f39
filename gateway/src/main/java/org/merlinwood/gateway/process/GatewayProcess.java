package org.merlinwood.gateway.process;

import io.vavr.control.Either;
import java.io.UncheckedIOException;
import org.merlinwood.gateway.decision.DrainPolicy;
import org.merlinwood.gateway.follow.StoreProtocol;
import org.merlinwood.gateway.request.CallerProtocol;
import org.merlinwood.gateway.upstream.UpstreamProtocol;

/**
 * An entry: serves callers and drains on termination.
 *
 * <p>Started once and drained once. All work except the network I/O of the sessions with peers runs on one I/O thread.
 */
public final class GatewayProcess implements AutoCloseable {

    private final GatewaySettings settings;
    private final EntryComposition entry;

    /**
     * Creates all components. Nothing listens before {@link #start()}.
     *
     * @param settings validated settings
     * @param callerProtocol decodes requests of callers
     * @param upstreamProtocol encodes requests to upstreams and decodes their responses
     * @param storeProtocol encodes requests to the configuration store and decodes its responses
     * @throws UncheckedIOException if the I/O thread cannot be started
     */
    public GatewayProcess(
            GatewaySettings settings,
            CallerProtocol callerProtocol,
            UpstreamProtocol upstreamProtocol,
            StoreProtocol storeProtocol) {
        this.settings = settings;
        this.entry = new EntryComposition(settings, callerProtocol, upstreamProtocol, storeProtocol);
    }

    /** Starts to listen, to read the configuration store and to connect to other entries. Call once. */
    public void start() {
        entry.operatorServer.start();
        entry.callerListener.start();
        entry.loop.execute(entry.follower::start);
        entry.peers.start();
        entry.log
                .line("start")
                .with("callers", settings.callerAddress().toString())
                .with("store", settings.storeAddress().toString())
                .write();
    }

    /**
     * Applies changed settings. New seeds take effect immediately, all other changes require a restart. May be called
     * on any thread.
     *
     * @param changed the settings, or an error message, in which case the current settings stay in effect
     */
    public void reload(Either<String, GatewaySettings> changed) {
        entry.loop.execute(() -> {
            changed.forEach(valid -> entry.peers.addAddresses(valid.seeds()));
            entry.log
                    .line("reload")
                    .with("outcome", changed.fold(problem -> problem, valid -> "seeds applied"))
                    .write();
        });
    }

    /**
     * Starts to drain: reports not ready, completes open requests, then exits. Further calls have no effect. May be
     * called on any thread.
     *
     * @param exit ends the process; called on the event loop when {@link DrainPolicy} allows it
     */
    public void drain(Runnable exit) {
        entry.loop.execute(() -> entry.drainSequence.start(exit));
    }

    /** Stops immediately without draining. For processes that contain more than one entry, such as tests. */
    @Override
    public void close() {
        entry.peers.close();
        entry.callerListener.close();
        entry.operatorServer.stop();
        entry.worker.shutdownNow();
    }
}
