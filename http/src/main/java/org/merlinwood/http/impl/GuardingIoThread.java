package org.merlinwood.http.impl;

import java.net.SocketAddress;
import java.util.concurrent.TimeUnit;
import org.xnio.ChannelListener;
import org.xnio.ChannelListeners;
import org.xnio.IoFuture;
import org.xnio.OptionMap;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;

/**
 * Opens one connection on an I/O thread and inserts a {@link ResponseGuard} into it before Undertow's client connection
 * takes it over, which has no hook for that. Itself never started as a thread.
 */
final class GuardingIoThread extends XnioIoThread {

    private final XnioIoThread thread;
    private ResponseGuard guard;

    GuardingIoThread(XnioIoThread thread) {
        super(thread.getWorker(), thread.getNumber());
        this.thread = thread;
    }

    /** Returns the guard of the connection. Called on the I/O thread, once the connection is open. */
    ResponseGuard guard() {
        return guard;
    }

    @Override
    public IoFuture<StreamConnection> openStreamConnection(
            SocketAddress destination, ChannelListener<? super StreamConnection> openListener, OptionMap options) {
        return thread.openStreamConnection(
                destination,
                connection -> {
                    guard = ResponseGuard.insert(connection);
                    ChannelListeners.invokeChannelListener(connection, openListener);
                },
                options);
    }

    @Override
    public void execute(Runnable command) {
        thread.execute(command);
    }

    @Override
    public Key executeAfter(Runnable command, long time, TimeUnit unit) {
        return thread.executeAfter(command, time, unit);
    }

    @Override
    public Key executeAtInterval(Runnable command, long time, TimeUnit unit) {
        return thread.executeAtInterval(command, time, unit);
    }
}
