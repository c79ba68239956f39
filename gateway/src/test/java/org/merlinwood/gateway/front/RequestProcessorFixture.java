package org.merlinwood.gateway.front;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.stream.Stream;
import org.merlinwood.core.result.ExecutionState;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.core.time.ManualMillisClock;
import org.merlinwood.gateway.FakeHttpClient;
import org.merlinwood.gateway.FakeUpstreamProtocol;
import org.merlinwood.gateway.ManualLoop;
import org.merlinwood.gateway.allotment.AllotmentLedger;
import org.merlinwood.gateway.allotment.AllotmentLimits;
import org.merlinwood.gateway.crash.CrashCausingParts;
import org.merlinwood.gateway.crash.CrashHistory;
import org.merlinwood.gateway.crash.LostRun;
import org.merlinwood.gateway.crash.RecordingCrashListener;
import org.merlinwood.gateway.crash.Suspicion;
import org.merlinwood.gateway.decision.DemandMeter;
import org.merlinwood.gateway.decision.DrainPolicy;
import org.merlinwood.gateway.decision.HeldPrompts;
import org.merlinwood.gateway.decision.InstancePool;
import org.merlinwood.gateway.decision.MemoryCompetition;
import org.merlinwood.gateway.decision.RetryAllowance;
import org.merlinwood.gateway.decision.StreamOrigin;
import org.merlinwood.gateway.decision.StreamOrigins;
import org.merlinwood.gateway.decision.VersionHistory;
import org.merlinwood.gateway.fleet.FleetState;
import org.merlinwood.gateway.fleet.Stage;
import org.merlinwood.gateway.fleet.UpstreamInstance;
import org.merlinwood.gateway.follow.ConfirmationDemand;
import org.merlinwood.gateway.follow.CopyConfirmation;
import org.merlinwood.gateway.follow.StorePosition;
import org.merlinwood.gateway.request.CallerRequest;
import org.merlinwood.gateway.request.Prompt;
import org.merlinwood.gateway.request.PromptPart;
import org.merlinwood.gateway.route.EngineLimits;
import org.merlinwood.gateway.route.RequestKind;
import org.merlinwood.gateway.route.Route;
import org.merlinwood.gateway.route.RouteTable;
import org.merlinwood.gateway.route.ServiceShare;
import org.merlinwood.gateway.route.UpstreamService;
import org.merlinwood.gateway.upstream.InstanceListener;
import org.merlinwood.gateway.upstream.InstanceNotice;
import org.merlinwood.gateway.upstream.UpstreamClient;
import org.merlinwood.gateway.workspace.CallerIdentification;
import org.merlinwood.gateway.workspace.CallerKey;
import org.merlinwood.gateway.workspace.RevocationLimit;
import org.merlinwood.gateway.workspace.Workspace;
import org.merlinwood.gateway.workspace.Workspaces;
import org.merlinwood.http.HttpHeader;
import org.merlinwood.http.HttpRequest;
import org.merlinwood.operation.log.DecisionLog;

/** A request dispatcher without network; the test controls the clock, the upstreams and the caller. */
final class RequestProcessorFixture {

    static final String ATTEMPT = "attempt-1";
    static final HttpHeader[] MATCHING_RESPONSE_HEADERS = {
        FakeUpstreamProtocol.SIGNED, FakeUpstreamProtocol.attempt(ATTEMPT)
    };

    /** How long a caller waits for its response, in milliseconds. */
    static final long CALLER_TIME_MILLIS = 4_000;

    /** Timeout of the route, in milliseconds. */
    static final long ROUTE_TIMEOUT_MILLIS = 5_000;

    /** Number of tokens of each part of a prompt. */
    static final int PART_TOKENS = 100;

    private static final int BODY_BYTES = 1_000;
    private static final long RETRY_WINDOW_MILLIS = 10_000;
    private static final double FIXED_RETRIES = 60;

    /** Number of streams that an instance runs at the same time. */
    static final int SLOTS = 4;

    private static final EngineLimits LIMITS = new EngineLimits(SLOTS, 20_000, 2, 500, 2_000, 6_000);

    final ManualMillisClock clock = new ManualMillisClock(1_000);
    final ManualLoop loop = new ManualLoop(clock);
    final FakeHttpClient client = new FakeHttpClient();
    final FleetState fleet = new FleetState();
    final InstancePool pool = new InstancePool(fleet, clock, "near", 1);
    /** Limits of the workspace of the requests; the bucket is full when the fixture is complete. */
    final AllotmentLedger allotments = new AllotmentLedger(1, clock, new AllotmentLimits(RETRY_WINDOW_MILLIS, 0.1, 0));

    /** Workspace of the requests that follow. */
    Optional<Workspace> workspace = Optional.empty();

    /** The caller of the last request. */
    RecordingCaller caller = new RecordingCaller();

    final DrainPolicy drainPolicy = new DrainPolicy(clock, 8_000);
    final RetryAllowance retryAllowance = new RetryAllowance(clock, RETRY_WINDOW_MILLIS, 0.2, FIXED_RETRIES, () -> 1);
    final CrashHistory crashHistory = new CrashHistory(clock);
    final StreamOrigins origins = new StreamOrigins(clock);
    final VersionHistory versionHistory = new VersionHistory(fleet, clock);
    final FakeOriginPeers originPeers = new FakeOriginPeers(loop);
    final FakeStoreConfirmation storeConfirmation = new FakeStoreConfirmation();
    final CrashCausingParts crashCausingParts = new CrashCausingParts(clock, 1, new RecordingCrashListener());
    final CopyConfirmation copyConfirmation = new CopyConfirmation(clock);

    /** Key of the requests that follow. */
    Optional<CallerKey> key = Optional.empty();

    /** Number of questions to the store whether the copy is current. */
    int storeQuestions;

    final MemoryCompetition memoryCompetition;
    final MetricRegistry metrics = new MetricRegistry();
    private final RequestDispatcher dispatcher;
    private CallerRequest request;

    RequestProcessorFixture(RequestKind kind, boolean resumable) {
        this(kind, resumable, kind == RequestKind.STREAM);
    }

    /** Creates a dispatcher whose service has model engines, or plain instances that may stream as well. */
    RequestProcessorFixture(RequestKind kind, boolean resumable, boolean hasEngines) {
        this(kind, resumable, hasEngines, 2);
    }

    /** Creates a dispatcher whose route allows a number of attempts. */
    RequestProcessorFixture(RequestKind kind, boolean resumable, boolean hasEngines, int maximumAttempts) {
        this(kind, resumable, hasEngines, maximumAttempts, RevocationLimit.NONE);
    }

    /** Creates a dispatcher that accepts revoked keys for a limited time. */
    RequestProcessorFixture(
            RequestKind kind,
            boolean resumable,
            boolean hasEngines,
            int maximumAttempts,
            RevocationLimit revocationLimit) {
        this(kind, resumable, hasEngines, maximumAttempts, revocationLimit, false);
    }

    /** Creates a dispatcher of streams whose waiting requests are ranked. */
    static RequestProcessorFixture withRanking() {
        return new RequestProcessorFixture(RequestKind.STREAM, false, true, 2, RevocationLimit.NONE, true);
    }

    private RequestProcessorFixture(
            RequestKind kind,
            boolean resumable,
            boolean hasEngines,
            int maximumAttempts,
            RevocationLimit revocationLimit,
            boolean ranking) {
        memoryCompetition = new MemoryCompetition(clock, ranking);
        clock.advanceMillis(RETRY_WINDOW_MILLIS);
        DecisionLog log = new DecisionLog("test", clock, new PrintStream(OutputStream.nullOutputStream()));
        UpstreamClient upstreamClient =
                new UpstreamClient(client, new FakeUpstreamProtocol(), new DecliningInstanceGuard());
        RequestProcessorContext context = new RequestProcessorContext(
                loop,
                clock,
                upstreamClient,
                new FakeUpstreamProtocol(),
                fleet,
                pool,
                retryAllowance,
                crashHistory,
                crashCausingParts,
                origins,
                versionHistory,
                originPeers,
                new HeldPromptSearch(
                        upstreamClient,
                        new FakeUpstreamProtocol(),
                        fleet,
                        pool.notices(),
                        clock,
                        new HeldPrompts(fleet, clock),
                        log),
                storeConfirmation,
                callerCheck(revocationLimit),
                new DemandMeter(clock),
                new MemoryWaitQueues(loop, memoryCompetition),
                allotments,
                log,
                new RequestMetrics(metrics));
        dispatcher = new RequestDispatcher(context, drainPolicy, new ForcedExitGuard(drainPolicy, loop));
        Route route = new Route(
                "route",
                "host",
                "/p/",
                kind,
                ROUTE_TIMEOUT_MILLIS,
                900,
                1,
                List.of(new ServiceShare("service", 1)),
                maximumAttempts,
                resumable,
                true);
        Optional<EngineLimits> limits = hasEngines ? Optional.of(LIMITS) : Optional.empty();
        fleet.replaceRoutes(
                RouteTable.of(1, List.of(route), List.of(new UpstreamService("service", 10, limits)), BODY_BYTES));
    }

    private CallerCheck callerCheck(RevocationLimit limit) {
        ConfirmationDemand demand = new ConfirmationDemand(
                copyConfirmation,
                consumer -> storeQuestions++,
                () -> {},
                limit.confirmAfterMillis(),
                limit.confirmByStoreAfterMillis(),
                clock);
        return new CallerCheck(new CallerIdentification(limit), fleet, copyConfirmation, demand, clock);
    }

    /** Replaces the configuration by a later one with workspaces, each of which holds one key. */
    void replaceWorkspaces(Map<String, Workspace> byKey) {
        RouteTable current = fleet.routes().orElseThrow();
        fleet.replaceRoutes(new RouteTable(
                current.version() + 1,
                current.routesByHost(),
                current.services(),
                current.maximumBodyBytes(),
                current.maximumHeaderBytes(),
                Optional.of(new Workspaces(byKey))));
    }

    /** Records that the store has confirmed the copy now. */
    void confirmCopy() {
        copyConfirmation.confirm(copyConfirmation.now(), StorePosition.START);
    }

    void register(Stage stage, String... identifiers) {
        registerVersion("v1", stage, identifiers);
    }

    /** Registers instances of a software version. */
    void registerVersion(String version, Stage stage, String... identifiers) {
        for (String identifier : identifiers) {
            fleet.put(new UpstreamInstance(
                    identifier,
                    "service",
                    new InetSocketAddress("127.0.0.1", 1),
                    "near",
                    4,
                    false,
                    stage,
                    UpstreamInstance.UNKNOWN_START,
                    version));
        }
    }

    void sendRequest(String path) {
        sendRequest(path, OptionalLong.empty());
    }

    /** Sends another attempt of a caller, which takes up the stream that an earlier one began. */
    void sendResumingAttempt(String attempt, String resumedAttempt, long lastEvent) {
        sendRequest(attempt, "/p/x", OptionalLong.of(lastEvent), Optional.of(resumedAttempt), List.of(), "body");
    }

    /** The same for an attempt whose prompt has these parts. */
    void sendResumingAttemptWithParts(String attempt, String resumedAttempt, long lastEvent, String... parts) {
        List<PromptPart> promptParts =
                Stream.of(parts).map(part -> new PromptPart(part, PART_TOKENS)).toList();
        sendRequest(attempt, "/p/x", OptionalLong.of(lastEvent), Optional.of(resumedAttempt), promptParts, "body");
    }

    /** Sends a request of a caller that resumes after an event a stream which began here, at version v1. */
    void sendResumingRequest(String path, long lastEvent) {
        origins.recordOwn(new StreamOrigin("attempt-0", "v1", CALLER_TIME_MILLIS));
        sendRequest(ATTEMPT, path, OptionalLong.of(lastEvent), Optional.of("attempt-0"), List.of(), "body");
    }

    /** Sends a request with a body of its own whose prompt has these parts. */
    void sendRequestWithParts(String path, String... parts) {
        List<PromptPart> promptParts =
                Stream.of(parts).map(part -> new PromptPart(part, PART_TOKENS)).toList();
        sendRequest(ATTEMPT, path, OptionalLong.empty(), Optional.empty(), promptParts, String.join(" ", parts));
    }

    private void sendRequest(String path, OptionalLong lastEvent) {
        sendRequest(ATTEMPT, path, lastEvent, Optional.empty(), List.of(), "body");
    }

    private void sendRequest(
            String attempt,
            String path,
            OptionalLong lastEvent,
            Optional<String> resumedAttempt,
            List<PromptPart> parts,
            String body) {
        Optional<Prompt> prompt = Optional.of(new Prompt("m", 1_000, 100, OptionalInt.empty(), parts));
        request = new CallerRequest(
                attempt,
                "POST",
                "host",
                path,
                path,
                OptionalLong.of(CALLER_TIME_MILLIS),
                prompt,
                lastEvent,
                resumedAttempt,
                List.of(),
                body.getBytes(StandardCharsets.UTF_8),
                clock.monotonicMillis(),
                workspace,
                key,
                false,
                OptionalInt.empty());
        caller = new RecordingCaller();
        dispatcher.dispatch(request, caller);
    }

    /** Reports that other entries lost so many instances with the content of the last request that it is blocked. */
    void blockLastRequest() {
        long fingerprint = CrashHistory.fingerprint(request);
        crashHistory.recordPeerLoss(new LostRun(fingerprint, "lost-1", Suspicion.STRONG));
        crashHistory.recordPeerLoss(new LostRun(fingerprint, "lost-2", Suspicion.STRONG));
    }

    /** Grants both steps of a reservation: the check of the memory that must be free, and that for the start. */
    void grantMemory(String reservation) {
        client.last().respond(200, "check");
        client.last().respond(200, reservation);
    }

    /** Records what an instance states in a response to a request of another caller. */
    void recordNotice(String identifier, HttpHeader notice) {
        pool.notices()
                .record(
                        fleet.find(identifier).orElseThrow(),
                        new FakeUpstreamProtocol().readNotice(503, List.of(notice)));
    }

    /** Records notices, and fails a test that sends a request to an instance that wants none. */
    private final class DecliningInstanceGuard implements InstanceListener {

        @Override
        public void onSend(UpstreamInstance instance, HttpRequest request) {
            assertThat(pool.notices().isDeclining(instance))
                    .as("%s while the instance wants no request", request.path())
                    .isFalse();
        }

        @Override
        public void onNotice(UpstreamInstance instance, InstanceNotice notice) {
            pool.notices().record(instance, notice);
        }
    }

    /** Lets time pass in which an instance sends nothing; its read timeout takes effect as it does on a connection. */
    void staySilent(FakeHttpClient.SentRequest silent, long millis) {
        long readTimeoutMillis = silent.request().readTimeoutMillis();
        loop.advance(Math.min(millis, readTimeoutMillis));
        if (readTimeoutMillis <= millis) {
            if (!silent.ended()) {
                silent.fail(ResultCode.UPSTREAM_TIMEOUT, ExecutionState.UNKNOWN);
            }
            loop.advance(millis - readTimeoutMillis);
        }
    }

    /** Returns whether a request with this path was sent to an instance. */
    boolean hasSent(String path) {
        return client.sent().stream().anyMatch(sent -> sent.request().path().equals(path));
    }

    /** Records the response as the caller receives it. */
    static final class RecordingCaller implements CallerChannel {

        int status;
        List<HttpHeader> headers = List.of();
        String body = "";
        boolean ended;
        boolean aborted;
        private Runnable disconnectAction = () -> {};

        @Override
        public void respond(int responseStatus, List<HttpHeader> responseHeaders, byte[] responseBody) {
            begin(responseStatus, responseHeaders);
            write(responseBody);
            end();
        }

        @Override
        public void begin(int responseStatus, List<HttpHeader> responseHeaders) {
            if (status != 0) {
                throw new IllegalStateException("the response has already begun");
            }
            status = responseStatus;
            headers = responseHeaders;
        }

        @Override
        public void write(byte[] part) {
            body += new String(part, StandardCharsets.UTF_8);
        }

        @Override
        public void end() {
            ended = true;
        }

        @Override
        public void abort() {
            aborted = true;
        }

        @Override
        public void onDisconnect(Runnable action) {
            disconnectAction = action;
        }

        void disconnect() {
            disconnectAction.run();
        }

        boolean hasRetryAfter() {
            return headers.stream().anyMatch(header -> header.name().equals("Retry-After"));
        }
    }
}
