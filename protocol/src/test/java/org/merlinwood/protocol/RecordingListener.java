package org.merlinwood.protocol;

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

    ResultCode closeCode() throws InterruptedException {
        return closeCodes.poll(EndpointPair.TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }
}
