package org.merlinwood.standin.network;

import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicInteger;
import org.merlinwood.standin.impl.Sleep;

/** One forwarded connection: two threads, each copying one way. Thread-safe. */
final class ForwardedConnection {

    private static final int BUFFER_BYTES = 16 * 1024;
    private static final int WAYS = 2;

    private final Forwarder forwarder;
    private final Socket accepted;
    private final Socket outward;
    private final AtomicInteger waysOpen = new AtomicInteger(WAYS);
    private volatile boolean silentToTarget;
    private volatile boolean silentFromTarget;

    ForwardedConnection(Forwarder forwarder, Socket accepted, Socket outward) {
        this.forwarder = forwarder;
        this.accepted = accepted;
        this.outward = outward;
    }

    void start() {
        Thread.ofVirtual().start(() -> copy(accepted, outward, ForwardingDirection.TO_TARGET));
        Thread.ofVirtual().start(() -> copy(outward, accepted, ForwardingDirection.FROM_TARGET));
    }

    void silence(ForwardingDirection way) {
        silentToTarget |= way.includes(ForwardingDirection.TO_TARGET);
        silentFromTarget |= way.includes(ForwardingDirection.FROM_TARGET);
    }

    void close() {
        closeQuietly(accepted);
        closeQuietly(outward);
        forwarder.ended(this);
    }

    private void copy(Socket from, Socket to, ForwardingDirection way) {
        byte[] buffer = new byte[BUFFER_BYTES];
        try {
            InputStream input = from.getInputStream();
            OutputStream output = to.getOutputStream();
            int count;
            while ((count = input.read(buffer)) >= 0) {
                Sleep.millis(forwarder.delayMillis(way));
                if (!isSilent(way)) {
                    output.write(buffer, 0, count);
                }
            }
            if (!isSilent(way)) {
                to.shutdownOutput();
            }
            endWay(false);
        } catch (IOException | InterruptedException exception) {
            endWay(true);
        }
    }

    private boolean isSilent(ForwardingDirection way) {
        return way == ForwardingDirection.TO_TARGET ? silentToTarget : silentFromTarget;
    }

    private void endWay(boolean broken) {
        boolean silent = silentToTarget || silentFromTarget;
        if (waysOpen.decrementAndGet() == 0 || (broken && !silent)) {
            close();
        }
    }

    static void closeQuietly(Closeable closeable) {
        try {
            closeable.close();
        } catch (IOException exception) {
            // Nothing is left to be done with a socket that can't be closed.
        }
    }
}
