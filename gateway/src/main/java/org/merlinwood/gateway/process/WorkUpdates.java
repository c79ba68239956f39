package org.merlinwood.gateway.process;

import java.util.List;
import java.util.function.Consumer;
import org.merlinwood.gateway.decision.EntryStatus;
import org.merlinwood.gateway.decision.SharedWork;
import org.merlinwood.gateway.loop.EventLoop;

/**
 * Tells the other entries of each change of the work of this entry at once: a prompt is computed in a third of the time
 * between two status messages of a large fleet, so that these alone would never mention most prompts. Changes within
 * {@link #BATCH_MILLIS} go into one message. Confined to the event loop.
 */
final class WorkUpdates {

    /** Time for which changes are collected, in milliseconds: little beside the time of a prompt. */
    private static final long BATCH_MILLIS = 5;

    private final SharedWork sharedWork;
    private final Consumer<List<EntryStatus.InstanceWork>> sender;

    private WorkUpdates(SharedWork sharedWork, Consumer<List<EntryStatus.InstanceWork>> sender) {
        this.sharedWork = sharedWork;
        this.sender = sender;
    }

    /** Sends every change of the work from now on. */
    static void start(SharedWork sharedWork, EventLoop loop, Consumer<List<EntryStatus.InstanceWork>> sender) {
        WorkUpdates updates = new WorkUpdates(sharedWork, sender);
        sharedWork.onChange(() -> loop.schedule(BATCH_MILLIS, updates::send));
    }

    private void send() {
        sender.accept(sharedWork.takeChanges());
    }
}
