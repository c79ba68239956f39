package org.merlinwood.protocol;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.wire.Frame;

/** Keeps what an exchange received, for a test to wait for. */
final class RecordingListener implements ExchangeListener {

    private final BlockingQueue<Frame> frames = new LinkedBlockingQueue<>();
    private final BlockingQueue<ResultCode> ends = new LinkedBlockingQueue<>();

    @Override
    public void onFrame(Exchange exchange, Frame frame) {
        frames.add(frame);
    }

    @Override
    public void onClosed(Exchange exchange, ResultCode code) {
        ends.add(code);
    }

    Frame nextFrame() throws InterruptedException {
        return frames.poll(EndpointPair.PATIENCE_SECONDS, TimeUnit.SECONDS);
    }

    ResultCode end() throws InterruptedException {
        return ends.poll(EndpointPair.PATIENCE_SECONDS, TimeUnit.SECONDS);
    }
}
