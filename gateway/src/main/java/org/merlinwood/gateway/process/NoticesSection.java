package org.merlinwood.gateway.process;

import java.util.List;
import org.merlinwood.gateway.decision.InstanceNotices;
import org.merlinwood.operation.port.StateSection;

/**
 * Section of the state dump that shows which instances get no request because of what they stated themselves. Confined
 * to the event loop.
 */
final class NoticesSection implements StateSection {

    private final InstanceNotices notices;

    NoticesSection(InstanceNotices notices) {
        this.notices = notices;
    }

    /**
     * State of the section.
     *
     * @param leaving starts that are known to leave
     * @param declining instances that want no request now
     */
    record State(List<InstanceNotices.Leaving> leaving, List<InstanceNotices.Declining> declining) {}

    @Override
    public String name() {
        return "instanceNotices";
    }

    @Override
    public State state() {
        return new State(notices.leaving(), notices.declining());
    }
}
