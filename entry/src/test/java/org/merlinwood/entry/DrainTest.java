package org.merlinwood.entry;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.google.protobuf.ByteString;
import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.merlinwood.configuration.inventory.InstanceRole;
import org.merlinwood.protocol.Exchange;
import org.merlinwood.wire.Frame;
import org.merlinwood.wire.GrantUse;

/** Verifies that a draining entry completes open requests and refuses new connections. */
class DrainTest {

    private final AtomicReference<Runnable> resume = new AtomicReference<>();
    private EntryFixture fixture;

    @AfterEach
    void close() {
        fixture.close();
    }

    @Test
    void runningRequestCompletesAndItsConnectionIsClosed() throws Exception {
        fixture = new EntryFixture(new FakeSidecar("plain-1", InstanceRole.PLAIN) {
            @Override
            void onPlain(Exchange exchange, GrantUse use, ByteString body) {
                resume.set(() -> super.onPlain(exchange, use, body));
            }
        });

        assertCompletesDuringDrain();
    }

    @Test
    void requestWaitingForGrantCompletes() throws Exception {
        fixture = new EntryFixture(new FakeSidecar("plain-1", InstanceRole.PLAIN) {
            @Override
            void onGrantRequest(Exchange exchange, Frame frame) {
                queued(exchange);
                resume.set(() -> grant(exchange));
            }
        });

        assertCompletesDuringDrain();
    }

    private void assertCompletesDuringDrain() throws Exception {
        CompletableFuture<HttpResponse<String>> open = fixture.postAsync("/notes", "{}");
        EntryFixture.await(() -> resume.get() != null);
        CompletableFuture<Void> drained = CompletableFuture.runAsync(fixture.entry::drain);
        EntryFixture.await(this::isRefused);
        assertThat(drained).isNotDone();

        resume.get().run();

        HttpResponse<String> response = open.get(20, TimeUnit.SECONDS);
        assertThat(response.statusCode()).isEqualTo(201);
        assertThat(response.headers().firstValue("Connection")).contains("close");
        drained.get(20, TimeUnit.SECONDS);
        assertThatThrownBy(() -> new RawSocketCaller(fixture)).isInstanceOf(IOException.class);
    }

    private boolean isRefused() {
        try {
            new RawSocketCaller(fixture).close();
            return false;
        } catch (IOException refused) {
            return true;
        }
    }
}
