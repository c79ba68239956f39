package org.merlinwood.gateway.follow;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Keeps what a follower tells. A key whose value is {@code leaving} would be revived by the value {@code ready}. */
final class RecordingStoreListener implements StoreListener {

    final Map<String, String> values = new TreeMap<>();
    final List<Boolean> reachable = new ArrayList<>();

    /** The restores, each as {@code ERA to ERA}. */
    final List<String> restores = new ArrayList<>();

    /** Key whose changes can't be applied. */
    String throwOn = "";

    @Override
    public void onChange(StoreChange change) {
        if (change.key().equals(throwOn)) {
            throw new IllegalStateException("thrown by the test");
        }
        change.value()
                .ifPresentOrElse(
                        value -> values.put(change.key(), new String(value, StandardCharsets.UTF_8)),
                        () -> values.remove(change.key()));
    }

    @Override
    public boolean revives(StoreChange change) {
        return "leaving".equals(values.get(change.key()))
                && change.value()
                        .filter(value -> new String(value, StandardCharsets.UTF_8).equals("ready"))
                        .isPresent();
    }

    @Override
    public void onRestored(long previousEra, long era) {
        restores.add(previousEra + " to " + era);
    }

    @Override
    public void onReachable(boolean nowReachable, String reason) {
        reachable.add(nowReachable);
    }
}
