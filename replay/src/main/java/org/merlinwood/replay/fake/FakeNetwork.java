package org.merlinwood.replay.fake;

import org.merlinwood.decision.placement.LoadObservation;

/** Delivers messages and failure notifications between entries and sidecars with fixed delays. Stateless. */
final class FakeNetwork {

    private static final long ONE_WAY_MICROS = 1_000;
    private static final long CONNECT_TIMEOUT_MICROS = 250_000;
    private static final long HEARTBEAT_TIMEOUT_MICROS = 1_000_000;

    private FakeNetwork() {}

    static void send(VirtualTime time, Runnable arrival) {
        time.after(ONE_WAY_MICROS, arrival);
    }

    static void grant(VirtualTime time, PendingGrantRequest request, LoadObservation load) {
        if (request.close()) {
            request.listener().granted(load);
        }
    }

    static void refuse(VirtualTime time, PendingGrantRequest request, LoadObservation load) {
        if (request.close()) {
            send(time, () -> request.listener().refused(load));
        }
    }

    static void notifyUnreachable(VirtualTime time, PendingGrantRequest request) {
        time.after(CONNECT_TIMEOUT_MICROS, () -> {
            if (request.close()) {
                request.listener().unreachable();
            }
        });
    }

    static void notifyLost(VirtualTime time, Runnable listener) {
        time.after(HEARTBEAT_TIMEOUT_MICROS, listener);
    }
}
