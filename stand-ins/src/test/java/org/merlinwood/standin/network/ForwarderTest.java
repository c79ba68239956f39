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
import org.merlinwood.standin.Calls;

final class ForwarderTest {

    private static final int PATIENCE_MILLIS = 20_000;
    private static final int SILENCE_MILLIS = 100;

    private final Calls calls = new Calls();
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
        calls.close();
    }

    @ParameterizedTest
    @EnumSource(
            value = ForwardingMode.class,
            names = {"PASS", "DELAY"})
    void forwardsBothWays(ForwardingMode mode) throws Exception {
        forwarder.mode(mode, ForwardingDirection.BOTH, 5);
        try (Socket socket = connect()) {
            assertThat(echoed(socket)).isEqualTo(7);
        }
    }

    @Test
    void dropsConnections() throws Exception {
        Socket socket = connect();
        assertThat(echoed(socket)).isEqualTo(7);
        calls.post(forwarder.administrationAddress(), "/mode?mode=drop", "");
        assertThat(endOf(socket)).isTrue();
        assertThat(endOf(connect())).isTrue();
    }

    @ParameterizedTest
    @EnumSource(ForwardingDirection.class)
    void silencesExistingConnectionsWhileNewOnesWork(ForwardingDirection direction) throws Exception {
        try (Socket old = connect()) {
            assertThat(echoed(old)).isEqualTo(7);
            forwarder.mode(ForwardingMode.SILENT_EXISTING, direction, 0);
            old.setSoTimeout(SILENCE_MILLIS);
            assertThatThrownBy(() -> echoed(old)).isInstanceOf(SocketTimeoutException.class);
            try (Socket fresh = connect()) {
                assertThat(echoed(fresh)).isEqualTo(7);
            }
        }
    }

    @Test
    void silencesNewConnectionsToo() throws Exception {
        forwarder.mode(ForwardingMode.SILENT, ForwardingDirection.BOTH, 0);
        try (Socket socket = connect()) {
            socket.setSoTimeout(SILENCE_MILLIS);
            assertThatThrownBy(() -> echoed(socket)).isInstanceOf(SocketTimeoutException.class);
        }
    }

    private Socket connect() throws IOException {
        Socket socket =
                new Socket(forwarder.address().getAddress(), forwarder.address().getPort());
        socket.setSoTimeout(PATIENCE_MILLIS);
        return socket;
    }

    private static int echoed(Socket socket) throws IOException {
        socket.getOutputStream().write(7);
        return socket.getInputStream().read();
    }

    private static boolean endOf(Socket socket) {
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
            // The connection was dropped, as the test asked for.
        }
    }
}
