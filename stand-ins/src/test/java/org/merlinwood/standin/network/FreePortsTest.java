package org.merlinwood.standin.network;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;

final class FreePortsTest {

    private static final int OBJECTS = 20;
    private static final int PORTS = 200;

    /** Guards against two test runs that find the same port free and bind it later. */
    @Test
    void noTwoObjectsReturnTheSamePort() {
        Set<Integer> returned = new HashSet<>();
        FreePorts[] objects = new FreePorts[OBJECTS];
        for (int index = 0; index < OBJECTS; index++) {
            objects[index] = new FreePorts();
            for (int port = 0; port < PORTS; port++) {
                assertThat(returned.add(objects[index].next().getPort())).isTrue();
            }
        }
        for (FreePorts ports : objects) {
            ports.close();
        }
    }

    /** Guards against a port that another program listens on. */
    @Test
    void boundPortIsLeftOut() throws IOException {
        try (FreePorts ports = new FreePorts();
                ServerSocket bound = new ServerSocket()) {
            bound.bind(new InetSocketAddress(
                    ports.next().getAddress(), ports.next().getPort() + 1));
            assertThat(ports.next().getPort()).isNotEqualTo(bound.getLocalPort());
        }
    }

    /** Guards against a claim that holds no longer than the search. */
    @Test
    void blockIsHeldUntilClosed() throws IOException {
        FreePorts ports = new FreePorts();
        InetSocketAddress first = ports.next();
        InetSocketAddress claim = new InetSocketAddress(first.getAddress(), blockStart(first.getPort()));
        try (ServerSocket other = new ServerSocket()) {
            assertThatThrownBy(() -> other.bind(claim)).isInstanceOf(BindException.class);
        }
        ports.close();
        try (ServerSocket other = new ServerSocket()) {
            other.bind(claim);
            assertThat(other.isBound()).isTrue();
        }
    }

    private static int blockStart(int port) {
        return port - port % 50;
    }
}
