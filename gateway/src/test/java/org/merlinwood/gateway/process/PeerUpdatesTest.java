package org.merlinwood.gateway.process;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.merlinwood.core.time.ManualMillisClock;
import org.merlinwood.gateway.FakeHttpClient;
import org.merlinwood.gateway.FakeUpstreamProtocol;
import org.merlinwood.gateway.ManualLoop;
import org.merlinwood.gateway.allotment.AllotmentLedger;
import org.merlinwood.gateway.allotment.AllotmentLimits;
import org.merlinwood.gateway.crash.CrashCausingParts;
import org.merlinwood.gateway.crash.CrashHistory;
import org.merlinwood.gateway.crash.CrashReport;
import org.merlinwood.gateway.crash.LostRun;
import org.merlinwood.gateway.crash.RecordingCrashListener;
import org.merlinwood.gateway.crash.Suspicion;
import org.merlinwood.gateway.decision.DemandMeter;
import org.merlinwood.gateway.decision.EntryReport;
import org.merlinwood.gateway.decision.EntryReport.AllotmentReport;
import org.merlinwood.gateway.decision.EntryStatus;
import org.merlinwood.gateway.decision.HeldPrompts;
import org.merlinwood.gateway.decision.InstancePool;
import org.merlinwood.gateway.decision.MemoryCompetition;
import org.merlinwood.gateway.decision.OrderLeadership;
import org.merlinwood.gateway.decision.OriginPeers;
import org.merlinwood.gateway.decision.StreamOrigin;
import org.merlinwood.gateway.decision.StreamOrigins;
import org.merlinwood.gateway.decision.VersionHistory;
import org.merlinwood.gateway.decision.WaitRanking;
import org.merlinwood.gateway.fleet.FleetState;
import org.merlinwood.gateway.fleet.Stage;
import org.merlinwood.gateway.fleet.UpstreamInstance;
import org.merlinwood.gateway.follow.StoreChange;
import org.merlinwood.gateway.follow.StoreFollower;
import org.merlinwood.gateway.follow.StorePosition;
import org.merlinwood.gateway.order.StageOrders;
import org.merlinwood.gateway.route.RouteTable;
import org.merlinwood.gateway.upstream.HeldPart;
import org.merlinwood.gateway.upstream.InstanceNotice;
import org.merlinwood.gateway.upstream.UpstreamClient;
import org.merlinwood.gateway.upstream.UpstreamLoad;
import org.merlinwood.gateway.workspace.Allotment;
import org.merlinwood.gateway.workspace.AllotmentUnit;
import org.merlinwood.gateway.workspace.Workspaces;
import org.merlinwood.operation.log.DecisionLog;

final class PeerUpdatesTest {

    private static final InetSocketAddress CALLER_ADDRESS = new InetSocketAddress("127.0.0.1", 2);

    private static final String OWN_ADDRESS = "10.0.0.1:1";
    private static final String PEER_ADDRESS = "10.0.0.2:1";

    /** Time after which an entry that is the lowest leads, in milliseconds. */
    private static final long LEADING_MILLIS = 5_000;

    private final ManualMillisClock clock = new ManualMillisClock(0);
    private final ManualLoop loop = new ManualLoop(clock);
    private final FakeHttpClient client = new FakeHttpClient();
    private final FleetState fleet = new FleetState();
    private final InstancePool pool = new InstancePool(fleet, clock, "near", 1);
    private final CrashHistory crashHistory = new CrashHistory(clock);
    private final CrashCausingParts crashCausingParts = new CrashCausingParts(clock, 1, new RecordingCrashListener());
    private final StreamOrigins origins = new StreamOrigins(clock);
    private final HeldPrompts heldPrompts = new HeldPrompts(fleet, clock);
    private final VersionHistory versionHistory = new VersionHistory(fleet, clock);
    private final AllotmentLedger allotments = new AllotmentLedger(1, clock, new AllotmentLimits(10_000, 0.1, 0));
    private boolean leaving;
    private final MemoryCompetition memoryCompetition = new MemoryCompetition(clock, true);
    private boolean mayIssueOrders = true;
    private StoreFollower follower;
    private PeerUpdates updates;

    @BeforeEach
    void createUpdates() {
        DecisionLog log = new DecisionLog("test", clock, new PrintStream(OutputStream.nullOutputStream()));
        WordsStoreProtocol storeProtocol = new WordsStoreProtocol();
        FakeUpstreamProtocol upstreamProtocol = new FakeUpstreamProtocol();
        InstanceNoticeRecorder noticeRecorder = new InstanceNoticeRecorder(pool.notices(), log, new MetricRegistry());
        DemandMeter demandMeter = new DemandMeter(clock);
        follower = new StoreFollower(
                storeProtocol,
                client,
                loop,
                clock,
                new FleetUpdates(storeProtocol, fleet, pool, versionHistory, CALLER_ADDRESS, log));
        StageOrders orders = new StageOrders(
                new OrderLeadership(clock, OWN_ADDRESS, 1),
                fleet,
                pool,
                demandMeter,
                upstreamProtocol,
                new UpstreamClient(client, upstreamProtocol, noticeRecorder),
                clock,
                log,
                "entry");
        updates = new PeerUpdates(
                pool,
                noticeRecorder,
                follower,
                crashHistory,
                crashCausingParts,
                origins,
                heldPrompts,
                versionHistory,
                demandMeter,
                orders,
                new EntryReports(1, fleet, pool, allotments, memoryCompetition, () -> 2, () -> true, () -> leaving),
                () -> 0,
                () -> mayIssueOrders,
                log);
        follower.applyRelayed(List.of(), new StorePosition(0, 5));
    }

    /** Guards against a caller that comes back and whom nobody can tell at which version its stream began. */
    @Test
    void originThatAnotherEntryToldIsKnownToAllThatAsk() {
        updates.onOrigins(List.of(new StreamOrigin("a-1", "v1", 1_000)));
        assertThat(updates.answer(new OriginPeers.Question("a-1", "service", 500))
                        .recordedVersion())
                .contains("v1");
        assertThat(updates.answer(new OriginPeers.Question("a-2", "service", 500))
                        .recordedVersion())
                .isEmpty();
        assertThat(updates.ownOrigins()).isEmpty();
    }

    /** Guards against an answer that passes what instances held at some time for a record of the stream. */
    @Test
    void whatInstancesHeldIsNotAnsweredAsARecord() {
        heldPrompts.record(instance("a"), 0, List.of(new HeldPart("m", "own", 100)));
        OriginPeers.Question question = new OriginPeers.Question("a-1", "service", 500, "m", "own");
        assertThat(updates.answer(question))
                .isEqualTo(new OriginPeers.Answers(
                        Optional.empty(), Set.of(), Set.of(instance("a").version())));
    }

    @Test
    void statusTellsOwnStateAndOwnWork() {
        pool.beginPrompt("a", 300);
        EntryStatus status = updates.status(OWN_ADDRESS, List.of(PEER_ADDRESS));
        assertThat(status.address()).isEqualTo(OWN_ADDRESS);
        assertThat(status.members()).containsExactly(PEER_ADDRESS);
        assertThat(status.storePosition()).isEqualTo(new StorePosition(0, 5));
        assertThat(status.work()).containsExactly(new EntryStatus.InstanceWork("a", 1, 300, List.of()));
    }

    /** A load that was relayed again and again would seem fresh for ever. Those of decode instances are of no use. */
    @Test
    void loadThatPlainInstanceReportedIsToldOnce() {
        fleet.put(instance("a"));
        fleet.put(instance("without-speed"));
        fleet.put(instance("engine").withStage(Stage.DECODE));
        pool.recordLoad("a", new UpstreamLoad(3, 1, 6, 120));
        pool.recordLoad("engine", new UpstreamLoad(3, 1, 6, 120));
        pool.recordLoad("without-speed", new UpstreamLoad(3, 1, 6));
        clock.advanceMillis(40);
        assertThat(updates.status(OWN_ADDRESS, List.of()).report().instanceLoads())
                .containsExactly(new EntryReport.InstanceLoad("a", 3, 1, 6, 120, 40));
        assertThat(updates.status(OWN_ADDRESS, List.of()).report().instanceLoads())
                .isEmpty();
    }

    /** A loss counts once at every other entry, so it is sent once. */
    @Test
    void lossIsToldWithNextStatusOnly() {
        crashHistory.recordLoss(new LostRun(7, "a", Suspicion.STRONG));
        assertThat(updates.status(OWN_ADDRESS, List.of()).lostRuns())
                .containsExactly(new LostRun(7, "a", Suspicion.STRONG));
        assertThat(updates.status(OWN_ADDRESS, List.of()).lostRuns()).isEmpty();
    }

    /** Words that were passed on would go in circles and never end. */
    @Test
    void leavingInstanceIsToldOnlyIfItToldThisEntry() {
        updates.onStatus(peerStatus(List.of(), List.of(), List.of(new EntryStatus.LeavingInstance("a", 1))));
        pool.notices().record(instance("b"), new InstanceNotice(true, OptionalLong.empty()));
        assertThat(pool.notices().isLeaving(instance("a"))).isTrue();
        assertThat(updates.status(OWN_ADDRESS, List.of()).leaving())
                .containsExactly(new EntryStatus.LeavingInstance("b", 1));
    }

    @Test
    void workOfPeerCountsUntilPeerIsLost() {
        updates.onStatus(
                peerStatus(List.of(new EntryStatus.InstanceWork("a", 1, 300, List.of())), List.of(), List.of()));
        assertThat(pool.queuedPromptTokens("a")).isEqualTo(300);
        updates.onLost(PEER_ADDRESS);
        assertThat(pool.queuedPromptTokens("a")).isZero();
    }

    /** Guards against entries that each have to lose instances to the same part of a prompt. */
    @Test
    void crashesThatPeersReportBlockTheirCommonPart() {
        crashCausingParts.recordBegun(List.of(1L));
        for (String instance : List.of("a", "b")) {
            CrashReport.Crash crash = new CrashReport.Crash(instance, 1, 0, 0, List.of(Set.of(1L, 2L)));
            updates.onStatus(peerStatus(new CrashReport(List.of(crash), List.of(), List.of())));
            clock.advanceMillis(1_000);
            crashCausingParts.recordBegun(List.of(1L));
        }
        assertThat(crashCausingParts.isBlocked(List.of(2L))).isTrue();
        assertThat(crashCausingParts.isBlocked(List.of(1L))).isFalse();
        assertThat(updates.status(OWN_ADDRESS, List.of()).crashReport().blocks())
                .extracting(CrashReport.Block::parts)
                .containsExactly(Set.of(2L));
    }

    /** A request that crashes instances does so whichever entry sends it. */
    @Test
    void lossesOfPeersBlockRequest() {
        crashHistory.recordLoss(new LostRun(7, "a", Suspicion.STRONG));
        updates.onStatus(peerStatus(List.of(), List.of(new LostRun(7, "b", Suspicion.STRONG)), List.of()));
        assertThat(crashHistory.isBlocked(7)).isTrue();
    }

    @Test
    void ordersArePreparedWithStatusOnlyWhileTheyMayBeIssued() {
        mayIssueOrders = false;
        updates.status(OWN_ADDRESS, List.of());
        clock.advanceMillis(LEADING_MILLIS);
        assertThat(updates.status(OWN_ADDRESS, List.of()).highestFencingToken()).isZero();
        mayIssueOrders = true;
        updates.status(OWN_ADDRESS, List.of());
        clock.advanceMillis(LEADING_MILLIS);
        assertThat(updates.status(OWN_ADDRESS, List.of()).highestFencingToken()).isPositive();
    }

    @Test
    void relayedChangesAreAppliedAndRelayedInTurn() {
        EntryStatus ahead = new EntryStatus(
                PEER_ADDRESS,
                List.of(),
                new StorePosition(0, 6),
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                0,
                List.of(),
                CrashReport.EMPTY,
                EntryReport.EMPTY);
        clock.advanceMillis(60_000);
        assertThat(updates.isBehind(ahead)).isTrue();
        StoreChange change =
                new StoreChange("a", new StorePosition(0, 6), Optional.of("ready 1".getBytes(StandardCharsets.UTF_8)));
        updates.onChanges(List.of(change), new StorePosition(0, 6));
        assertThat(fleet.find("a")).isPresent();
        assertThat(updates.storePosition()).isEqualTo(new StorePosition(0, 6));
        assertThat(updates.changesAfter(new StorePosition(0, 5))).containsExactly(change);
        assertThat(updates.isBehind(ahead)).isFalse();
    }

    /** Guards against requests that wait at another entry and are not known here, or are known after its end. */
    @Test
    void waitingRequestsOfAPeerCompeteUntilItIsLost() {
        EntryReport report = new EntryReport(
                1, 1, AllotmentReport.EMPTY, List.of(), List.of(new EntryReport.WaitingRequests("service", 0, 2, 3)));
        updates.onStatus(peerStatus(report));
        assertThat(memoryCompetition.competition("service", 1)).isEqualTo(new WaitRanking.Competition(2, 3, 0));
        updates.onLost(PEER_ADDRESS);
        assertThat(memoryCompetition.competition("service", 1)).isEqualTo(new WaitRanking.Competition(0, 0, 0));
    }

    /** Guards against counts that start to travel in deployments without workspaces. */
    @Test
    void nothingIsReportedOfAllotmentsWithoutWorkspaces() {
        assertThat(updates.status(OWN_ADDRESS, List.of()).report().allotments().uses())
                .isEmpty();
        fleet.replaceRoutes(RouteTable.of(1, List.of(), List.of(), 1_000));
        assertThat(updates.status(OWN_ADDRESS, List.of()).report().allotments().uses())
                .isEmpty();
    }

    /** Guards against entries that each grant a workspace all of its allotment. */
    @Test
    void usesTravelInTheStatusAndThoseOfPeersCount() {
        fleet.replaceRoutes(RouteTable.of(1, List.of(), List.of(), 1_000).withWorkspaces(new Workspaces(Map.of())));
        clock.advanceMillis(10_000);
        updates.onStatus(peerStatus(new EntryReport(5, 1, AllotmentReport.EMPTY, List.of(), List.of())));
        clock.advanceMillis(1_000);
        updates.status(OWN_ADDRESS, List.of());
        Allotment allotment = new Allotment(AllotmentUnit.REQUESTS, 1, 10, 1);
        allotments.admit("w", allotment, 1);
        EntryReport.AllotmentUse own = updates.status(OWN_ADDRESS, List.of()).report().allotments().uses().stream()
                .filter(use -> use.workspace().equals("w"))
                .findFirst()
                .orElseThrow();
        assertThat(own.offered()).isEqualTo(1);
        long usedBefore = allotments.workspaceStates().getFirst().usedInWindow();
        updates.onStatus(
                peerStatus(new EntryReport(5, 1, new AllotmentReport(0, false, List.of(own)), List.of(), List.of())));
        assertThat(allotments.workspaceStates().getFirst().usedInWindow()).isEqualTo(usedBefore + 1);
        updates.onLost(PEER_ADDRESS);
        assertThat(allotments.share()).isLessThan(1);
    }

    private static EntryStatus peerStatus(EntryReport report) {
        return new EntryStatus(
                PEER_ADDRESS,
                List.of(),
                StorePosition.START,
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                0,
                List.of(),
                CrashReport.EMPTY,
                report);
    }

    private static EntryStatus peerStatus(
            List<EntryStatus.InstanceWork> work, List<LostRun> lostRuns, List<EntryStatus.LeavingInstance> leaving) {
        return new EntryStatus(
                PEER_ADDRESS,
                List.of(),
                StorePosition.START,
                work,
                lostRuns,
                List.of(),
                List.of(),
                0,
                leaving,
                CrashReport.EMPTY,
                EntryReport.EMPTY);
    }

    private static EntryStatus peerStatus(CrashReport crashReport) {
        return new EntryStatus(
                PEER_ADDRESS,
                List.of(),
                StorePosition.START,
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                0,
                List.of(),
                crashReport,
                EntryReport.EMPTY);
    }

    private static UpstreamInstance instance(String identifier) {
        return new UpstreamInstance(
                identifier, "service", new InetSocketAddress("127.0.0.1", 1), "near", 16, false, Stage.PLAIN, 1, "v1");
    }
}
