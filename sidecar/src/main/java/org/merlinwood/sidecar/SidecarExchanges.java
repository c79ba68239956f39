package org.merlinwood.sidecar;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import org.merlinwood.core.identity.Revisions;
import org.merlinwood.core.result.Failure;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.operation.control.ControlLoop;
import org.merlinwood.protocol.BaseProtocolObserver;
import org.merlinwood.protocol.Exchange;
import org.merlinwood.protocol.ExchangeListener;
import org.merlinwood.protocol.PeerConnection;
import org.merlinwood.protocol.PeerEndpoint;
import org.merlinwood.sidecar.admission.ExecutionFactory;
import org.merlinwood.sidecar.admission.ExecutionStage;
import org.merlinwood.sidecar.admission.GrantStage;
import org.merlinwood.sidecar.key.HandoverStage;
import org.merlinwood.sidecar.suspicion.SuspicionStage;
import org.merlinwood.wire.Cancel;
import org.merlinwood.wire.Frame;
import org.merlinwood.wire.RequestIdentity;
import org.merlinwood.wire.TablePart;

/** Passes the frames of peers from the event loops to the control thread and preserves their order. Thread-safe. */
final class SidecarExchanges extends BaseProtocolObserver {

    private static final int MAXIMUM_TABLE_PARTS = 256;

    private final ControlLoop loop;
    private final GrantStage grants;
    private final ExecutionStage executions;
    private final HandoverStage handover;
    private final SuspicionStage suspicion;
    private final BiConsumer<PeerConnection, Revisions> onPeerRevisions;

    SidecarExchanges(
            ControlLoop loop,
            GrantStage grants,
            ExecutionStage executions,
            HandoverStage handover,
            SuspicionStage suspicion,
            BiConsumer<PeerConnection, Revisions> onPeerRevisions) {
        this.loop = loop;
        this.grants = grants;
        this.executions = executions;
        this.handover = handover;
        this.suspicion = suspicion;
        this.onPeerRevisions = onPeerRevisions;
    }

    /** Registers the handlers of exchanges that peers open. */
    void install(PeerEndpoint.Builder endpoint) {
        endpoint.acceptor(Frame.BodyCase.GRANT_REQUEST, this::acceptGrantRequest)
                .acceptor(Frame.BodyCase.EXECUTE_PREFILL, this::acceptExecuteOnOtherExchange)
                .acceptor(Frame.BodyCase.EXECUTE_DECODE, this::acceptExecuteOnOtherExchange)
                .acceptor(Frame.BodyCase.EXECUTE_PLAIN, this::acceptExecuteOnOtherExchange)
                .acceptor(Frame.BodyCase.CANCEL, this::acceptCancel)
                .acceptor(Frame.BodyCase.TABLE_REQUEST, this::acceptTableRequest)
                .acceptor(Frame.BodyCase.TABLE_PART, this::acceptTable)
                .acceptor(Frame.BodyCase.SUSPICION_REPORT, this::acceptSuspicion)
                .acceptor(Frame.BodyCase.PREFIX_REPORT, this::acceptPrefixReport);
    }

    @Override
    public void onClosed(PeerConnection connection, ResultCode code) {
        loop.execute(() -> grants.onConnectionClosed(connection));
    }

    @Override
    public void onRevisions(PeerConnection connection, Revisions revisions) {
        onPeerRevisions.accept(connection, revisions);
    }

    private ExchangeListener acceptGrantRequest(Exchange exchange, Frame first) {
        loop.execute(() -> grants.requestGrant(exchange, first.getGrantRequest()));
        return new GrantedExchange(first.getGrantRequest().getRequest());
    }

    private ExchangeListener acceptExecuteOnOtherExchange(Exchange exchange, Frame first) {
        loop.execute(() -> grants.useOnOtherExchange(exchange, ExecutionFactory.grantUse(first)));
        return new IgnoredExchange();
    }

    private ExchangeListener acceptCancel(Exchange exchange, Frame first) {
        loop.execute(() -> {
            grants.cancel(first.getCancel().getRequest(), cancelled(first.getCancel()));
            exchange.finish();
        });
        return new IgnoredExchange();
    }

    private ExchangeListener acceptTableRequest(Exchange exchange, Frame first) {
        loop.execute(() -> handover.respond(exchange, first.getTableRequest()));
        return new IgnoredExchange();
    }

    private ExchangeListener acceptSuspicion(Exchange exchange, Frame first) {
        loop.execute(() -> suspicion.respond(exchange, first.getSuspicionReport()));
        return new IgnoredExchange();
    }

    private ExchangeListener acceptPrefixReport(Exchange exchange, Frame first) {
        loop.execute(() -> suspicion.prefixes().respond(exchange, first.getPrefixReport()));
        return new IgnoredExchange();
    }

    private ExchangeListener acceptTable(Exchange exchange, Frame first) {
        TableExchange table = new TableExchange();
        table.onFrame(exchange, first);
        return table;
    }

    private static Failure cancelled(Cancel cancel) {
        ResultCode reason = ResultCode.ofNumber(cancel.getReasonCode())
                .filter(code -> code != ResultCode.OK)
                .orElse(ResultCode.CANCELLED);
        return Failure.of(ResultCode.CANCELLED, "the entry cancelled the request: " + reason);
    }

    /** Handles the frames that follow a grant request. */
    private final class GrantedExchange implements ExchangeListener {

        private final RequestIdentity identity;

        private GrantedExchange(RequestIdentity identity) {
            this.identity = identity;
        }

        @Override
        public void onFrame(Exchange exchange, Frame frame) {
            switch (frame.getBodyCase()) {
                case EXECUTE_PREFILL, EXECUTE_DECODE, EXECUTE_PLAIN ->
                    loop.execute(() -> executions.execute(exchange, frame));
                case RELEASE -> loop.execute(() -> grants.release(exchange, identity));
                case CANCEL -> loop.execute(() -> grants.cancel(identity, cancelled(frame.getCancel())));
                default -> exchange.connection().close(ResultCode.PROTOCOL_VIOLATION);
            }
        }

        /** Does nothing: a closed connection is handled once, by {@link SidecarExchanges#onClosed}. */
        @Override
        public void onClosed(Exchange exchange, ResultCode code) {}
    }

    /** Collects the parts of a sealed table. Used by one event loop. */
    private final class TableExchange implements ExchangeListener {

        private final List<TablePart> parts = new ArrayList<>();

        @Override
        public void onFrame(Exchange exchange, Frame frame) {
            if (!frame.hasTablePart() || parts.size() >= MAXIMUM_TABLE_PARTS) {
                exchange.connection().close(ResultCode.PROTOCOL_VIOLATION);
                return;
            }
            parts.add(frame.getTablePart());
            if (frame.getTablePart().getLast()) {
                List<TablePart> allParts = List.copyOf(parts);
                loop.execute(() -> handover.store(exchange, allParts));
            }
        }

        @Override
        public void onClosed(Exchange exchange, ResultCode code) {}
    }

    /** Ignores further frames of an exchange that is answered after its first frame. */
    private static final class IgnoredExchange implements ExchangeListener {

        @Override
        public void onFrame(Exchange exchange, Frame frame) {}

        @Override
        public void onClosed(Exchange exchange, ResultCode code) {}
    }
}
