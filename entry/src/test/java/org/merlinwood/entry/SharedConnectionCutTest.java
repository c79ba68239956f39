package org.merlinwood.entry;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.merlinwood.configuration.inventory.InstanceRole;
import org.merlinwood.protocol.Exchange;
import org.merlinwood.wire.Frame;
import org.merlinwood.wire.GrantUse;

/** Guards against requests that are cut because another request of the same sidecar got no grant in time. */
final class SharedConnectionCutTest {

    private EntryFixture fixture;

    @AfterEach
    void close() {
        fixture.close();
    }

    /** A grant that is late must not end a request that the sidecar executes on the same connection. */
    @Test
    void lateGrantDoesNotEndAnotherRequestOfItsConnection() throws Exception {
        AtomicInteger grantRequests = new AtomicInteger();
        AtomicReference<Runnable> resume = new AtomicReference<>();
        fixture = new EntryFixture(new FakeSidecar("plain-1", InstanceRole.PLAIN) {
            @Override
            void onGrantRequest(Exchange exchange, Frame frame) {
                if (grantRequests.getAndIncrement() == 0) {
                    grant(exchange);
                }
            }

            @Override
            void onPlain(Exchange exchange, GrantUse use, ByteString body) {
                resume.set(() -> super.onPlain(exchange, use, body));
            }
        });
        CompletableFuture<HttpResponse<String>> executing = fixture.postAsync("/notes", "{}");
        EntryFixture.await(() -> resume.get() != null);
        CompletableFuture<HttpResponse<String>> waiting = fixture.postAsync("/notes", "{}");
        EntryFixture.await(() -> grantRequests.get() >= 2);
        TimeUnit.MILLISECONDS.sleep(1_000);
        resume.get().run();
        assertThat(executing.get(20, TimeUnit.SECONDS).statusCode()).isEqualTo(201);
        waiting.cancel(true);
    }
}
