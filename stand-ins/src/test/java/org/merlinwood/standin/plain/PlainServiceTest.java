package org.merlinwood.standin.plain;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.Optional;
import org.apache.commons.codec.digest.DigestUtils;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.merlinwood.standin.HttpTestClient;
import org.merlinwood.standin.network.Addresses;

final class PlainServiceTest {

    @TempDir
    private Path folder;

    private final HttpTestClient client = new HttpTestClient();
    private PlainService service;

    @BeforeEach
    void start() {
        service = open();
    }

    @AfterEach
    void stop() {
        service.close();
        client.close();
    }

    @Test
    void recordsEveryRunWithItsKeyAndBody() throws Exception {
        client.post(service.address(), "/bookings", "one");
        client.post(service.address(), "/bookings", "one");
        assertThat(service.ledger().runs()).hasSize(2).allSatisfy(run -> {
            assertThat(run.key()).isEqualTo("key-1");
            assertThat(run.bodyDigest()).isEqualTo(DigestUtils.sha256Hex("one"));
            assertThat(run.status()).isEqualTo(201);
        });
    }

    @ParameterizedTest
    @CsvSource({"GET,/hydrants/H-7,200,H-7", "GET,/reviews/R-7/status,200,R-7", "POST,/replies,201,R-ledger-1"})
    void servesItsRoutes(String method, String path, int status, String part) throws Exception {
        var response = client.send(method, service.address(), path, "");
        assertThat(response.status()).isEqualTo(status);
        assertThat(response.text()).contains(part);
    }

    @ParameterizedTest
    @CsvSource({"CRASH_BEFORE_RUN,0", "CRASH_AFTER_RUN,1", "TRUNCATE,1", "GARBAGE,1"})
    void failsAsFaultMarkerRequests(PlainFault fault, int runs) throws Exception {
        client.sendExpectingFailure("POST", service.address(), "/bookings", "[fault " + fault + "]");
        assertThat(service.ledger().runs()).hasSize(runs).allMatch(run -> run.status() == 0);
    }

    @Test
    void readsLedgerAgainAfterCrash() throws Exception {
        InetSocketAddress address = service.address();
        client.sendExpectingFailure("POST", address, "/bookings", "[fault CRASH_AFTER_RUN]");
        service.close();
        service = open();
        assertThat(service.ledger().runs()).hasSize(1);
    }

    private PlainService open() {
        return new PlainService(
                Addresses.anyLoopback(),
                Addresses.anyLoopback(),
                "ledger",
                4,
                Optional.of(folder.resolve("runs")),
                PlainService.CrashMode.CLOSE_SERVER);
    }
}
