package org.merlinwood.benchmarks;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.concurrent.TimeUnit;
import org.merlinwood.wire.Frame;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Level;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** Measures encoding and decoding of frames between processes. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 300, timeUnit = TimeUnit.MILLISECONDS)
@Measurement(iterations = 3, time = 500, timeUnit = TimeUnit.MILLISECONDS)
@Fork(1)
public class FrameBenchmark {

    /** Name of the frame. */
    @Param({
        "GrantRequest (decode)",
        "GrantRequest (prefill, 22 blocks)",
        "Granted",
        "ExecutePrefill (prompt of 22 KiB)",
        "AnswerPart (1 token)",
        "Heartbeat"
    })
    public String frame;

    private Frame message;
    private byte[] bytes;

    /** Creates the frame and its encoded form. */
    @Setup(Level.Trial)
    public void choose() {
        message = SampleFrames.all().get(frame);
        bytes = message.toByteArray();
    }

    /**
     * Encodes a frame.
     *
     * @return the encoded frame
     */
    @Benchmark
    public byte[] encode() {
        return message.toBuilder().build().toByteArray();
    }

    /**
     * Decodes a frame.
     *
     * @return the frame
     * @throws InvalidProtocolBufferException never, since it was encoded here
     */
    @Benchmark
    public Frame decode() throws InvalidProtocolBufferException {
        return Frame.parseFrom(bytes);
    }
}
