package org.merlinwood.http;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Objects;

/**
 * One call, ready to be sent. Immutable; the body must not be changed afterwards.
 *
 * @param method the method in capitals
 * @param address numeric address of the server
 * @param path path and query, beginning with {@code /}
 * @param headers headers besides Content-Length, which the client sets; without a Host among them, the address is sent
 * @param body the body, empty for none
 * @param connectTimeoutMillis how long connecting may take, in milliseconds
 * @param readTimeoutMillis how long the server may send nothing, in milliseconds
 * @param maximumResponseBytes size of the answer's body at most, in bytes
 * @param connectionUse whether an idle connection may be reused
 */
@SuppressWarnings("ArrayRecordComponent") // a body of bytes is never compared
public record HttpRequest(
        String method,
        InetSocketAddress address,
        String path,
        List<HttpHeader> headers,
        byte[] body,
        long connectTimeoutMillis,
        long readTimeoutMillis,
        long maximumResponseBytes,
        ConnectionUse connectionUse) {

    /** Milliseconds that connecting may take unless said otherwise. */
    public static final long DEFAULT_CONNECT_TIMEOUT_MILLIS = 1_000;

    /** Milliseconds of silence unless said otherwise. */
    public static final long DEFAULT_READ_TIMEOUT_MILLIS = 10_000;

    /** Bytes of an answer unless said otherwise. */
    public static final long DEFAULT_MAXIMUM_RESPONSE_BYTES = 8L << 20;

    /** Checks the parts and copies the headers. */
    public HttpRequest {
        Objects.requireNonNull(address, "address");
        headers = List.copyOf(headers);
        if (!path.startsWith("/")) {
            throw new IllegalArgumentException("a path begins with '/': " + path);
        }
    }

    /**
     * Creates a call without headers, with the default limits.
     *
     * @param method the method in capitals
     * @param address address of the server
     * @param path path and query
     * @param body the body, empty for none
     * @return the call
     */
    public static HttpRequest of(String method, InetSocketAddress address, String path, byte[] body) {
        return new HttpRequest(
                method,
                address,
                path,
                List.of(),
                body,
                DEFAULT_CONNECT_TIMEOUT_MILLIS,
                DEFAULT_READ_TIMEOUT_MILLIS,
                DEFAULT_MAXIMUM_RESPONSE_BYTES,
                ConnectionUse.POOLED);
    }

    /**
     * Returns this call with other headers.
     *
     * @param others the headers
     * @return a copy
     */
    public HttpRequest withHeaders(List<HttpHeader> others) {
        return new HttpRequest(
                method,
                address,
                path,
                others,
                body,
                connectTimeoutMillis,
                readTimeoutMillis,
                maximumResponseBytes,
                connectionUse);
    }

    /**
     * Returns this call with other time limits.
     *
     * @param connectMillis how long connecting may take, in milliseconds
     * @param silenceMillis how long the server may send nothing, in milliseconds
     * @return a copy
     */
    public HttpRequest withTimeouts(long connectMillis, long silenceMillis) {
        return new HttpRequest(
                method,
                address,
                path,
                headers,
                body,
                connectMillis,
                silenceMillis,
                maximumResponseBytes,
                connectionUse);
    }

    /**
     * Returns this call with another use of connections.
     *
     * @param use whether an idle connection may be reused
     * @return a copy
     */
    public HttpRequest withConnectionUse(ConnectionUse use) {
        return new HttpRequest(
                method,
                address,
                path,
                headers,
                body,
                connectTimeoutMillis,
                readTimeoutMillis,
                maximumResponseBytes,
                use);
    }
}
