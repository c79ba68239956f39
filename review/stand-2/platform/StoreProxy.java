import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Forwards channels to an address; those that are open can go silent for good, without a reset. */
final class StoreProxy {

    private final ServerSocket server;
    private final InetSocketAddress target;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private final Set<Socket> silent = ConcurrentHashMap.newKeySet();

    StoreProxy(InetSocketAddress target) throws IOException {
        this.target = target;
        this.server = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        Thread.ofVirtual().start(this::accept);
    }

    InetSocketAddress address() {
        return (InetSocketAddress) server.getLocalSocketAddress();
    }

    /** Forwards no more bytes of the channels that are open now. New channels work. */
    int silenceOpen() {
        silent.addAll(open);
        return open.size() / 2;
    }

    private void accept() {
        while (true) {
            try {
                Socket caller = server.accept();
                Socket called = new Socket(target.getAddress(), target.getPort());
                caller.setTcpNoDelay(true);
                called.setTcpNoDelay(true);
                open.add(caller);
                open.add(called);
                Thread.ofVirtual().start(() -> forward(caller, called));
                Thread.ofVirtual().start(() -> forward(called, caller));
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void forward(Socket from, Socket to) {
        try {
            InputStream input = from.getInputStream();
            OutputStream output = to.getOutputStream();
            byte[] bytes = new byte[8192];
            for (int count = input.read(bytes); count >= 0; count = input.read(bytes)) {
                if (!silent.contains(from)) {
                    output.write(bytes, 0, count);
                }
            }
        } catch (IOException closed) {
            // One of the two sides has closed its channel.
        }
        open.remove(from);
        if (!silent.contains(from)) {
            close(to);
        }
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException alreadyClosed) {
            // Nothing is left to close.
        }
    }
}
