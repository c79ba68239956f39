package org.merlinwood.sidecar;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.sidecar.upstream.DecodeLine;
import org.merlinwood.sidecar.upstream.DecodeResponseReader;

/** Validation of decode responses against the engine protocol. */
final class DecodeResponseReaderTest {

    @ParameterizedTest
    @ValueSource(
            strings = {
                "garbage\n",
                "{\"offset\":1,\"tokens\":[\"a\"]}\n",
                "{\"offset\":0,\"tokens\":[\"a\"]}\n{\"offset\":2,\"tokens\":[\"b\"]}\n",
                "{\"offset\":0,\"tokens\":[\"a\"]}\n{\"end\":true,\"length\":2}\n",
                "{\"end\":true,\"length\":0}\n{\"offset\":0,\"tokens\":[\"a\"]}\n",
                "{\"offset\":0}\n",
                "[]\n"
            })
    void rejectsMalformedLines(String body) {
        assertThat(new DecodeResponseReader(0).read(bytes(body)).getLeft().code())
                .isEqualTo(ResultCode.UPSTREAM_MALFORMED);
    }

    @Test
    void readsLinesSplitAcrossReads() {
        DecodeResponseReader reader = new DecodeResponseReader(3);
        assertThat(reader.read(bytes("{\"offset\":3,\"tok")).get()).isEmpty();
        List<DecodeLine> lines = reader.read(bytes("ens\":[\"a\",\"b\"]}\n{\"end\":true,\"length\":5}\n"))
                .get();
        assertThat(lines).containsExactly(new DecodeLine.Tokens(3, List.of("a", "b")), new DecodeLine.End(5, "stop"));
        assertThat(reader.isWhole()).isTrue();
    }

    @Test
    void responseWithoutEndLineIsIncomplete() {
        DecodeResponseReader reader = new DecodeResponseReader(0);
        assertThat(reader.read(bytes("{\"offset\":0,\"tokens\":[\"a\"]}\n")).isRight())
                .isTrue();
        assertThat(reader.isWhole()).isFalse();
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
