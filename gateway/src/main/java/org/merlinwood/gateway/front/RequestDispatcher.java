package org.merlinwood.gateway.front;

import java.util.Optional;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.gateway.allotment.AllotmentDecision;
import org.merlinwood.gateway.crash.CrashHistory;
import org.merlinwood.gateway.crash.PartFingerprints;
import org.merlinwood.gateway.decision.DrainPolicy;
import org.merlinwood.gateway.request.CallerRequest;
import org.merlinwood.gateway.request.Prompt;
import org.merlinwood.gateway.route.EngineLimits;
import org.merlinwood.gateway.route.RequestKind;
import org.merlinwood.gateway.route.Route;
import org.merlinwood.gateway.route.RouteTable;
import org.merlinwood.gateway.route.UpstreamService;
import org.merlinwood.gateway.workspace.CallerIdentity;
import org.merlinwood.gateway.workspace.Workspace;

/**
 * Matches each completely read request to its route and starts a request processor for it, or refuses the request. Used
 * by the event loop alone.
 */
final class RequestDispatcher {

    /** Retry delay sent by an entry that has no routes yet, in milliseconds. It reads them in a few round trips. */
    private static final long NOT_READY_RETRY_MILLIS = 200;

    /** Retry delay sent by a draining entry, in milliseconds. Short, since another entry can accept the request now. */
    private static final long DRAINING_RETRY_MILLIS = 20;

    private final RequestProcessorContext context;
    private final DrainPolicy drainPolicy;
    private final ForcedExitGuard forcedExitGuard;
    private final AllotmentAdmission allotmentAdmission;

    RequestDispatcher(RequestProcessorContext context, DrainPolicy drainPolicy, ForcedExitGuard forcedExitGuard) {
        this.context = context;
        this.drainPolicy = drainPolicy;
        this.forcedExitGuard = forcedExitGuard;
        this.allotmentAdmission = new AllotmentAdmission(context.allotments(), context.log(), context.metrics());
    }

    void dispatch(CallerRequest request, CallerChannel channel) {
        Optional<RouteTable> routes = context.fleet().routes();
        if (routes.isEmpty()) {
            refuse(request, channel, ResultCode.NOT_READY, NOT_READY_RETRY_MILLIS);
            return;
        }
        Optional<Route> route = routes.get().match(request.host(), request.path());
        if (route.isEmpty()) {
            refuse(request, channel, ResultCode.UNKNOWN_ROUTE, 0);
            return;
        }
        identify(request, channel, route.get())
                .ifPresent(identified -> dispatchIdentified(identified, channel, routes.get(), route.get()));
    }

    /** Returns the request with its workspace, if the configuration has any; empty if the request was refused. */
    private Optional<CallerRequest> identify(CallerRequest request, CallerChannel channel, Route route) {
        return switch (context.callerCheck()
                .identify(request, route, context.clock().monotonicMillis())) {
            case CallerIdentity.Unrestricted none -> Optional.of(request);
            case CallerIdentity.Accepted accepted -> Optional.of(request.withCaller(accepted.workspace()));
            case CallerIdentity.Unknown unknown -> {
                refuse(request, channel, ResultCode.UNKNOWN_CALLER, 0);
                yield Optional.empty();
            }
            case CallerIdentity.Unconfirmed unconfirmed -> {
                long retryAfterMillis = context.callerCheck().retryAfterMillis(request);
                refuse(request, channel, ResultCode.KEY_UNCONFIRMED, retryAfterMillis);
                yield Optional.empty();
            }
        };
    }

    private void dispatchIdentified(CallerRequest request, CallerChannel channel, RouteTable routes, Route route) {
        if (context.crashHistory().isBlocked(CrashHistory.fingerprint(request)) || hasBlockedParts(request)) {
            refuse(request, channel, ResultCode.NO_INSTANCE, 0);
            return;
        }
        if (!drainPolicy.accepts(route.kind())) {
            refuse(request, channel, ResultCode.DRAINING, DRAINING_RETRY_MILLIS);
            return;
        }
        admit(request, channel, routes, route);
    }

    private void admit(CallerRequest request, CallerChannel channel, RouteTable routes, Route route) {
        Optional<AllotmentDecision> decision = allotmentAdmission.decide(request);
        if (decision.orElse(null) instanceof AllotmentDecision.Refused refused) {
            refuse(request, channel, ResultCode.CALLER_LIMIT, refused.retryAfterMillis());
            return;
        }
        RequestProcessor processor = accept(request, channel, routes, route);
        if (decision.orElse(null) instanceof AllotmentDecision.Admitted admitted) {
            processor.chargeRuns(allotmentAdmission.charges(admitted));
        }
        start(processor);
    }

    private boolean hasBlockedParts(CallerRequest request) {
        boolean blocked = request.prompt()
                .filter(prompt -> context.crashCausingParts().isBlocked(PartFingerprints.of(prompt)))
                .isPresent();
        if (blocked) {
            context.metrics().count(RequestProcessor.BLOCKED_PARTS_COUNTER);
        }
        return blocked;
    }

    private RequestProcessor accept(CallerRequest request, CallerChannel channel, RouteTable routes, Route route) {
        context.log()
                .line("accepted")
                .with("request", request.attempt())
                .with("route", route.name())
                .with("routesVersion", routes.version())
                .with("timeLeftMillis", request.timeLeftMillis().orElse(-1))
                .with("behindEvent", request.lastEvent().orElse(-1))
                .with("resumes", request.resumedAttempt().orElse(""))
                .with("workspace", request.workspace().map(Workspace::name).orElse(""))
                .write();
        String service = route.serviceFor(request.streamAttempt());
        Optional<EngineLimits> limits =
                Optional.ofNullable(routes.services().get(service)).flatMap(UpstreamService::engine);
        boolean ranked = limits.isPresent() && request.prompt().isPresent() && routes.ranksRequests(service);
        CallerRequest sent = ranked ? request.withInstancePriority(RequestProcessor.priority(request, route)) : request;
        return createProcessor(sent, channel, route, service, limits);
    }

    private RequestProcessor createProcessor(
            CallerRequest request, CallerChannel channel, Route route, String service, Optional<EngineLimits> limits) {
        Optional<Prompt> prompt = request.prompt();
        if (prompt.isPresent() && limits.isPresent()) {
            context.demandMeter().recordRequest(service, prompt.get().promptTokens());
            return new StreamRequestProcessor(context, request, route, channel, limits);
        }
        return route.kind() == RequestKind.STREAM
                ? new StreamRequestProcessor(context, request, route, channel, Optional.empty())
                : new PlainRequestProcessor(context, request, route, channel);
    }

    private void start(RequestProcessor processor) {
        forcedExitGuard.add(processor);
        processor.start();
    }

    private void refuse(CallerRequest request, CallerChannel channel, ResultCode code, long retryAfterMillis) {
        context.log()
                .line("refused")
                .with("request", request.attempt())
                .with("host", request.host())
                .with("path", request.path())
                .with("workspace", request.workspace().map(Workspace::name).orElse(""))
                .with("code", code.number())
                .with(
                        "routesVersion",
                        context.fleet().routes().map(RouteTable::version).orElse(-1L))
                .write();
        context.metrics().count("refused_" + code.name());
        context.metrics().count("requests_refused_by_code_" + code.number());
        ErrorResponses.send(channel, code, retryAfterMillis);
    }
}
