package org.merlinwood.http;

import io.vavr.control.Either;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import org.merlinwood.core.result.Failure;
import org.merlinwood.http.impl.UndertowHttpClient;
import org.xnio.XnioWorker;

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
     * Creates a client that shares the I/O threads of a server.
     *
     * @param worker the threads; left running when the client is closed
     * @return the client
     */
    static HttpClient withWorker(XnioWorker worker) {
        return new UndertowHttpClient(worker);
    }

    /**
     * Sends a call and streams its answer.
     *
     * @param call the call
     * @param listener receives the answer on an I/O thread
     * @return a handle to cancel it
     */
    HttpStream send(HttpRequest call, HttpListener listener);

    /**
     * Sends a call and collects its answer.
     *
     * @param call the call
     * @return the answer or the failure; completed on an I/O thread, never exceptionally
     */
    CompletionStage<Either<Failure, HttpResponse>> execute(HttpRequest call);

    /**
     * Sends a call that can be cancelled, and collects its answer.
     *
     * @param call the call
     * @param consumer receives the answer or the failure, once, on an I/O thread
     * @return a handle to cancel it
     */
    HttpStream execute(HttpRequest call, Consumer<Either<Failure, HttpResponse>> consumer);

    /** Closes all connections and ends the I/O threads. */
    @Override
    void close();
}
