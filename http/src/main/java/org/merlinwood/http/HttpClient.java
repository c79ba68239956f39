package org.merlinwood.http;

import io.vavr.control.Either;
import java.util.concurrent.CompletionStage;
import org.merlinwood.core.result.Failure;
import org.merlinwood.http.impl.UndertowHttpClient;

/**
 * Sends calls over HTTP/1.1. Thread-safe; one instance serves a whole process until it is closed.
 *
 * <p>A connection whose call ended by timeout, failure or cancellation is closed and never used again.
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
     * Sends a call and streams its answer.
     *
     * @param call the call
     * @param listener receives the answer on an I/O thread
     * @return a handle to cancel it
     */
    HttpStream send(HttpCall call, HttpListener listener);

    /**
     * Sends a call and collects its answer.
     *
     * @param call the call
     * @return the answer or the failure; completed on an I/O thread, never exceptionally
     */
    CompletionStage<Either<Failure, HttpAnswer>> call(HttpCall call);

    /** Closes all connections and ends the I/O threads. */
    @Override
    void close();
}
