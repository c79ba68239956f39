package org.merlinwood.standin.impl;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class StandInServerTest {

    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final long WAIT_SECONDS = 10;

    /** Guards against a crashed stand-in that still accepts a connection after it has closed another one. */
    @Test
    void acceptsNoConnectionOnceTheFirstIsClosed() throws Exception {
        CompletableFuture<InetSocketAddress> address = new CompletableFuture<>();
        CompletableFuture<Boolean> received = new CompletableFuture<>();
        CompletableFuture<Boolean> acceptedAfterClose = new CompletableFuture<>();
        StandInServer server =
                new StandInServer(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), exchange -> {
                    exchange.getConnection()
                            .addCloseListener(closed -> acceptedAfterClose.complete(accepts(address.join())));
                    received.complete(true);
                    Thread.sleep(TimeUnit.SECONDS.toMillis(WAIT_SECONDS));
                });
        address.complete(server.address());
        try (Socket connection =
                new Socket(address.join().getAddress(), address.join().getPort())) {
            connection
                    .getOutputStream()
                    .write("GET / HTTP/1.1\r\nHost: stand-in\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            received.get(WAIT_SECONDS, TimeUnit.SECONDS);
            server.close();
        }
        assertThat(acceptedAfterClose.get(WAIT_SECONDS, TimeUnit.SECONDS)).isFalse();
    }

    private static boolean accepts(InetSocketAddress address) {
        try (Socket connection = new Socket()) {
            connection.connect(address, CONNECT_TIMEOUT_MILLIS);
            return true;
        } catch (IOException refused) {
            return false;
        }
    }
}
