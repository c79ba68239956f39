package org.merlinwood.standin.network;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.merlinwood.standin.HttpTestClient;

final class ForwarderTest {

    private static final int TIMEOUT_MILLIS = 20_000;
    private static final int SILENT_READ_TIMEOUT_MILLIS = 100;

    private final HttpTestClient client = new HttpTestClient();
    private ServerSocket target;
    private Forwarder forwarder;

    @BeforeEach
    void start() throws IOException {
        target = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
        Thread.ofVirtual().start(this::echoAll);
        forwarder = new Forwarder(
                Addresses.anyLoopback(), Addresses.anyLoopback(), (InetSocketAddress) target.getLocalSocketAddress());
    }

    @AfterEach
    void stop() throws IOException {
        forwarder.close();
        target.close();
        client.close();
    }

    @ParameterizedTest
    @EnumSource(
            value = ForwardingMode.class,
            names = {"PASS", "DELAY"})
    void forwardsInBothDirections(ForwardingMode mode) throws Exception {
        forwarder.mode(mode, ForwardingDirection.BOTH, 5);
        try (Socket socket = connect()) {
            assertThat(writeAndReadEcho(socket)).isEqualTo(7);
        }
    }

    @Test
    void dropsConnections() throws Exception {
        Socket socket = connect();
        assertThat(writeAndReadEcho(socket)).isEqualTo(7);
        client.post(forwarder.administrationAddress(), "/mode?mode=drop", "");
        assertThat(isClosedByPeer(socket)).isTrue();
        assertThat(isClosedByPeer(connect())).isTrue();
    }

    @ParameterizedTest
    @EnumSource(ForwardingDirection.class)
    void silencesExistingConnectionsWhileNewOnesWork(ForwardingDirection direction) throws Exception {
        try (Socket existing = connect()) {
            assertThat(writeAndReadEcho(existing)).isEqualTo(7);
            forwarder.mode(ForwardingMode.SILENT_EXISTING, direction, 0);
            existing.setSoTimeout(SILENT_READ_TIMEOUT_MILLIS);
            assertThatThrownBy(() -> writeAndReadEcho(existing)).isInstanceOf(SocketTimeoutException.class);
            try (Socket fresh = connect()) {
                assertThat(writeAndReadEcho(fresh)).isEqualTo(7);
            }
        }
    }

    @Test
    void silencesNewConnectionsToo() throws Exception {
        forwarder.mode(ForwardingMode.SILENT, ForwardingDirection.BOTH, 0);
        try (Socket socket = connect()) {
            socket.setSoTimeout(SILENT_READ_TIMEOUT_MILLIS);
            assertThatThrownBy(() -> writeAndReadEcho(socket)).isInstanceOf(SocketTimeoutException.class);
        }
    }

    private Socket connect() throws IOException {
        Socket socket =
                new Socket(forwarder.address().getAddress(), forwarder.address().getPort());
        socket.setSoTimeout(TIMEOUT_MILLIS);
        return socket;
    }

    private static int writeAndReadEcho(Socket socket) throws IOException {
        socket.getOutputStream().write(7);
        return socket.getInputStream().read();
    }

    private static boolean isClosedByPeer(Socket socket) {
        try (socket) {
            return socket.getInputStream().read() < 0;
        } catch (IOException exception) {
            return true;
        }
    }

    private void echoAll() {
        while (!target.isClosed()) {
            try {
                Socket socket = target.accept();
                Thread.ofVirtual().start(() -> echo(socket));
            } catch (IOException exception) {
                return;
            }
        }
    }

    private static void echo(Socket socket) {
        try (socket) {
            socket.getInputStream().transferTo(socket.getOutputStream());
        } catch (IOException exception) {
            // Expected when the forwarder drops the connection.
        }
    }
}
