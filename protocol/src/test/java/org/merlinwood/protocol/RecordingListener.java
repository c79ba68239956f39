package org.merlinwood.protocol;

import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.wire.Frame;

/** Records frames and the close of an exchange, so that a test can wait for them. */
final class RecordingListener implements ExchangeListener {

    private final BlockingQueue<Frame> frames = new LinkedBlockingQueue<>();
    private final BlockingQueue<ResultCode> closeCodes = new LinkedBlockingQueue<>();

    @Override
    public void onFrame(Exchange exchange, Frame frame) {
        frames.add(frame);
    }

    @Override
    public void onClosed(Exchange exchange, ResultCode code) {
        closeCodes.add(code);
    }

    Frame nextFrame() throws InterruptedException {
        return frames.poll(EndpointPair.TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    /** Waits for a time, in milliseconds, and returns why the exchange was closed; empty if it is still open. */
    Optional<ResultCode> closeCodeWithin(long millis) throws InterruptedException {
        return Optional.ofNullable(closeCodes.poll(millis, TimeUnit.MILLISECONDS));
    }

    ResultCode closeCode() throws InterruptedException {
        return closeCodes.poll(EndpointPair.TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }
}
