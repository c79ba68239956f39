package org.merlinwood.sidecar;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.merlinwood.configuration.inventory.InstanceRole;
import org.merlinwood.protocol.PeerConnection;
import org.merlinwood.wire.Granted;
import org.merlinwood.wire.WorkKind;

/** Guards against a plain service that works on a cancelled request, since the sidecar keeps its connection open. */
final class PlainCancellationTest {

    private static final long LEAVE_LIMIT_MILLIS = 500;

    private final CountDownLatch started = new CountDownLatch(1);
    private final CountDownLatch ended = new CountDownLatch(1);

    @Test
    void serviceSeesTheEndOfItsConnectionWhenTheEntryCancels() throws Exception {
        try (ServerSocket service = new ServerSocket(0, 8, InetAddress.getLoopbackAddress());
                SidecarFixture sidecar = new SidecarFixture(
                        InstanceRole.PLAIN, new InetSocketAddress("127.0.0.1", service.getLocalPort()))) {
            Thread.ofVirtual().start(() -> acceptAll(service));
            SidecarFixture.await(sidecar.process()::isReady);
            PeerConnection connection = sidecar.connect();
            ProbeExchange exchange = new ProbeExchange(connection).send(EntryFrames.grantRequest(WorkKind.PLAIN, 1));
            Granted granted = exchange.next().getGranted();
            exchange.send(EntryFrames.plain(granted, 1, "GET", "/hydrants/12", ""));
            assertThat(started.await(ProbeExchange.TIMEOUT_SECONDS, TimeUnit.SECONDS))
                    .isTrue();
            exchange.send(EntryFrames.cancel(1));
            assertThat(ended.await(LEAVE_LIMIT_MILLIS, TimeUnit.MILLISECONDS)).isTrue();
        }
    }

    private void acceptAll(ServerSocket service) {
        try {
            while (true) {
                Socket socket = service.accept();
                Thread.ofVirtual().start(() -> watch(socket));
            }
        } catch (IOException closed) {
            return;
        }
    }

    private void watch(Socket socket) {
        try (socket) {
            byte[] buffer = new byte[4_096];
            if (socket.getInputStream().read(buffer) < 0) {
                return;
            }
            started.countDown();
            while (socket.getInputStream().read(buffer) >= 0) {
                Thread.onSpinWait();
            }
            ended.countDown();
        } catch (IOException reset) {
            ended.countDown();
        }
    }
}
