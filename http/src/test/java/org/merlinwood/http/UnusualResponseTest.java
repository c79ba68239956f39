package org.merlinwood.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a check of responses that refuses those which are unusual but sound. In each response a tilde stands
 * for the end of a line.
 */
final class UnusualResponseTest {

    private static final String BODY = "0123456789abcdef0123456789abcde";
    private static final String CHUNKS = "1f~" + BODY + "~0~~";

    private final HttpClient client = HttpClient.create("test", 1);

    @AfterEach
    void closeClient() {
        client.close();
    }

    static Stream<Arguments> responses() {
        Stream<String> heads = Stream.of(
                "HTTP/1.1 200 ~Content-Length: 31~~" + BODY,
                "HTTP/1.1 200 All is well: 100 %~Content-Length: 31~~" + BODY,
                "HTTP/1.1 200 Tr\u00e8s bien~Content-Length: 31~~" + BODY,
                "HTTP/1.0 200 OK~Content-Length: 31~~" + BODY,
                "HTTP/1.1 200 OK~content-length:31~~" + BODY,
                "HTTP/1.1 200 OK~CONTENT-LENGTH: \t 31 \t~~" + BODY,
                "HTTP/1.1 200 OK~Content-Length: 0031~~" + BODY,
                "HTTP/1.1 200 OK~A:~B: ~C: \u00e4\u00ff~D: a:b, \"c\"; (d)~!#$%&'*+-.^_`|x: e~Content-Length: 31~~"
                        + BODY,
                "HTTP/1.1 200 OK~A: b~A: b~A: c~Content-Length: 31~~" + BODY,
                "HTTP/1.1 200 OK~Content-Length: 31~Connection: close~~" + BODY);
        Stream<String> untilTheEnd = Stream.of(
                "HTTP/1.1 200 OK~~" + BODY,
                "HTTP/1.1 200 OK~A: b~~" + BODY,
                "HTTP/1.1 200 OK~Connection: close~~" + BODY,
                "HTTP/1.1 200 OK~Connection: keep-alive~~" + BODY,
                "HTTP/1.0 200 OK~~" + BODY);
        Stream<String> chunks = Stream.of(
                "Transfer-Encoding: chunked~~" + CHUNKS,
                "transfer-encoding:CHUNKED~~" + CHUNKS,
                "Transfer-Encoding: \tChunked ~~" + CHUNKS,
                "Connection: close~Transfer-Encoding: chunked~~" + CHUNKS,
                "Transfer-Encoding: chunked~~1F~" + BODY + "~0~~",
                "Transfer-Encoding: chunked~~00001f~" + BODY + "~000~~",
                "Transfer-Encoding: chunked~~1f;a~" + BODY + "~0;b=c~~",
                "Transfer-Encoding: chunked~~1f ; a=\"1f 0;\"~" + BODY + "~0~~",
                "Transfer-Encoding: chunked~~1f;\u00e4~" + BODY + "~0~~",
                "Transfer-Encoding: chunked~~a~0123456789~5~abcde~10~f0123456789abcde~0~~",
                "Transfer-Encoding: chunked~Trailer: X~~1f~" + BODY + "~0~X: y~Z:~~");
        return Stream.of(heads, untilTheEnd, chunks.map(chunked -> "HTTP/1.1 200 OK~" + chunked))
                .flatMap(responses -> responses)
                .flatMap(response -> Stream.of(Arguments.of(response, 1), Arguments.of(response, 64 << 10)));
    }

    @ParameterizedTest
    @MethodSource("responses")
    void bodyIsTheServers(String response, int pieceBytes) throws Exception {
        try (ResponseServer server = new ResponseServer(response, pieceBytes)) {
            assertThat(server.exchange(client, "GET").map(HttpResponse::text)).isEqualTo(Either.right(BODY));
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 204 No Content~~",
                "HTTP/1.1 204 No Content~Content-Length: 0~~",
                "HTTP/1.1 304 Not Modified~~",
                "HTTP/1.1 200 OK~Content-Length: 0~~",
                "HTTP/1.1 200 OK~Transfer-Encoding: chunked~~0~~"
            })
    void bodyIsEmpty(String response) throws Exception {
        try (ResponseServer server = new ResponseServer(response, 1)) {
            assertThat(server.exchange(client, "GET").map(HttpResponse::text)).isEqualTo(Either.right(""));
        }
    }

    /** The response to such a request says how long the body of another one would be. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK~Content-Length: 31~~",
                "HTTP/1.1 200 OK~Transfer-Encoding: chunked~~",
                "HTTP/1.1 200 OK~~"
            })
    void responseToAHeadRequestHasNoBody(String response) throws Exception {
        try (ResponseServer server = new ResponseServer(response, 1)) {
            assertThat(server.exchange(client, "HEAD").map(HttpResponse::text)).isEqualTo(Either.right(""));
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 100 Continue~~", "HTTP/1.1 100 Continue~A: b~~"})
    void interimResponseIsSkipped(String interim) throws Exception {
        try (ResponseServer server =
                new ResponseServer(interim + "HTTP/1.1 200 OK~Content-Length: 31~~" + BODY, 64 << 10)) {
            assertThat(server.exchange(client, "GET").map(HttpResponse::text)).isEqualTo(Either.right(BODY));
        }
    }
}
