package org.merlinwood.entry;

import com.google.protobuf.ByteString;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;
import org.merlinwood.configuration.inventory.Instance;
import org.merlinwood.configuration.inventory.InstanceRole;
import org.merlinwood.configuration.inventory.InstanceState;
import org.merlinwood.configuration.inventory.NetworkAddress;
import org.merlinwood.configuration.inventory.OrderFencing;
import org.merlinwood.core.identity.FailureDomain;
import org.merlinwood.core.identity.Incarnation;
import org.merlinwood.core.identity.InstanceName;
import org.merlinwood.core.identity.ModelName;
import org.merlinwood.core.identity.ServiceName;
import org.merlinwood.core.result.Failure;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.protocol.AuthenticationKey;
import org.merlinwood.protocol.Exchange;
import org.merlinwood.protocol.ExchangeListener;
import org.merlinwood.protocol.PeerEndpoint;
import org.merlinwood.protocol.PeerIdentity;
import org.merlinwood.protocol.PeerRole;
import org.merlinwood.protocol.WireValues;
import org.merlinwood.wire.AnswerEnd;
import org.merlinwood.wire.AnswerHead;
import org.merlinwood.wire.AnswerPart;
import org.merlinwood.wire.CacheHandle;
import org.merlinwood.wire.ExecuteDecode;
import org.merlinwood.wire.Frame;
import org.merlinwood.wire.GrantUse;
import org.merlinwood.wire.Granted;
import org.merlinwood.wire.Header;
import org.merlinwood.wire.Load;
import org.merlinwood.wire.PrefillDone;
import org.merlinwood.wire.Queued;
import org.merlinwood.wire.RequestIdentity;

/** Sidecar that grants and executes every request. Tests override single steps to make them fail. */
class FakeSidecar implements AutoCloseable {

    static final List<String> TOKENS = List.of("one", " two", " three", " four");

    final List<Frame> received = new CopyOnWriteArrayList<>();
    final AtomicLong lostConnections = new AtomicLong();
    final InstanceName name;
    final InstanceRole role;
    final long incarnation;
    final PeerEndpoint endpoint;
    private final AtomicLong grants = new AtomicLong();

    FakeSidecar(String name, InstanceRole role) {
        this.name = new InstanceName(name);
        this.role = role;
        this.incarnation = name.hashCode();
        this.endpoint = PeerEndpoint.builder()
                .identity(new PeerIdentity(this.name, new Incarnation(incarnation), PeerRole.SIDECAR))
                .keys(List.of(new AuthenticationKey(1, EntryFixture.SECRET)))
                .threads(1)
                .listenAddress(new InetSocketAddress("127.0.0.1", 0))
                .acceptor(Frame.BodyCase.GRANT_REQUEST, this::accept)
                .acceptor(Frame.BodyCase.CANCEL, this::accept)
                .build();
        endpoint.start();
    }

    Instance instance() {
        boolean isPlain = role == InstanceRole.PLAIN;
        return new Instance(
                name,
                new NetworkAddress("127.0.0.1", endpoint.boundAddress().getPort()),
                new FailureDomain("lalitpur"),
                "valley",
                new ServiceName(isPlain ? "ledger" : "summary"),
                role,
                isPlain ? List.of() : List.of(new ModelName("model")),
                isPlain ? 0 : 20,
                isPlain ? 4 : 0,
                OrderFencing.CHECKED,
                InstanceState.ACTIVE);
    }

    long count(Frame.BodyCase kind) {
        return received.stream().filter(frame -> frame.getBodyCase() == kind).count();
    }

    // ------------------------------------------------------------------ steps to override

    void onGrantRequest(Exchange exchange, Frame frame) {
        grant(exchange);
    }

    void onPrefill(Exchange exchange, GrantUse use) {
        prefillDone(exchange, use.getRequest());
    }

    void onDecode(Exchange exchange, ExecuteDecode execute) {
        RequestIdentity request = execute.getUse().getRequest();
        for (int offset = execute.getTokensSoFarCount(); offset < TOKENS.size(); offset++) {
            part(exchange, request, offset, TOKENS.get(offset));
        }
        end(exchange, request, TOKENS.size());
    }

    void onPlain(Exchange exchange, GrantUse use, ByteString body) {
        plainResponse(exchange, use.getRequest(), "{\"ran\":true}");
    }

    void onCancel(Exchange exchange) {
        exchange.finish();
    }

    void onClosed() {}

    // ------------------------------------------------------------------ responses sent by steps

    final void grant(Exchange exchange) {
        exchange.send(Frame.newBuilder()
                .setGranted(Granted.newBuilder()
                        .setGrant(grants.incrementAndGet())
                        .setIncarnation(incarnation)
                        .setExpiresInMillis(5_000)
                        .setLoad(Load.newBuilder().setFreePieces(10).setTotalPieces(20))));
    }

    final void queued(Exchange exchange) {
        exchange.send(Frame.newBuilder().setQueued(Queued.newBuilder().setExpectedWaitMillis(1_000)));
    }

    final void refuse(Exchange exchange, Failure failure) {
        exchange.send(Frame.newBuilder().setRefused(WireValues.toRefused(failure)));
        exchange.finish();
    }

    final void prefillDone(Exchange exchange, RequestIdentity request) {
        exchange.send(Frame.newBuilder()
                .setPrefillDone(PrefillDone.newBuilder()
                        .setRequest(request)
                        .setCache(CacheHandle.newBuilder().setHandle("cache-of-" + name))));
        exchange.finish();
    }

    final void part(Exchange exchange, RequestIdentity request, int offset, String... tokens) {
        exchange.send(Frame.newBuilder()
                .setAnswerPart(AnswerPart.newBuilder()
                        .setRequest(request)
                        .setIncarnation(incarnation)
                        .setOffset(offset)
                        .addAllTokens(List.of(tokens))));
    }

    final void end(Exchange exchange, RequestIdentity request, int length) {
        exchange.send(Frame.newBuilder()
                .setAnswerEnd(AnswerEnd.newBuilder()
                        .setRequest(request)
                        .setIncarnation(incarnation)
                        .setLength(length)
                        .setFinishReason("stop")));
        exchange.finish();
    }

    final void fail(Exchange exchange, RequestIdentity request, Failure failure) {
        exchange.send(Frame.newBuilder()
                .setAnswerEnd(AnswerEnd.newBuilder()
                        .setRequest(request)
                        .setIncarnation(incarnation)
                        .setCode(failure.code().number())
                        .setDetail(failure.detail())
                        .setExecution(WireValues.toWire(failure.executionState()))
                        .setRetryAfterMillis(failure.retryAfterMillis())));
        exchange.finish();
    }

    final void plainResponse(Exchange exchange, RequestIdentity request, String body) {
        exchange.send(Frame.newBuilder()
                .setAnswerHead(AnswerHead.newBuilder()
                        .setRequest(request)
                        .setIncarnation(incarnation)
                        .setStatus(201)
                        .addHeaders(Header.newBuilder().setName("Content-Type").setValue("application/json"))));
        exchange.send(Frame.newBuilder()
                .setAnswerPart(AnswerPart.newBuilder()
                        .setRequest(request)
                        .setIncarnation(incarnation)
                        .setBody(ByteString.copyFromUtf8(body))));
        end(exchange, request, body.length());
    }

    @Override
    public void close() {
        endpoint.close();
    }

    // ------------------------------------------------------------------ internals

    private ExchangeListener accept(Exchange exchange, Frame first) {
        received.add(first);
        if (first.hasGrantRequest()) {
            onGrantRequest(exchange, first);
        } else {
            exchange.finish();
        }
        return new ExchangeListener() {
            @Override
            public void onFrame(Exchange source, Frame frame) {
                received.add(frame);
                handleFrame(source, frame);
            }

            @Override
            public void onClosed(Exchange source, ResultCode code) {
                lostConnections.incrementAndGet();
                FakeSidecar.this.onClosed();
            }
        };
    }

    private void handleFrame(Exchange exchange, Frame frame) {
        switch (frame.getBodyCase()) {
            case EXECUTE_PREFILL ->
                onPrefill(exchange, frame.getExecutePrefill().getUse());
            case EXECUTE_DECODE -> onDecode(exchange, frame.getExecuteDecode());
            case EXECUTE_PLAIN ->
                onPlain(
                        exchange,
                        frame.getExecutePlain().getUse(),
                        frame.getExecutePlain().getBody());
            case RELEASE -> exchange.finish();
            case CANCEL -> onCancel(exchange);
            default -> throw new IllegalStateException("unexpected frame " + frame.getBodyCase());
        }
    }
}
