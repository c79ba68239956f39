package org.merlinwood.http;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Objects;

/**
 * A request to be sent. Immutable; the body array must not be modified after construction.
 *
 * @param method the method, in upper case
 * @param address resolved address of the server
 * @param path path and query, starting with {@code /}
 * @param headers headers except Content-Length, which the client sets; if Host is missing, the client sends the address
 *     as Host
 * @param body the body, empty for none
 * @param connectTimeoutMillis time limit for opening a connection, in milliseconds
 * @param readTimeoutMillis longest time without data from the server, in milliseconds
 * @param responseTimeoutMillis time limit from sending the request to the end of its response, in milliseconds;
 *     {@link #NO_RESPONSE_TIMEOUT} for none
 * @param maximumResponseBytes size limit of the response body, in bytes
 * @param connectionUse whether an idle connection may be reused
 */
@SuppressWarnings("ArrayRecordComponent") // requests are never compared
public record HttpRequest(
        String method,
        InetSocketAddress address,
        String path,
        List<HttpHeader> headers,
        byte[] body,
        long connectTimeoutMillis,
        long readTimeoutMillis,
        long responseTimeoutMillis,
        long maximumResponseBytes,
        ConnectionUse connectionUse) {

    /** Default connect timeout, in milliseconds. */
    public static final long DEFAULT_CONNECT_TIMEOUT_MILLIS = 1_000;

    /** Default read timeout, in milliseconds. */
    public static final long DEFAULT_READ_TIMEOUT_MILLIS = 10_000;

    /** Stands for no time limit of the complete response. */
    public static final long NO_RESPONSE_TIMEOUT = Long.MAX_VALUE;

    /** Default size limit of the response body, in bytes. */
    public static final long DEFAULT_MAXIMUM_RESPONSE_BYTES = 8L << 20;

    /** Validates the components and copies the headers. */
    public HttpRequest {
        Objects.requireNonNull(address, "address");
        headers = List.copyOf(headers);
        if (!path.startsWith("/")) {
            throw new IllegalArgumentException("path must start with '/': " + path);
        }
    }

    /**
     * Creates a request without headers and with the default limits.
     *
     * @param method the method, in upper case
     * @param address address of the server
     * @param path path and query
     * @param body the body, empty for none
     * @return the request
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
                NO_RESPONSE_TIMEOUT,
                DEFAULT_MAXIMUM_RESPONSE_BYTES,
                ConnectionUse.POOLED);
    }

    /**
     * Returns a copy with other headers.
     *
     * @param newHeaders the headers that replace the current ones
     * @return a copy
     */
    public HttpRequest withHeaders(List<HttpHeader> newHeaders) {
        return new HttpRequest(
                method,
                address,
                path,
                newHeaders,
                body,
                connectTimeoutMillis,
                readTimeoutMillis,
                responseTimeoutMillis,
                maximumResponseBytes,
                connectionUse);
    }

    /**
     * Returns a copy with other timeouts.
     *
     * @param connectMillis time limit for opening a connection, in milliseconds
     * @param readMillis how long the server may send nothing, in milliseconds
     * @return a copy
     */
    public HttpRequest withTimeouts(long connectMillis, long readMillis) {
        return new HttpRequest(
                method,
                address,
                path,
                headers,
                body,
                connectMillis,
                readMillis,
                responseTimeoutMillis,
                maximumResponseBytes,
                connectionUse);
    }

    /**
     * Returns a copy with another time limit of the complete response.
     *
     * @param millis time limit from sending the request to the end of its response, in milliseconds
     * @return a copy
     */
    public HttpRequest withResponseTimeout(long millis) {
        return new HttpRequest(
                method,
                address,
                path,
                headers,
                body,
                connectTimeoutMillis,
                readTimeoutMillis,
                millis,
                maximumResponseBytes,
                connectionUse);
    }

    /**
     * Returns a copy with another size limit of the response body.
     *
     * @param bytes size limit, in bytes
     * @return a copy
     */
    public HttpRequest withMaximumResponseBytes(long bytes) {
        return new HttpRequest(
                method,
                address,
                path,
                headers,
                body,
                connectTimeoutMillis,
                readTimeoutMillis,
                responseTimeoutMillis,
                bytes,
                connectionUse);
    }

    /**
     * Returns a copy with another setting for connection reuse.
     *
     * @param reuse whether an idle connection may be reused
     * @return a copy
     */
    public HttpRequest withConnectionUse(ConnectionUse reuse) {
        return new HttpRequest(
                method,
                address,
                path,
                headers,
                body,
                connectTimeoutMillis,
                readTimeoutMillis,
                responseTimeoutMillis,
                maximumResponseBytes,
                reuse);
    }
}
