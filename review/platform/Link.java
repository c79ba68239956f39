import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;

/** The link between clients and one entry: of limited rate towards the clients; its channels can be reset. */
final class Link implements AutoCloseable {

    private record Channel(Socket client, Socket entry) {}

    private final InetSocketAddress target;
    private final long bytesPerSecond;
    private final ServerSocket listener;
    private final Set<Channel> open = ConcurrentHashMap.newKeySet();

    Link(String ip, InetSocketAddress target, long bytesPerSecond) throws IOException {
        this.target = target;
        this.bytesPerSecond = bytesPerSecond;
        listener = new ServerSocket();
        listener.bind(Http.free(ip), 512);
        Thread.ofVirtual().start(this::accept);
    }

    InetSocketAddress address() {
        return (InetSocketAddress) listener.getLocalSocketAddress();
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket client = listener.accept();
                Thread.ofVirtual().start(() -> serve(client));
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void serve(Socket client) {
        Channel channel = null;
        try (client;
                Socket entry = new Socket()) {
            client.setTcpNoDelay(true);
            entry.setTcpNoDelay(true);
            entry.connect(target, 1_000);
            channel = new Channel(client, entry);
            open.add(channel);
            Thread up = Thread.ofVirtual().start(() -> copy(client, entry, 0));
            copy(entry, client, bytesPerSecond);
            up.join();
        } catch (IOException | InterruptedException ended) {
            // The channel is closed at both ends.
        } finally {
            if (channel != null) {
                open.remove(channel);
            }
        }
    }

    private static void copy(Socket from, Socket to, long bytesPerSecond) {
        try {
            InputStream input = from.getInputStream();
            OutputStream output = to.getOutputStream();
            byte[] part = new byte[bytesPerSecond > 0 ? 1_024 : 16_384];
            for (int count = input.read(part); count >= 0; count = input.read(part)) {
                output.write(part, 0, count);
                if (bytesPerSecond > 0) {
                    Thread.sleep(1_000L * count / bytesPerSecond);
                }
            }
            to.shutdownOutput();
            if (bytesPerSecond > 0) {
                from.close();
                to.close();
            } else {
                from.close();
                to.close();
            }
        } catch (IOException | InterruptedException ended) {
            Http.reset(from);
            Http.reset(to);
        }
    }

    /** Resets a share of the open channels; returns their number. */
    int reset(double share) {
        int count = 0;
        for (Channel channel : open) {
            if (ThreadLocalRandom.current().nextDouble() < share) {
                Http.reset(channel.client);
                Http.reset(channel.entry);
                count++;
            }
        }
        return count;
    }

    @Override
    public void close() throws IOException {
        listener.close();
        reset(1);
    }
}
