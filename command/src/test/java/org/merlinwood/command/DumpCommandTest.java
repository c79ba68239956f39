package org.merlinwood.command;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import org.junit.jupiter.api.Test;
import org.merlinwood.operation.port.OperatorServer;
import org.merlinwood.operation.port.StateSection;

/** Output and exit status of {@code dump} for a reachable and an unreachable process. */
class DumpCommandTest {

    private record Section(String name, Object state) implements StateSection {}

    private record State(int answer) {}

    @Test
    void printsStateOfReachableProcess() {
        InetSocketAddress address = new InetSocketAddress("127.0.0.1", 0);
        try (OperatorServer server = OperatorServer.builder(address, new MetricRegistry())
                .section(new Section("example", new State(42)))
                .build()) {
            server.start();
            CommandRun run =
                    CommandRun.of("dump", "127.0.0.1:" + server.boundAddress().getPort());

            assertThat(run.status()).isEqualTo(ExitStatus.SUCCESS);
            assertThat(run.output()).contains("\"answer\" : 42");
        }
    }

    @Test
    void unreachableProcessReturnsUnreachableStatus() throws IOException {
        try (Socket boundWithoutListening = new Socket()) {
            boundWithoutListening.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            CommandRun run = CommandRun.of("dump", "127.0.0.1:" + boundWithoutListening.getLocalPort());

            assertThat(run.status()).isEqualTo(ExitStatus.UNREACHABLE);
            assertThat(run.errors()).contains("no connection");
        }
    }
}
