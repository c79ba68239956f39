package review3;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;

/** Accepts connections on a loopback address; each has a thread of its own. */
final class LoopbackServer implements AutoCloseable {

    private static final int BACKLOG = 512;

    private final ServerSocket listener = new ServerSocket();
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();

    /** Listens on a port, 0 for any free one. */
    LoopbackServer(int port, Consumer<Socket> handler) throws IOException {
        listener.setReuseAddress(true);
        listener.bind(new InetSocketAddress("127.0.0.1", port), BACKLOG);
        Thread.ofVirtual().start(() -> acceptAll(handler));
    }

    private void acceptAll(Consumer<Socket> handler) {
        try {
            while (true) {
                Socket connection = listener.accept();
                connection.setTcpNoDelay(true);
                connections.add(connection);
                Thread.ofVirtual().start(() -> serve(connection, handler));
            }
        } catch (IOException closed) {
            connections.forEach(LoopbackServer::reset);
        }
    }

    private void serve(Socket connection, Consumer<Socket> handler) {
        try (connection) {
            handler.accept(connection);
        } catch (IOException ignored) {
            // The connection has ended anyway.
        } finally {
            connections.remove(connection);
        }
    }

    int port() {
        return listener.getLocalPort();
    }

    /** Stops listening and resets all connections, as the end of a process does. */
    @Override
    public void close() throws IOException {
        listener.close();
        connections.forEach(LoopbackServer::reset);
    }

    static void reset(Socket connection) {
        try {
            connection.setSoLinger(true, 0);
            connection.close();
        } catch (IOException ignored) {
            // The connection has ended already.
        }
    }
}
