package org.merlinwood.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.merlinwood.core.result.ExecutionState;
import org.merlinwood.core.result.Failure;
import org.merlinwood.core.result.ResultCode;

/**
 * Guards against a spoilt response that is taken for a complete one, with a body that is not the server's: whatever no
 * sound server writes is a failure, and its connection is not used again. In each response a tilde stands for the end
 * of a line.
 */
final class MalformedResponseTest {

    /** Body in chunks, of which the first one has 31 bytes. */
    private static final String CHUNKS = "1f~" + "0123456789abcdef0123456789abcde" + "~0~~";

    private static final String BODY = "0123456789abcdef0123456789abcde";

    private final HttpClient client = HttpClient.create("test", 1);

    @AfterEach
    void closeClient() {
        client.close();
    }

    static Stream<String> lengths() {
        Stream<String> codings = Stream.of(
                        "chunke",
                        "xchunked",
                        "chunkedx",
                        "gzip",
                        "identity",
                        "chunked, gzip",
                        "gzip, chunked",
                        "chunked, chunked",
                        "chunked;q=1",
                        "\"chunked\"",
                        "chunked,",
                        "chun ked",
                        "")
                .flatMap(coding -> Stream.of(
                        "Transfer-Encoding: " + coding + "~~" + CHUNKS,
                        "Connection: close~Transfer-Encoding: " + coding + "~~" + CHUNKS,
                        "Content-Length: 31~Transfer-Encoding: " + coding + "~~" + BODY));
        Stream<String> repeatedCodings = Stream.of(
                "Transfer-Encoding: chunked~Transfer-Encoding: chunked~~" + CHUNKS,
                "Transfer-Encoding: gzip~Transfer-Encoding: chunked~~" + CHUNKS,
                "Transfer-Encoding: chunked~Transfer-Encoding: identity~~" + CHUNKS);
        Stream<String> bothWays = Stream.of(
                "Content-Length: 31~Transfer-Encoding: chunked~~" + CHUNKS,
                "Transfer-Encoding: chunked~Content-Length: 31~~" + BODY,
                "Transfer-Encoding: chunked~Content-Length: 0~~" + CHUNKS);
        Stream<String> values = Stream.of(
                        "+31",
                        "-31",
                        "3 1",
                        "31 ,",
                        "31;",
                        "31x",
                        "x31",
                        "0x1f",
                        "1f",
                        "",
                        " ",
                        "31, 31",
                        "31.0",
                        "٣١",
                        "3\t1",
                        "99999999999999999999",
                        "18446744073709551647",
                        "4294967327000000000000")
                .map(value -> "Content-Length: " + value + "~~" + BODY);
        Stream<String> repeatedValues = Stream.of(
                "Content-Length: 31~Content-Length: 11~~" + BODY,
                "Content-Length: 11~Content-Length: 31~~" + BODY,
                "Content-Length: 31~A: b~content-length: 0~~" + BODY,
                "Content-Length: 31~Content-Length:~~" + BODY);
        return Stream.of(codings, repeatedCodings, bothWays, values, repeatedValues)
                .flatMap(heads -> heads)
                .map(head -> "HTTP/1.1 200 OK~" + head);
    }

    /** A client of HTTP/1.0 doesn't know chunks, and neither does its server. */
    static Stream<String> chunksOfTheOldProtocol() {
        return Stream.of("HTTP/1.0 200 OK~Transfer-Encoding: chunked~~" + CHUNKS);
    }

    /** A response without a body can't announce one. */
    static Stream<String> lengthsOfNoBody() {
        return Stream.of(
                "HTTP/1.1 204 No Content~Content-Length: 31~~" + BODY,
                "HTTP/1.1 204 No Content~Transfer-Encoding: chunked~~" + CHUNKS,
                "HTTP/1.1 304 Not Modified~Content-Length: 31~~" + BODY,
                "HTTP/1.1 304 Not Modified~Transfer-Encoding: chunked~~" + CHUNKS);
    }

    static Stream<String> chunks() {
        Stream<String> sizes = Stream.of(
                        "zz",
                        "-1f",
                        "+1f",
                        "0x1f",
                        "1 f",
                        "1f ",
                        " 1f",
                        "\t1f",
                        "1f\t",
                        "1f\u0001",
                        "1f\u0000",
                        "1g",
                        "1f x",
                        "1f:x",
                        "1f,1f",
                        "",
                        "x",
                        ";x",
                        "\u00b9f",
                        "ffffffffffffffffff",
                        "8000000000000000",
                        "1000000000000001f",
                        "1f\r",
                        "1f;a\u0001b")
                .map(size -> size + "~" + BODY + "~0~~");
        Stream<String> ends = Stream.of(
                "10~" + BODY + "~0~~",
                "1e~" + BODY + "~0~~",
                "20~" + BODY + "~0~~",
                "1f~" + BODY + "0~~",
                "1f~" + BODY + "\n0~~",
                "1f~" + BODY + "\r0~~",
                "1f~" + BODY + " ~0~~",
                "1f\n" + BODY + "~0~~",
                "1f~" + BODY + "~0\n\n",
                "1f~" + BODY + "~zz~~",
                "1f~" + BODY + "~0x~~",
                "1f~" + BODY + "~-0~~",
                "1f~" + BODY + "~ 0~~",
                "1f~" + BODY + "~",
                "1f~" + BODY + "~0",
                "1f~" + BODY + "~0~",
                "1f~" + BODY + "~0~X: y",
                "1f~" + BODY + "~0~X: y~",
                "1f~" + BODY + "~~~",
                BODY);
        Stream<String> trailers = Stream.of(
                        "X y: z", "X", ": z", " X: z", "X : z", "X\u0001: z", "X: y\u0000", "\tX: y")
                .map(trailer -> "1f~" + BODY + "~0~" + trailer + "~~");
        return Stream.of(sizes, ends, trailers)
                .flatMap(bodies -> bodies)
                .map(body -> "HTTP/1.1 200 OK~Transfer-Encoding: chunked~~" + body);
    }

    static Stream<String> fields() {
        return Stream.of(
                        " folded",
                        "\tfolded",
                        " Content-Length: 31",
                        "\tA: b",
                        " ",
                        "no field",
                        ": no name",
                        "{\"a\":1}",
                        "HTTP/1.1 200 OK",
                        "A b: c",
                        "A : c",
                        "A\t: c",
                        "A\u0001: c",
                        "A\u007f: c",
                        "A\u0000: c",
                        "A(b): c",
                        "\u00e4: c",
                        "A: b\u0000c",
                        "A: b\u0001c",
                        "A: b\rc",
                        "A: b\nB: c",
                        "\u0000\u0000\u0000")
                .flatMap(line -> Stream.of(
                        "Content-Length: 31~A: b~" + line + "~~",
                        "A: b~" + line + "~Content-Length: 31~~",
                        "Connection: close~" + line + "~~",
                        line + "~Content-Length: 31~~"))
                .map(head -> "HTTP/1.1 200 OK~" + head + BODY);
    }

    static Stream<String> statusLines() {
        return Stream.of(
                        "HTTP/2.0 200 OK",
                        "HTTP/1.2 200 OK",
                        "HTTP/0.9 200 OK",
                        "HTTP/1.10 200 OK",
                        "HTTP/1 200 OK",
                        "HTTP/11 200 OK",
                        "http/1.1 200 OK",
                        "ICY 200 OK",
                        "HTTPS/1.1 200 OK",
                        "HTTP/1.1  200 OK",
                        "HTTP/1.1\t200 OK",
                        "HTTP/1.1 200\tOK",
                        "HTTP/1.1 200",
                        "HTTP/1.1 200OK",
                        "HTTP/1.1200 OK",
                        " HTTP/1.1 200 OK",
                        "~HTTP/1.1 200 OK",
                        "HTTP/1.1 200 O\u0001K",
                        "HTTP/1.1 200 O\u0000K",
                        "HTTP/1.1 2 0 OK",
                        "HTTP/1.1 \u00b2\u00b0\u00b0 OK")
                .map(line -> line + "~Content-Length: 31~~" + BODY);
    }

    static Stream<Arguments> inPieces(Stream<String> responses) {
        return responses.flatMap(response -> Stream.of(Arguments.of(response, 1), Arguments.of(response, 64 << 10)));
    }

    static Stream<Arguments> malformedLengths() {
        return inPieces(Stream.of(lengths(), chunksOfTheOldProtocol(), lengthsOfNoBody())
                .flatMap(responses -> responses));
    }

    static Stream<Arguments> malformedChunks() {
        return inPieces(chunks());
    }

    static Stream<Arguments> malformedFields() {
        return inPieces(fields());
    }

    static Stream<Arguments> malformedStatusLines() {
        return inPieces(statusLines());
    }

    @ParameterizedTest
    @MethodSource("malformedLengths")
    void spoiltLengthIsAFailure(String response, int pieceBytes) throws Exception {
        assertFails(response, pieceBytes);
    }

    @ParameterizedTest
    @MethodSource("malformedChunks")
    void spoiltChunkIsAFailure(String response, int pieceBytes) throws Exception {
        assertFails(response, pieceBytes);
    }

    @ParameterizedTest
    @MethodSource("malformedFields")
    void lineThatIsNoFieldIsAFailure(String response, int pieceBytes) throws Exception {
        assertFails(response, pieceBytes);
    }

    @ParameterizedTest
    @MethodSource("malformedStatusLines")
    void lineThatIsNoStatusLineIsAFailure(String response, int pieceBytes) throws Exception {
        assertFails(response, pieceBytes);
    }

    private void assertFails(String response, int pieceBytes) throws Exception {
        try (ResponseServer server = new ResponseServer(response, pieceBytes)) {
            Either<Failure, HttpResponse> result = server.exchange(client, "GET");
            assertThat(result.isLeft()).as("%s", result.map(HttpResponse::text)).isTrue();
            assertThat(result.getLeft().code())
                    .isIn(ResultCode.UPSTREAM_MALFORMED, ResultCode.UPSTREAM_TRUNCATED, ResultCode.CONNECTION_LOST);
            assertThat(result.getLeft().executionState()).isEqualTo(ExecutionState.UNKNOWN);
            assertThat(server.exchange(client, "GET").map(HttpResponse::text))
                    .isEqualTo(Either.right(ResponseServer.SOUND_BODY));
        }
    }
}
