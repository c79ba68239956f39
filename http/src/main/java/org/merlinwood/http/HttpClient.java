package org.merlinwood.http;

import io.vavr.control.Either;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import org.merlinwood.core.result.Failure;
import org.merlinwood.http.impl.UndertowHttpClient;
import org.xnio.XnioWorker;

/**
 * Sends requests over HTTP/1.1. Thread-safe; one instance may be used by a whole process until it is closed.
 *
 * <p>The connection of a request that timed out, failed or was cancelled is closed and not reused.
 */
public interface HttpClient extends AutoCloseable {

    /**
     * Creates a client with its own I/O threads.
     *
     * @param name prefix of the names of its threads
     * @param ioThreads number of I/O threads, positive
     * @return the client
     */
    static HttpClient create(String name, int ioThreads) {
        return new UndertowHttpClient(name, ioThreads);
    }

    /**
     * Creates a client that shares the I/O threads of a server.
     *
     * @param worker the I/O threads; they keep running after the client is closed
     * @return the client
     */
    static HttpClient withWorker(XnioWorker worker) {
        return new UndertowHttpClient(worker);
    }

    /**
     * Sends a request and streams the response.
     *
     * @param request the request
     * @param listener receives the response on an I/O thread
     * @return a handle to cancel it
     */
    HttpStream send(HttpRequest request, HttpListener listener);

    /**
     * Sends a request and collects the complete response, which must end within the read timeout.
     *
     * @param request the request
     * @return the response or the failure; completed on an I/O thread, never exceptionally
     */
    CompletionStage<Either<Failure, HttpResponse>> execute(HttpRequest request);

    /**
     * Sends a request that can be cancelled and collects the complete response, which must end within the read timeout.
     *
     * @param request the request
     * @param consumer receives the response or the failure, exactly once
     * @return a handle to cancel it
     */
    HttpStream execute(HttpRequest request, Consumer<Either<Failure, HttpResponse>> consumer);

    /**
     * Returns how many connections the client has.
     *
     * @return the current numbers; each is counted on its own, so that they may differ by requests that start or end
     */
    ConnectionCounts connectionCounts();

    /** Closes the idle connections, and stops the I/O threads if the client owns them. */
    @Override
    void close();
}
