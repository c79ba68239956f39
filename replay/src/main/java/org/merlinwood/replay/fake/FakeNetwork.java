package org.merlinwood.replay.fake;

import org.merlinwood.decision.placement.LoadObservation;

/** Delays between entries and sidecars. */
final class FakeNetwork {

    private static final long ONE_WAY_MICROS = 1_000;
    private static final long CONNECT_TIMEOUT_MICROS = 250_000;
    private static final long HEARTBEAT_TIMEOUT_MICROS = 1_000_000;

    private FakeNetwork() {}

    static void send(VirtualTime time, Runnable arrival) {
        time.after(ONE_WAY_MICROS, arrival);
    }

    static void grant(VirtualTime time, Ask ask, LoadObservation load) {
        if (ask.close()) {
            ask.listener().granted(load);
        }
    }

    static void refuse(VirtualTime time, Ask ask, LoadObservation load) {
        if (ask.close()) {
            send(time, () -> ask.listener().refused(load));
        }
    }

    static void silence(VirtualTime time, Ask ask) {
        time.after(CONNECT_TIMEOUT_MICROS, () -> {
            if (ask.close()) {
                ask.listener().unreachable();
            }
        });
    }

    static void broken(VirtualTime time, Runnable listener) {
        time.after(HEARTBEAT_TIMEOUT_MICROS, listener);
    }
}
