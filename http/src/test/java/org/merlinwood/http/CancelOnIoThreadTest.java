package org.merlinwood.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.merlinwood.core.result.Failure;
import org.merlinwood.core.result.ResultCode;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/**
 * Guards against a response that is mixed from two instances: once a request was cancelled on the I/O thread, its
 * listener must receive the failure and nothing else, although more of the response has arrived already.
 */
final class CancelOnIoThreadTest {

    private static final long TIMEOUT_MILLIS = 20_000;
    private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final String RESPONSE = HEAD + "1\r\na\r\n1\r\nb\r\n0\r\n\r\n";

    private final XnioWorker worker;
    private final HttpClient client;

    CancelOnIoThreadTest() throws IOException {
        worker = Xnio.getInstance()
                .createWorker(
                        OptionMap.builder().set(Options.WORKER_IO_THREADS, 1).getMap());
        client = HttpClient.withWorker(worker);
    }

    @AfterEach
    void close() {
        client.close();
        worker.shutdownNow();
    }

    /** What a listener has received. */
    enum Event {
        HEAD,
        BYTES,
        END,
        CANCELLED,
        OTHER_FAILURE
    }

    /** The whole response has arrived when its own listener cancels the request. */
    @ParameterizedTest
    @EnumSource(
            value = Event.class,
            names = {"HEAD", "BYTES"})
    void nothingFollowsACancelByTheListenerOfTheRequest(Event cancelledAt) throws Exception {
        try (OneResponseServer server = new OneResponseServer()) {
            RecordingListener listener = new RecordingListener(cancelledAt);
            onIoThread(() -> listener.cancels(client.send(server.request(), listener)));
            server.awaitRequest();
            sendWhileTheThreadStands(server);
            listener.awaitFailure();
            passThread();
            assertThat(listener.events()).endsWith(cancelledAt, Event.CANCELLED).containsOnlyOnce(cancelledAt);
        }
    }

    /** Both responses have arrived when the listener that is called first cancels the request of the other one. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void nothingFollowsACancelByTheListenerOfAnotherRequest(boolean firstSentLast) throws Exception {
        try (OneResponseServer server = new OneResponseServer();
                OneResponseServer other = new OneResponseServer()) {
            RecordingListener listener = new RecordingListener(Event.HEAD);
            RecordingListener otherListener = new RecordingListener(Event.HEAD);
            onIoThread(() -> {
                otherListener.cancels(client.send(server.request(), listener));
                listener.cancels(client.send(other.request(), otherListener));
            });
            server.awaitRequest();
            other.awaitRequest();
            sendWhileTheThreadStands(firstSentLast ? other : server, firstSentLast ? server : other);
            RecordingListener.awaitEnds(listener, otherListener);
            passThread();
            List<List<Event>> events = List.of(listener.events(), otherListener.events());
            assertThat(events)
                    .containsExactlyInAnyOrder(
                            List.of(Event.CANCELLED), List.of(Event.HEAD, Event.BYTES, Event.BYTES, Event.END));
        }
    }

    private void onIoThread(Runnable task) throws Exception {
        CompletableFuture<Void> done = new CompletableFuture<>();
        worker.getIoThread().execute(() -> {
            task.run();
            done.complete(null);
        });
        done.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Sends responses so that the I/O thread finds all of them when it looks at its sockets again. */
    private void sendWhileTheThreadStands(OneResponseServer... servers) throws Exception {
        onIoThread(() -> {
            for (OneResponseServer server : servers) {
                server.sendAndAwaitSent();
            }
        });
    }

    /** Returns when the I/O thread has looked at its sockets and run its tasks once more. */
    private void passThread() throws Exception {
        onIoThread(() -> {});
        onIoThread(() -> {});
    }

    /** Records events on the I/O thread, and cancels a request at the first of one kind. */
    private static final class RecordingListener implements HttpListener {

        private final Event cancelAt;
        private final List<Event> events = new ArrayList<>();
        private final CountDownLatch ended = new CountDownLatch(1);
        private HttpStream toCancel;

        RecordingListener(Event cancelAt) {
            this.cancelAt = cancelAt;
        }

        void cancels(HttpStream request) {
            toCancel = request;
        }

        /** Returns what was received; called once the I/O thread has nothing left to deliver. */
        List<Event> events() {
            return events;
        }

        void awaitFailure() throws InterruptedException {
            awaitEnds(this);
        }

        static void awaitEnds(RecordingListener... listeners) throws InterruptedException {
            for (RecordingListener listener : listeners) {
                assertThat(listener.ended.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS))
                        .isTrue();
            }
        }

        private void record(Event event) {
            boolean first = !events.contains(event);
            events.add(event);
            if (event == cancelAt && first) {
                toCancel.cancel();
            }
        }

        @Override
        public void onHead(int status, List<HttpHeader> headers) {
            record(Event.HEAD);
        }

        @Override
        public void onBytes(byte[] bytes) {
            record(Event.BYTES);
        }

        @Override
        public void onEnd() {
            record(Event.END);
            ended.countDown();
        }

        @Override
        public void onFailure(Failure failure) {
            record(failure.code() == ResultCode.CANCELLED ? Event.CANCELLED : Event.OTHER_FAILURE);
            ended.countDown();
        }
    }

    /** Accepts one connection and sends the whole response to its request at once when it is told to. */
    private static final class OneResponseServer implements AutoCloseable {

        private final ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        private final CountDownLatch requestReceived = new CountDownLatch(1);
        private final CountDownLatch responseAllowed = new CountDownLatch(1);
        private final CountDownLatch responseSent = new CountDownLatch(1);

        OneResponseServer() throws IOException {
            Thread.ofPlatform().daemon().start(this::serve);
        }

        HttpRequest request() {
            InetSocketAddress address = new InetSocketAddress("127.0.0.1", listener.getLocalPort());
            return HttpRequest.of("POST", address, "/", "question".getBytes(StandardCharsets.UTF_8))
                    .withTimeouts(TIMEOUT_MILLIS, TIMEOUT_MILLIS)
                    .withConnectionUse(ConnectionUse.FRESH);
        }

        void awaitRequest() throws InterruptedException {
            assertThat(requestReceived.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS))
                    .isTrue();
        }

        void sendAndAwaitSent() {
            responseAllowed.countDown();
            try {
                assertThat(responseSent.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS))
                        .isTrue();
            } catch (InterruptedException exception) {
                Thread.currentThread().interrupt();
            }
        }

        private void serve() {
            try (Socket socket = listener.accept()) {
                InputStream input = socket.getInputStream();
                assertThat(input.read(new byte[1_024])).isPositive();
                requestReceived.countDown();
                responseAllowed.await();
                socket.getOutputStream().write(RESPONSE.getBytes(StandardCharsets.ISO_8859_1));
                responseSent.countDown();
                input.readAllBytes();
            } catch (IOException closed) {
                return;
            } catch (InterruptedException exception) {
                Thread.currentThread().interrupt();
            }
        }

        @Override
        public void close() throws IOException {
            responseAllowed.countDown();
            listener.close();
        }
    }
}
