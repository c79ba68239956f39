package org.merlinwood.sidecar;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.protocol.Exchange;
import org.merlinwood.protocol.ExchangeListener;
import org.merlinwood.protocol.PeerConnection;
import org.merlinwood.wire.Frame;

/** The entry's side of one exchange: records received frames and waits for them. */
final class ProbeExchange implements ExchangeListener {

    static final int TIMEOUT_SECONDS = 20;

    private final BlockingQueue<Frame> frames = new LinkedBlockingQueue<>();
    private final Exchange exchange;

    ProbeExchange(PeerConnection connection) {
        this.exchange = connection.open(this);
    }

    ProbeExchange send(Frame.Builder frame) {
        exchange.send(frame);
        return this;
    }

    /** Returns the next frame; fails after {@value #TIMEOUT_SECONDS} seconds. */
    Frame next() throws InterruptedException {
        Frame frame = frames.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        if (frame == null) {
            throw new AssertionError("no frame arrived within " + TIMEOUT_SECONDS + " s");
        }
        return frame;
    }

    /** Returns all frames up to and including the one that ends the exchange. */
    List<Frame> untilEnd() throws InterruptedException {
        List<Frame> received = new ArrayList<>();
        Frame frame;
        do {
            frame = next();
            received.add(frame);
        } while (!isEnd(frame));
        return received;
    }

    /** Tells whether a frame arrives within the given time. */
    boolean receivesWithin(long millis) throws InterruptedException {
        Frame frame = frames.poll(millis, TimeUnit.MILLISECONDS);
        return frame != null;
    }

    private static boolean isEnd(Frame frame) {
        return switch (frame.getBodyCase()) {
            case ANSWER_END, REFUSED, PREFILL_DONE -> true;
            default -> false;
        };
    }

    @Override
    public void onFrame(Exchange ignored, Frame frame) {
        frames.add(frame);
    }

    @Override
    public void onClosed(Exchange ignored, ResultCode code) {}
}
