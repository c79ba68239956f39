package org.merlinwood.entry.dispatch;

import io.vavr.control.Either;
import java.util.Optional;
import java.util.concurrent.Future;
import java.util.function.Function;
import org.merlinwood.configuration.inventory.Instance;
import org.merlinwood.configuration.inventory.InstanceRole;
import org.merlinwood.core.result.ExecutionState;
import org.merlinwood.core.result.Failure;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.entry.machine.RequestEvent;
import org.merlinwood.protocol.Exchange;
import org.merlinwood.protocol.ExchangeListener;
import org.merlinwood.protocol.PeerConnection;
import org.merlinwood.protocol.WireValues;
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
 * One attempt at one sidecar: requests a grant and executes work under it.
 *
 * <p>Starts with {@link #start} and ends with the last frame of the sidecar, a lost connection, {@link #release()} or
 * {@link #cancel}. All methods are called on the control thread. Frames arrive on event loops and are passed to the
 * control thread, except for the parts of a response, which go directly to the listener.
 */
final class UpstreamAttempt implements ExchangeListener {

    /** Maximum time until a sidecar sends its first response to a grant request. */
    static final long GRANT_RESPONSE_TIMEOUT_MILLIS = 750;

    /**
     * Additional time after the maximum wait for a queued grant. A cancelled attempt stays open equally long, to
     * release a grant that still arrives.
     */
    static final long GRACE_MILLIS = 1_000;

    private final int number;
    private final InstanceRole role;
    private final Instance instance;
    private final RequestIdentity identity;
    private final DispatchComponents components;
    private final AttemptListener listener;
    private final AttemptCancellation cancellation;
    private Function<PeerConnection, GrantRequest> grantRequestFactory;
    private volatile Exchange exchange;
    private Future<?> timer;
    private Phase phase = Phase.ASKING;
    private GrantUse grantUse = GrantUse.getDefaultInstance();
    private long grantExpiresAtMillis;
    private long waitMillis;

    /** Phase of an attempt. The names appear in the state dump. */
    enum Phase {
        /** The grant is requested, or the connection for it is being opened. */
        ASKING,
        /** The sidecar has put the request for a grant into its queue. */
        QUEUED,
        /** Granted, not used. */
        GRANTED,
        /** The execute message has been sent. */
        EXECUTING,
        /** Cancelled; stays open for a time to release a grant that still arrives. */
        CANCELLED,
        /** Nothing follows any more. */
        ENDED
    }

    // ------------------------------------------------------------------ life-cycle

    /** Creates an attempt that sends nothing before {@link #start}. */
    UpstreamAttempt(
            int number,
            InstanceRole role,
            Instance instance,
            RequestIdentity identity,
            DispatchComponents components,
            AttemptListener listener) {
        this.number = number;
        this.role = role;
        this.instance = instance;
        this.identity = identity;
        this.components = components;
        this.listener = listener;
        this.cancellation = new AttemptCancellation(
                components.endpoint(), instance.address().toSocketAddress(), identity);
    }

    /**
     * Connects to the sidecar and requests the grant.
     *
     * @param request builds the message for the connection, whose peer determines the incarnation
     * @param maximumWaitMillis how long the sidecar may queue the grant, in milliseconds
     */
    void start(Function<PeerConnection, GrantRequest> request, long maximumWaitMillis) {
        grantRequestFactory = request;
        waitMillis = maximumWaitMillis;
        connect();
    }

    // ------------------------------------------------------------------ public API

    /** Returns the number of the attempt within its request, from 1. */
    int number() {
        return number;
    }

    /** Returns the kind of work. */
    InstanceRole role() {
        return role;
    }

    /** Returns the instance whose sidecar is asked. */
    Instance instance() {
        return instance;
    }

    /** Returns the current phase. */
    Phase phase() {
        return phase;
    }

    /** Returns what an execute message names its grant with; the default instance before the grant. */
    GrantUse grantUse() {
        return grantUse;
    }

    /** Returns how long the grant is still valid, in milliseconds; 0 before the grant and once it has expired. */
    long grantRemainingMillis() {
        return Math.max(0, grantExpiresAtMillis - components.clock().monotonicMillis());
    }

    /** Returns whether the sidecar may still grant, execute or end this attempt for its request. */
    boolean isOpen() {
        return phase != Phase.ENDED && phase != Phase.CANCELLED;
    }

    /**
     * Executes under the grant. From now on the request may run, unless the transport reports that nothing was sent.
     */
    void execute(Frame.Builder frame) {
        phase = Phase.EXECUTING;
        if (!exchange.send(frame)) {
            fail(Failure.of(ResultCode.CONNECTION_LOST, "the connection closed before the execute message was sent")
                    .withExecutionState(ExecutionState.NOT_RUN));
        }
    }

    /** Releases an unused grant. */
    void release() {
        sendRelease(grantUse.getGrant());
        end();
    }

    /** Ends the attempt in any phase. A grant that arrives later is released. */
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
        exchange.send(cancellation.frame(reason));
        timer = components.control().schedule(waitMillis + GRACE_MILLIS, this::end);
    }

    @Override
    public void onFrame(Exchange source, Frame frame) {
        switch (frame.getBodyCase()) {
            case ANSWER_HEAD -> listener.onHead(this, frame.getAnswerHead());
            case ANSWER_PART -> listener.onPart(this, frame.getAnswerPart());
            default -> components.control().execute(() -> handleFrame(source, frame));
        }
    }

    @Override
    public void onClosed(Exchange source, ResultCode code) {
        components.control().execute(() -> handleClosed(source, code));
    }

    // ------------------------------------------------------------------ internals: connecting

    private void connect() {
        timer = components.control().schedule(GRANT_RESPONSE_TIMEOUT_MILLIS, this::onResponseTimeout);
        var unused = components
                .endpoint()
                .connect(instance.address().toSocketAddress())
                .whenComplete((result, none) -> components.control().execute(() -> onConnected(result)));
    }

    private void onConnected(Either<Failure, PeerConnection> result) {
        if (phase != Phase.ASKING) {
            return;
        }
        if (result.isLeft()) {
            fail(result.getLeft());
            return;
        }
        PeerConnection connection = result.get();
        exchange = connection.open(this);
        exchange.send(Frame.newBuilder().setGrantRequest(grantRequestFactory.apply(connection)));
    }

    /**
     * Ends an attempt whose grant request got no response. Its connection stays open: other exchanges share it, and
     * heartbeats find a silent one.
     */
    private void onResponseTimeout() {
        if (phase != Phase.ASKING) {
            return;
        }
        if (exchange == null) {
            fail(Failure.of(ResultCode.UPSTREAM_UNREACHABLE, "connecting to the sidecar timed out"));
            return;
        }
        components.metrics().unansweredGrantRequest();
        cancel(ResultCode.PEER_SILENT);
        reportLoss(Failure.of(ResultCode.PEER_SILENT, "the sidecar did not respond to the grant request")
                .withExecutionState(ExecutionState.NOT_RUN));
    }

    // ------------------------------------------------------------------ internals: frames

    private void handleFrame(Exchange source, Frame frame) {
        if (!source.equals(exchange) || phase == Phase.ENDED) {
            components.metrics().droppedFrame();
            return;
        }
        if (phase == Phase.CANCELLED) {
            handleFrameAfterCancel(frame);
            return;
        }
        switch (frame.getBodyCase()) {
            case GRANTED -> onGranted(frame.getGranted());
            case QUEUED -> {
                if (phase == Phase.ASKING) {
                    phase = Phase.QUEUED;
                    restartTimer(waitMillis + GRACE_MILLIS, this::onQueueTimeout);
                }
                notifyLoad(frame.getQueued().hasLoad(), frame.getQueued().getLoad());
            }
            case REFUSED -> onRefused(frame.getRefused());
            case PREFILL_DONE -> {
                if (isOwnIdentity(frame.getPrefillDone().getRequest()) && phase == Phase.EXECUTING) {
                    notifyLoad(
                            frame.getPrefillDone().hasLoad(),
                            frame.getPrefillDone().getLoad());
                    end();
                    listener.onPrefillDone(this, frame.getPrefillDone());
                }
            }
            case ANSWER_END -> {
                if (isOwnIdentity(frame.getAnswerEnd().getRequest()) && phase == Phase.EXECUTING) {
                    notifyLoad(
                            frame.getAnswerEnd().hasLoad(), frame.getAnswerEnd().getLoad());
                    end();
                    listener.onResponseEnd(this, frame.getAnswerEnd());
                }
            }
            default -> components.metrics().droppedFrame();
        }
    }

    private void handleFrameAfterCancel(Frame frame) {
        switch (frame.getBodyCase()) {
            case GRANTED -> {
                sendRelease(frame.getGranted().getGrant());
                end();
            }
            case REFUSED, PREFILL_DONE, ANSWER_END -> end();
            default -> {}
        }
    }

    private void onGranted(Granted granted) {
        if (phase != Phase.ASKING && phase != Phase.QUEUED) {
            components.metrics().droppedFrame();
            return;
        }
        stopTimer();
        phase = Phase.GRANTED;
        grantUse = GrantUse.newBuilder()
                .setGrant(granted.getGrant())
                .setIncarnation(granted.getIncarnation())
                .setRequest(identity)
                .build();
        grantExpiresAtMillis = components.clock().monotonicMillis() + granted.getExpiresInMillis();
        notifyLoad(granted.hasLoad(), granted.getLoad());
        notifyRevisions(granted.hasRevisions(), granted.getRevisions());
        listener.onEvent(this, new RequestEvent.Granted(number));
    }

    private void onRefused(Refused refused) {
        Failure failure = WireValues.fromWire(refused);
        notifyRevisions(refused.hasRevisions(), refused.getRevisions());
        end();
        listener.onRefused(this, refused.hasLoad() ? Optional.of(refused.getLoad()) : Optional.empty(), failure);
    }

    private void notifyLoad(boolean isPresent, Load load) {
        if (isPresent) {
            listener.onLoad(this, load);
        }
    }

    private void notifyRevisions(boolean isPresent, RevisionPair revisions) {
        if (isPresent) {
            listener.onRevisions(exchange.connection(), WireValues.fromWire(revisions));
        }
    }

    private boolean isOwnIdentity(RequestIdentity received) {
        boolean isOwn = received.equals(identity);
        if (!isOwn) {
            components.metrics().droppedFrame();
        }
        return isOwn;
    }

    private void onQueueTimeout() {
        if (phase == Phase.QUEUED) {
            cancel(ResultCode.NO_CAPACITY);
            reportLoss(Failure.of(
                    ResultCode.NO_CAPACITY, "the sidecar did not grant the attempt within the requested wait"));
        }
    }

    private void handleClosed(Exchange source, ResultCode code) {
        if (!source.equals(exchange) || phase == Phase.ENDED) {
            return;
        }
        if (phase == Phase.CANCELLED) {
            end();
            return;
        }
        Failure failure = Failure.of(code, "the connection to the sidecar closed");
        fail(phase == Phase.EXECUTING ? failure : failure.withExecutionState(ExecutionState.NOT_RUN));
    }

    private void fail(Failure failure) {
        boolean mayStillRun = exchange != null && role != InstanceRole.PLAIN;
        end();
        if (mayStillRun) {
            cancellation.sendOnNewConnection();
        }
        reportLoss(failure);
    }

    private void reportLoss(Failure failure) {
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

    private void sendRelease(long grant) {
        exchange.send(Frame.newBuilder()
                .setRelease(Release.newBuilder().setGrant(grant).build()));
    }

    private void restartTimer(long delayMillis, Runnable task) {
        stopTimer();
        timer = components.control().schedule(delayMillis, task);
    }

    private void stopTimer() {
        if (timer != null) {
            timer.cancel(false);
        }
    }
}
