package org.merlinwood.gateway.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.merlinwood.core.result.ExecutionState;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.gateway.FakeHttpClient;
import org.merlinwood.gateway.FakeUpstreamProtocol;
import org.merlinwood.gateway.fleet.Stage;
import org.merlinwood.gateway.fleet.UpstreamInstance;
import org.merlinwood.http.HttpRequest;

final class UpstreamClientTest {

    private static final InetSocketAddress ADDRESS = new InetSocketAddress("127.0.0.1", 1);
    private static final UpstreamInstance INSTANCE =
            new UpstreamInstance("i-1", "service", ADDRESS, "near", 4, false, Stage.DECODE, 7, "v1");
    private static final long DECLINED_MILLIS = 2_000;

    private final FakeHttpClient httpClient = new FakeHttpClient();
    private final List<InstanceNotice> notices = new ArrayList<>();
    private final UpstreamClient client =
            new UpstreamClient(httpClient, new FakeUpstreamProtocol(), new NoticeCollector());

    private final class NoticeCollector implements InstanceListener {

        @Override
        public void onSend(UpstreamInstance instance, HttpRequest request) {
            assertThat(notices).isEmpty();
        }

        @Override
        public void onNotice(UpstreamInstance instance, InstanceNotice notice) {
            notices.add(notice);
        }
    }

    /** Guards against a named time that is lost because the body of its response is cut, malformed or without end. */
    @Test
    void noticeOfACollectedResponseIsReadBeforeItsBody() {
        List<ResultCode> failures = new ArrayList<>();
        HttpRequest request = HttpRequest.of("POST", ADDRESS, "/reserve", new byte[0]);
        client.execute(INSTANCE, request, result -> result.peekLeft(failure -> failures.add(failure.code())));
        httpClient.last().head(503, FakeUpstreamProtocol.declined(DECLINED_MILLIS));
        assertThat(notices).containsExactly(new InstanceNotice(false, OptionalLong.of(DECLINED_MILLIS)));
        httpClient.last().bytes("{");
        httpClient.last().fail(ResultCode.UPSTREAM_TRUNCATED, ExecutionState.UNKNOWN);
        assertThat(notices).hasSize(1);
        assertThat(failures).containsExactly(ResultCode.UPSTREAM_TRUNCATED);
    }
}
