package org.merlinwood.entry;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.merlinwood.configuration.inventory.InstanceRole;

/** Guards against a stream whose end can't be told from a lost connection, since its caller wants it closed. */
class ClosingCallerTest {

    private static final String LAST_CHUNK = "0\r\n\r\n";

    @Test
    void streamOnAConnectionThatIsClosedBehindItEndsWithItsLastChunk() throws Exception {
        try (EntryFixture fixture = new EntryFixture(
                        new FakeSidecar("decode-1", InstanceRole.DECODE),
                        new FakeSidecar("prefill-1", InstanceRole.PREFILL));
                RawSocketCaller caller = new RawSocketCaller(fixture)) {
            caller.post("/v1/completions", EntryFixture.STREAMED, "Connection", "close");
            assertThat(caller.readUntil(LAST_CHUNK))
                    .startsWith("HTTP/1.1 200")
                    .contains("Connection: close", "Transfer-Encoding: chunked")
                    .endsWith(LAST_CHUNK);
        }
    }
}
