package org.merlinwood.standin.network;

import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicInteger;
import org.merlinwood.standin.impl.Sleep;

/** One forwarded connection: two virtual threads, each of which copies bytes in one direction. Thread-safe. */
final class ForwardedConnection {

    private static final int BUFFER_BYTES = 16 * 1024;
    private static final int DIRECTIONS = 2;

    private final Forwarder forwarder;
    private final Socket accepted;
    private final Socket outbound;
    private final AtomicInteger openDirections = new AtomicInteger(DIRECTIONS);
    private volatile boolean silentToTarget;
    private volatile boolean silentFromTarget;

    ForwardedConnection(Forwarder forwarder, Socket accepted, Socket outbound) {
        this.forwarder = forwarder;
        this.accepted = accepted;
        this.outbound = outbound;
    }

    void start() {
        Thread.ofVirtual().start(() -> copy(accepted, outbound, ForwardingDirection.TO_TARGET));
        Thread.ofVirtual().start(() -> copy(outbound, accepted, ForwardingDirection.FROM_TARGET));
    }

    /** Discards all further bytes of a direction, for the rest of the connection. */
    void silence(ForwardingDirection direction) {
        silentToTarget |= direction.includes(ForwardingDirection.TO_TARGET);
        silentFromTarget |= direction.includes(ForwardingDirection.FROM_TARGET);
    }

    void close() {
        closeQuietly(accepted);
        closeQuietly(outbound);
        forwarder.onClosed(this);
    }

    private void copy(Socket from, Socket to, ForwardingDirection direction) {
        byte[] buffer = new byte[BUFFER_BYTES];
        try {
            InputStream input = from.getInputStream();
            OutputStream output = to.getOutputStream();
            int count;
            while ((count = input.read(buffer)) >= 0) {
                Sleep.millis(forwarder.delayMillis(direction));
                if (!isSilent(direction)) {
                    output.write(buffer, 0, count);
                }
            }
            if (!isSilent(direction)) {
                to.shutdownOutput();
            }
            endDirection(false);
        } catch (IOException | InterruptedException exception) {
            endDirection(true);
        }
    }

    private boolean isSilent(ForwardingDirection direction) {
        return direction == ForwardingDirection.TO_TARGET ? silentToTarget : silentFromTarget;
    }

    private void endDirection(boolean broken) {
        boolean silent = silentToTarget || silentFromTarget;
        if (openDirections.decrementAndGet() == 0 || (broken && !silent)) {
            close();
        }
    }

    static void closeQuietly(Closeable closeable) {
        try {
            closeable.close();
        } catch (IOException exception) {
            // A socket that fails to close needs no further handling.
        }
    }
}
