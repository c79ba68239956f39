package org.merlinwood.gateway.process;

import com.sun.management.UnixOperatingSystemMXBean;
import java.lang.management.ManagementFactory;
import org.merlinwood.gateway.front.ConnectionBound;

/** Reads the limits of this process. Stateless. */
final class ProcessLimits {

    private ProcessLimits() {}

    /** Returns the number of callers' connections that this process may have. */
    static int callerConnections() {
        long heapBytes = Runtime.getRuntime().maxMemory();
        return ManagementFactory.getOperatingSystemMXBean() instanceof UnixOperatingSystemMXBean system
                ? ConnectionBound.of(system.getMaxFileDescriptorCount(), system.getOpenFileDescriptorCount(), heapBytes)
                : ConnectionBound.of(-1, 0, heapBytes);
    }
}
