package org.merlinwood.gateway.process;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.util.OptionalLong;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.merlinwood.core.time.ManualMillisClock;
import org.merlinwood.gateway.decision.InstanceNotices;
import org.merlinwood.gateway.fleet.FleetState;
import org.merlinwood.gateway.fleet.Stage;
import org.merlinwood.gateway.fleet.UpstreamInstance;
import org.merlinwood.gateway.upstream.InstanceNotice;
import org.merlinwood.http.HttpRequest;
import org.merlinwood.operation.log.DecisionLog;

final class InstanceNoticeRecorderTest {

    private static final InetSocketAddress ADDRESS = new InetSocketAddress("127.0.0.1", 1);
    private static final UpstreamInstance INSTANCE =
            new UpstreamInstance("i-1", "service", ADDRESS, "near", 4, false, Stage.PLAIN, 7, "v1");
    private static final long DECLINED_MILLIS = 3_000;

    private final ManualMillisClock clock = new ManualMillisClock(5_000);
    private final MetricRegistry metrics = new MetricRegistry();
    private final InstanceNoticeRecorder recorder = new InstanceNoticeRecorder(
            new InstanceNotices(new FleetState(), clock),
            new DecisionLog("entry", clock, new PrintStream(OutputStream.nullOutputStream())),
            metrics);

    /** Guards against requests during a named time that neither logs nor metrics show. */
    @ParameterizedTest
    @CsvSource({"0, 1", "2999, 1", "4000, 0"})
    void requestDuringANamedTimeIsCounted(long afterMillis, long counted) {
        recorder.onNotice(INSTANCE, new InstanceNotice(false, OptionalLong.of(DECLINED_MILLIS)));
        clock.advanceMillis(afterMillis);
        recorder.onSend(INSTANCE, HttpRequest.of("POST", ADDRESS, "/p/x", new byte[0]));
        assertThat(metrics.counter("requests_to_declining_instances").getCount())
                .isEqualTo(counted);
    }
}
