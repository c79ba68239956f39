package org.merlinwood.sidecar;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.merlinwood.configuration.inventory.InstanceState;
import org.merlinwood.configuration.settings.SidecarSettings;
import org.merlinwood.core.identity.IdempotencyKey;
import org.merlinwood.core.identity.InstanceName;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.decision.idempotency.KeyHome;
import org.merlinwood.protocol.PeerConnection;
import org.merlinwood.protocol.PeerEndpoint;
import org.merlinwood.standin.plain.PlainService;
import org.merlinwood.standin.platform.ConfigurationService;
import org.merlinwood.wire.Frame;
import org.merlinwood.wire.WorkKind;

/** Key tables are handed over between sidecars, so that keys stay valid across planned changes. */
final class HandoverTest {

    /** The clock bound of the rules: a key created after this delay is provably younger than the processes. */
    private static final long CLOCK_BOUND_MILLIS = 1_000;

    private final ConfigurationService configuration =
            new ConfigurationService(SidecarFixture.ANY_PORT, SidecarFixture.ANY_PORT, 2_000, 10_000);
    private final List<AutoCloseable> open = new ArrayList<>();
    private final PeerEndpoint entry = SidecarFixture.entry();
    private final List<PlainService> services = new ArrayList<>();
    private final List<SidecarSettings> settings = new ArrayList<>();
    private SidecarProcess first;

    @BeforeEach
    void start() throws Exception {
        for (int number = 1; number <= 2; number++) {
            PlainService service = new PlainService(
                    SidecarFixture.ANY_PORT,
                    SidecarFixture.ANY_PORT,
                    "ledger",
                    4,
                    Optional.empty(),
                    PlainService.CrashMode.CLOSE_SERVER);
            services.add(service);
            settings.add(SidecarFixture.settings("ledger-" + number, service.address(), configuration));
        }
        configuration.publish("rules", SidecarFixture.plainRules());
    }

    @AfterEach
    void close() throws Exception {
        for (AutoCloseable each : open) {
            each.close();
        }
        entry.close();
        for (PlainService service : services) {
            service.close();
        }
        configuration.close();
    }

    @Test
    void plannedRestartKeepsStoredResponses() throws Exception {
        publish(settings);
        first = start(settings.get(0));
        start(settings.get(1));
        IdempotencyKey key = createYoungKey("ledger-1", "ledger-1", "ledger-2");
        postBookingOnceGranted(first, key);
        first.drain();
        first.close();
        SidecarProcess successor = start(settings.get(0));
        List<Frame> replayed = postBookingOnceGranted(successor, key);
        assertThat(replayed.getFirst().getAnswerHead().getReplayed()).isTrue();
        assertThat(services.get(0).ledger().runs()).hasSize(1);
    }

    @Test
    void movedKeyIsAnsweredFromTableOfOldHome() throws Exception {
        publish(settings.subList(0, 1));
        first = start(settings.get(0));
        SidecarProcess second = start(settings.get(1));
        IdempotencyKey key = createYoungKey("ledger-2", "ledger-1", "ledger-2");
        postBookingOnceGranted(first, key);
        publish(settings);
        List<Frame> replayed = postBookingOnceGranted(second, key);
        assertThat(replayed.getFirst().getAnswerHead().getReplayed()).isTrue();
        assertThat(services.get(0).ledger().runs()).hasSize(1);
        assertThat(services.get(1).ledger().runs()).isEmpty();
    }

    @Test
    void movedKeyIsWithheldWhileOldHomeIsUnavailable() throws Exception {
        publish(settings.subList(0, 1));
        first = start(settings.get(0));
        SidecarProcess second = start(settings.get(1));
        IdempotencyKey key = createYoungKey("ledger-2", "ledger-1", "ledger-2");
        postBookingOnceGranted(first, key);
        first.close();
        publish(settings);
        SidecarFixture.await(() -> second.state().inventoryRevision() == 2);
        SidecarFixture.await(second::isReady);
        assertThat(requestGrant(second, key).getRefused().getCode())
                .isEqualTo(ResultCode.KEY_WITHHELD_FOR_HANDOVER.number());
        assertThat(services.get(1).ledger().runs()).isEmpty();
    }

    private void publish(List<SidecarSettings> listed) {
        configuration.publish("inventory", SidecarFixture.inventoryOf(listed, InstanceState.ACTIVE));
    }

    private SidecarProcess start(SidecarSettings each) {
        SidecarProcess process = new SidecarProcess(each, () -> {});
        open.add(process);
        process.start();
        return process;
    }

    /** Creates a version 7 UUID that is younger than the processes and has the given home among the instances. */
    private static IdempotencyKey createYoungKey(String home, String... names) throws InterruptedException {
        Thread.sleep(CLOCK_BOUND_MILLIS);
        long wallMillis = System.currentTimeMillis() + 1;
        return IntStream.range(0, 1_000)
                .mapToObj(number -> new UUID(wallMillis << 16 | 0x7000 | number, 0x8000_0000_0000_0001L))
                .map(uuid -> new IdempotencyKey(uuid.toString()))
                .filter(key -> KeyHome.among(
                                key, Stream.of(names).map(InstanceName::new).collect(Collectors.toSet()))
                        .orElseThrow()
                        .value()
                        .equals(home))
                .findFirst()
                .orElseThrow();
    }

    private List<Frame> postBookingOnceGranted(SidecarProcess process, IdempotencyKey key) throws Exception {
        SidecarFixture.await(() -> requestGrant(process, key).hasGranted());
        ProbeExchange exchange = new ProbeExchange(connect(process)).send(grantRequestFrame(key, 2));
        return exchange.send(EntryFrames.plain(exchange.next().getGranted(), 2, "POST", "/bookings", ""))
                .untilEnd();
    }

    private Frame requestGrant(SidecarProcess process, IdempotencyKey key) {
        try {
            ProbeExchange exchange = new ProbeExchange(connect(process)).send(grantRequestFrame(key, 1));
            Frame response = exchange.next();
            exchange.send(EntryFrames.cancel(1));
            return response;
        } catch (Exception exception) {
            throw new IllegalStateException(exception);
        }
    }

    private PeerConnection connect(SidecarProcess process) throws Exception {
        return entry.connect(process.peerAddress())
                .toCompletableFuture()
                .get(ProbeExchange.TIMEOUT_SECONDS, TimeUnit.SECONDS)
                .get();
    }

    private static Frame.Builder grantRequestFrame(IdempotencyKey key, long request) {
        return Frame.newBuilder()
                .setGrantRequest(EntryFrames.grantRequestBuilder(WorkKind.PLAIN, request)
                        .setNonIdempotent(true)
                        .setCaller(SidecarFixture.CALLER.value())
                        .setFingerprint(ByteString.copyFromUtf8("booking"))
                        .setIdempotencyKey(key.value()));
    }
}
