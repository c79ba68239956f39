package org.merlinwood.proving.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.merlinwood.core.result.Failure;
import org.merlinwood.http.HttpClient;
import org.merlinwood.http.HttpResponse;
import org.merlinwood.platform.standin.CallerCalls;
import org.merlinwood.platform.standin.CrashingPart;
import org.merlinwood.platform.standin.InstanceCrash;
import org.merlinwood.platform.standin.RunLedger;
import org.merlinwood.platform.standin.StandInInstance;
import org.merlinwood.standin.network.FreePorts;

/** The stand-in instance crashes as the instances of the platform do when a part of a prompt makes them. */
final class CrashingPartInstanceTest {

    private static final String PART = "dd";
    private static final long DOWN_MILLIS = 300;
    private static final long TIMEOUT_SECONDS = 10;

    private final FreePorts ports = new FreePorts();
    private final RunLedger ledger = new RunLedger();
    private final InetSocketAddress address = ports.next();
    private final StandInInstance instance =
            new StandInInstance("instance", StandInInstance.Stage.DECODE, address, ledger);
    private final HttpClient client = HttpClient.create("test", 1);
    private final CountDownLatch restarted = new CountDownLatch(1);

    @AfterEach
    void close() {
        instance.close();
        client.close();
    }

    @Test
    void partCrashesInstanceWithAllItsResponsesUntilItServesUnderNewStart() throws Exception {
        instance.crashingPart(Optional.of(new CrashingPart(PART, DOWN_MILLIS, restarted::countDown)));
        CompletionStage<Either<Failure, HttpResponse>> beside = send("a1", "aa");
        assertThat(send("a2", "aa", PART)
                        .toCompletableFuture()
                        .get(TIMEOUT_SECONDS, TimeUnit.SECONDS)
                        .isLeft())
                .isTrue();
        assertThat(beside.toCompletableFuture()
                        .get(TIMEOUT_SECONDS, TimeUnit.SECONDS)
                        .isLeft())
                .isTrue();
        assertThat(ledger.crashes()).extracting(InstanceCrash::attempt).containsExactly("a2");
        assertThat(restarted.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
        assertThat(body(send("a3", "aa"))).isEqualTo(CallerCalls.completeResponse(CallerCalls.Kind.STREAM, "a3"));
        assertThat(ledger.arrivals().getLast().start()).isEqualTo(2);
    }

    @Test
    void partHasNoEffectAsLastOne() throws Exception {
        String own = Integer.toHexString("a1".hashCode());
        instance.crashingPart(Optional.of(new CrashingPart(own, DOWN_MILLIS, restarted::countDown)));
        assertThat(body(send("a1", "aa"))).isEqualTo(CallerCalls.completeResponse(CallerCalls.Kind.STREAM, "a1"));
        assertThat(ledger.crashes()).isEmpty();
    }

    private CompletionStage<Either<Failure, HttpResponse>> send(String attempt, String... sharedParts) {
        return client.execute(CallerCalls.stream(address, attempt, List.of(sharedParts)));
    }

    private static String body(CompletionStage<Either<Failure, HttpResponse>> response) throws Exception {
        CompletableFuture<Either<Failure, HttpResponse>> future = response.toCompletableFuture();
        return future.get(TIMEOUT_SECONDS, TimeUnit.SECONDS).get().text();
    }
}
