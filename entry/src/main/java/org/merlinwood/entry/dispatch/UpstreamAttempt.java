package org.merlinwood.entry.dispatch;

import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.Future;
import java.util.function.Function;
import org.merlinwood.configuration.inventory.Instance;
import org.merlinwood.configuration.inventory.InstanceRole;
import org.merlinwood.core.result.ExecutionState;
import org.merlinwood.core.result.Failure;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.entry.machine.RequestEvent;
import org.merlinwood.operation.control.ControlLoop;
import org.merlinwood.protocol.Exchange;
import org.merlinwood.protocol.ExchangeListener;
import org.merlinwood.protocol.PeerConnection;
import org.merlinwood.protocol.PeerEndpoint;
import org.merlinwood.protocol.WireValues;
import org.merlinwood.wire.Cancel;
import org.merlinwood.wire.Frame;
import org.merlinwood.wire.GrantRequest;
import org.merlinwood.wire.GrantUse;
import org.merlinwood.wire.Granted;
import org.merlinwood.wire.Load;
import org.merlinwood.wire.Refused;
import org.merlinwood.wire.Release;
import org.merlinwood.wire.RequestIdentity;
import org.merlinwood.wire.RevisionPair;

/**
 * One attempt at one sidecar: the grant that is asked for, and what is executed under it.
 *
 * <p>Begins with {@link #start}, ends with the sidecar's last frame, a lost connection, {@link #release()} or
 * {@link #cancel}. All methods are called on the control thread; frames come on event loops and are handed over, except
 * for the parts of an answer, which go straight to the listener.
 */
final class UpstreamAttempt implements ExchangeListener {

    /** How long a sidecar may take until it says anything about a grant. */
    static final long GRANT_ANSWER_TIMEOUT_MILLIS = 750;

    /** How long past its own wait a queued grant is waited for, and a cancelled attempt is kept to give grants back. */
    static final long GRACE_MILLIS = 1_000;

    private static final ExchangeListener IGNORING = new ExchangeListener() {
        @Override
        public void onFrame(Exchange exchange, Frame frame) {}

        @Override
        public void onClosed(Exchange exchange, ResultCode code) {}
    };

    private final int number;
    private final InstanceRole role;
    private final Instance instance;
    private final RequestIdentity identity;
    private final PeerEndpoint endpoint;
    private final ControlLoop control;
    private final EntryMetrics metrics;
    private final AttemptListener listener;
    private Function<PeerConnection, GrantRequest> grantRequest;
    private volatile Exchange exchange;
    private Future<?> timer;
    private Phase phase = Phase.ASKING;
    private GrantUse grantUse = GrantUse.getDefaultInstance();
    private long grantExpiresInMillis;
    private long waitMillis;

    /** How far the attempt is. */
    enum Phase {
        ASKING,
        QUEUED,
        GRANTED,
        EXECUTING,
        CANCELLED,
        ENDED
    }

    // ------------------------------------------------------------------ life-cycle

    UpstreamAttempt(
            int number,
            InstanceRole role,
            Instance instance,
            RequestIdentity identity,
            PeerEndpoint endpoint,
            ControlLoop control,
            EntryMetrics metrics,
            AttemptListener listener) {
        this.number = number;
        this.role = role;
        this.instance = instance;
        this.identity = identity;
        this.endpoint = endpoint;
        this.control = control;
        this.metrics = metrics;
        this.listener = listener;
    }

    /**
     * Asks for the grant.
     *
     * @param request makes the message once it is known which life of the sidecar is asked
     * @param maximumWaitMillis how long the sidecar may let the grant wait, in milliseconds
     */
    void start(Function<PeerConnection, GrantRequest> request, long maximumWaitMillis) {
        grantRequest = request;
        waitMillis = maximumWaitMillis;
        connect();
    }

    // ------------------------------------------------------------------ public API

    int number() {
        return number;
    }

    InstanceRole role() {
        return role;
    }

    Instance instance() {
        return instance;
    }

    Phase phase() {
        return phase;
    }

    GrantUse grantUse() {
        return grantUse;
    }

    long grantExpiresInMillis() {
        return grantExpiresInMillis;
    }

    boolean isOpen() {
        return phase != Phase.ENDED && phase != Phase.CANCELLED;
    }

    /** Executes under the grant. From now on the call may run, unless the transport says that nothing was sent. */
    void execute(Frame.Builder frame) {
        phase = Phase.EXECUTING;
        if (!exchange.send(frame)) {
            lose(Failure.of(ResultCode.CONNECTION_LOST, "the connection closed before execute")
                    .withExecutionState(ExecutionState.NOT_RUN));
        }
    }

    /** Gives back a grant that was not used. */
    void release() {
        sendRelease(grantUse.getGrant());
        end();
    }

    /** Ends the attempt whatever its phase; a grant that still arrives is given back. */
    void cancel(ResultCode reason) {
        if (!isOpen()) {
            return;
        }
        stopTimer();
        if (exchange == null) {
            end();
            return;
        }
        phase = Phase.CANCELLED;
        exchange.send(cancelFrame(reason));
        timer = control.schedule(waitMillis + GRACE_MILLIS, this::end);
    }

    @Override
    public void onFrame(Exchange source, Frame frame) {
        switch (frame.getBodyCase()) {
            case ANSWER_HEAD -> listener.onHead(this, frame.getAnswerHead());
            case ANSWER_PART -> listener.onPart(this, frame.getAnswerPart());
            default -> control.execute(() -> received(source, frame));
        }
    }

    @Override
    public void onClosed(Exchange source, ResultCode code) {
        control.execute(() -> closed(source, code));
    }

    // ------------------------------------------------------------------ internals: connecting

    private void connect() {
        timer = control.schedule(GRANT_ANSWER_TIMEOUT_MILLIS, this::answerTimedOut);
        var unused =
                endpoint.connect(address()).whenComplete((result, none) -> control.execute(() -> connected(result)));
    }

    private void connected(Either<Failure, PeerConnection> result) {
        if (phase != Phase.ASKING) {
            return;
        }
        if (result.isLeft()) {
            lose(result.getLeft());
            return;
        }
        PeerConnection connection = result.get();
        exchange = connection.open(this);
        exchange.send(Frame.newBuilder().setGrantRequest(grantRequest.apply(connection)));
    }

    /** A connection that does not answer is closed; that it has closed ends the attempt. */
    private void answerTimedOut() {
        if (phase != Phase.ASKING) {
            return;
        }
        if (exchange == null) {
            lose(Failure.of(ResultCode.UPSTREAM_UNREACHABLE, "no connection to the sidecar in time"));
            return;
        }
        metrics.silentConnection();
        exchange.connection().close(ResultCode.PEER_SILENT);
    }

    // ------------------------------------------------------------------ internals: frames

    private void received(Exchange source, Frame frame) {
        if (!source.equals(exchange) || phase == Phase.ENDED) {
            metrics.droppedFrame();
            return;
        }
        if (phase == Phase.CANCELLED) {
            receivedAfterCancel(frame);
            return;
        }
        switch (frame.getBodyCase()) {
            case GRANTED -> granted(frame.getGranted());
            case QUEUED -> {
                if (phase == Phase.ASKING) {
                    phase = Phase.QUEUED;
                    restartTimer(waitMillis + GRACE_MILLIS, this::queueTimedOut);
                }
                observe(frame.getQueued().hasLoad(), frame.getQueued().getLoad());
            }
            case REFUSED -> refused(frame.getRefused());
            case PREFILL_DONE -> {
                if (isOwn(frame.getPrefillDone().getRequest()) && phase == Phase.EXECUTING) {
                    observe(
                            frame.getPrefillDone().hasLoad(),
                            frame.getPrefillDone().getLoad());
                    end();
                    listener.onPrefillDone(this, frame.getPrefillDone());
                }
            }
            case ANSWER_END -> {
                if (isOwn(frame.getAnswerEnd().getRequest()) && phase == Phase.EXECUTING) {
                    observe(frame.getAnswerEnd().hasLoad(), frame.getAnswerEnd().getLoad());
                    end();
                    listener.onResponseEnd(this, frame.getAnswerEnd());
                }
            }
            default -> metrics.droppedFrame();
        }
    }

    private void receivedAfterCancel(Frame frame) {
        switch (frame.getBodyCase()) {
            case GRANTED -> {
                sendRelease(frame.getGranted().getGrant());
                end();
            }
            case REFUSED, PREFILL_DONE, ANSWER_END -> end();
            default -> {}
        }
    }

    private void granted(Granted granted) {
        if (phase != Phase.ASKING && phase != Phase.QUEUED) {
            metrics.droppedFrame();
            return;
        }
        stopTimer();
        phase = Phase.GRANTED;
        grantUse = GrantUse.newBuilder()
                .setGrant(granted.getGrant())
                .setIncarnation(granted.getIncarnation())
                .setRequest(identity)
                .build();
        grantExpiresInMillis = granted.getExpiresInMillis();
        observe(granted.hasLoad(), granted.getLoad());
        tellRevisions(granted.hasRevisions(), granted.getRevisions());
        listener.onEvent(this, new RequestEvent.Granted(number));
    }

    private void refused(Refused refused) {
        Failure failure = WireValues.fromWire(refused);
        tellRevisions(refused.hasRevisions(), refused.getRevisions());
        end();
        listener.onRefused(this, refused.hasLoad() ? Optional.of(refused.getLoad()) : Optional.empty(), failure);
    }

    private void observe(boolean isPresent, Load load) {
        if (isPresent) {
            listener.onLoad(this, load);
        }
    }

    private void tellRevisions(boolean isPresent, RevisionPair revisions) {
        if (isPresent) {
            listener.onRevisions(exchange.connection(), WireValues.fromWire(revisions));
        }
    }

    private boolean isOwn(RequestIdentity received) {
        boolean own = received.equals(identity);
        if (!own) {
            metrics.droppedFrame();
        }
        return own;
    }

    private void queueTimedOut() {
        if (phase == Phase.QUEUED) {
            cancel(ResultCode.NO_CAPACITY);
            Failure failure = Failure.of(ResultCode.NO_CAPACITY, "the grant waited longer than the sidecar was asked");
            listener.onFailure(this, failure);
            listener.onEvent(this, new RequestEvent.Lost(number, failure));
        }
    }

    private void closed(Exchange source, ResultCode code) {
        if (!source.equals(exchange) || phase == Phase.ENDED) {
            return;
        }
        if (phase == Phase.CANCELLED) {
            end();
            return;
        }
        Failure failure = Failure.of(code, "the connection to the sidecar ended");
        lose(phase == Phase.EXECUTING ? failure : failure.withExecutionState(ExecutionState.NOT_RUN));
    }

    private void lose(Failure failure) {
        boolean isLeftBehind = exchange != null && role != InstanceRole.PLAIN;
        end();
        if (isLeftBehind) {
            cancelElsewhere();
        }
        listener.onFailure(this, failure);
        listener.onEvent(this, new RequestEvent.Lost(number, failure));
    }

    private void end() {
        stopTimer();
        phase = Phase.ENDED;
        if (exchange != null) {
            exchange.finish();
        }
    }

    // ------------------------------------------------------------------ internals: sending

    /** What was started on a connection that ended is cancelled on another one; nobody waits for that. */
    private void cancelElsewhere() {
        var unused = endpoint.connect(address())
                .thenAccept(result -> result.peek(connection -> {
                    Exchange cancelling = connection.open(IGNORING);
                    cancelling.send(cancelFrame(ResultCode.CONNECTION_LOST));
                    cancelling.finish();
                }));
    }

    private InetSocketAddress address() {
        return new InetSocketAddress(
                instance.address().host(), instance.address().port());
    }

    private void sendRelease(long grant) {
        exchange.send(Frame.newBuilder()
                .setRelease(Release.newBuilder().setGrant(grant).build()));
    }

    private Frame.Builder cancelFrame(ResultCode reason) {
        return Frame.newBuilder()
                .setCancel(Cancel.newBuilder()
                        .setRequest(identity)
                        .setReasonCode(reason.number())
                        .build());
    }

    private void restartTimer(long delayMillis, Runnable task) {
        stopTimer();
        timer = control.schedule(delayMillis, task);
    }

    private void stopTimer() {
        if (timer != null) {
            timer.cancel(false);
        }
    }
}
