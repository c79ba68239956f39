package org.merlinwood.gateway.crash;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/** Records what is reported to it. */
public final class RecordingCrashListener implements CrashListener {

    final List<Set<Long>> blocked = new ArrayList<>();
    final List<Long> cleared = new ArrayList<>();
    final List<String> alive = new ArrayList<>();
    final List<String> crashed = new ArrayList<>();

    @Override
    public void onCrash(CrashReport.Crash crash, String reporter) {
        crashed.add(crash.instance());
    }

    @Override
    public void onConnectionLost(String instance) {
        alive.add(instance);
    }

    @Override
    public void onBlocked(Set<Long> parts, String reporter) {
        blocked.add(parts);
    }

    @Override
    public void onCleared(long part) {
        cleared.add(part);
    }
}
