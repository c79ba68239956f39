package org.merlinwood.gateway.process;

import org.merlinwood.gateway.follow.StoreFollower;
import org.merlinwood.operation.port.StateSection;

/** Section of the state dump that shows what the entry knows of the configuration store. Confined to the event loop. */
final class StoreSection implements StateSection {

    private final StoreFollower follower;

    StoreSection(StoreFollower follower) {
        this.follower = follower;
    }

    /**
     * State of the section.
     *
     * @param era highest era that the store or a peer has reported
     * @param appliedEra era of the position up to which all changes are applied; lower than {@code era} until the
     *     restored store has been read completely
     * @param appliedRevision revision of that position
     */
    record State(long era, long appliedEra, long appliedRevision) {}

    @Override
    public String name() {
        return "store";
    }

    @Override
    public State state() {
        return new State(
                follower.era(), follower.position().era(), follower.position().revision());
    }
}
