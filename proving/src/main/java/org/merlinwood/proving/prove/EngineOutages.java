package org.merlinwood.proving.prove;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.merlinwood.core.time.SystemMillisClock;
import org.merlinwood.proving.fleet.FleetProbe;
import org.merlinwood.proving.fleet.Sidecar;

/**
 * The times during which engines did not serve, as repeated observations show them. Not thread-safe: used by one
 * thread.
 */
final class EngineOutages {

    private final Map<String, Long> downSinceMillis = new LinkedHashMap<>();
    private final List<String> outages = new ArrayList<>();

    /** Asks each engine whether it serves. */
    void observe(ProofContext context) {
        FleetProbe probe = context.fleet().probe();
        context.fleet()
                .sidecars()
                .forEach(sidecar ->
                        record(sidecar, probe.answers(sidecar.upstream().address())));
    }

    /** Describes all outages seen so far, with wall times in milliseconds; one without an end still lasts. */
    List<String> describe() {
        List<String> all = new ArrayList<>(outages);
        downSinceMillis.forEach((engine, sinceMillis) -> all.add(engine + " is down since " + sinceMillis));
        return all;
    }

    private void record(Sidecar sidecar, boolean serves) {
        long nowMillis = SystemMillisClock.shared().wallMillis();
        String engine = sidecar.upstream().name();
        if (!serves) {
            downSinceMillis.putIfAbsent(engine, nowMillis);
            return;
        }
        Long sinceMillis = downSinceMillis.remove(engine);
        if (sinceMillis != null) {
            outages.add("%s was down from %d to %d, %d ms"
                    .formatted(engine, sinceMillis, nowMillis, nowMillis - sinceMillis));
        }
    }
}
