package org.merlinwood.gateway.front;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.tuple;
import static org.merlinwood.gateway.front.SentStream.FIRST_EVENT;
import static org.merlinwood.gateway.front.SentStream.SECOND_EVENT;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.merlinwood.core.result.ExecutionState;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.gateway.FakeHttpClient.SentRequest;
import org.merlinwood.gateway.FakeUpstreamProtocol;
import org.merlinwood.gateway.decision.HomeVersion;
import org.merlinwood.gateway.decision.OriginPeers;
import org.merlinwood.gateway.decision.PendingGeneration;
import org.merlinwood.gateway.decision.StreamOrigin;
import org.merlinwood.gateway.fleet.Stage;
import org.merlinwood.gateway.fleet.UpstreamInstance;
import org.merlinwood.gateway.request.Prompt;
import org.merlinwood.gateway.route.RequestKind;

/** Guards against streams that hold events from instances of two software versions. */
final class StreamVersionTest {

    private static final Prompt OTHER_WORK = new Prompt("m", 2_000, 100, OptionalInt.empty(), List.of());

    /**
     * Returns a fixture whose stream was sent to the only instance of version v1, d1. Of the instances that register
     * then, d3 of v1 has more work than d2 of v2, so load alone speaks for d2.
     */
    private static RequestProcessorFixture fixtureWithSentStream() {
        RequestProcessorFixture fixture = new RequestProcessorFixture(RequestKind.STREAM, true);
        fixture.registerVersion("v1", Stage.DECODE, "d1");
        fixture.sendRequest("/p/x");
        fixture.grantMemory("hold-1");
        fixture.registerVersion("v2", Stage.DECODE, "d2");
        fixture.registerVersion("v1", Stage.DECODE, "d3");
        fixture.pool.beginGeneration("d3", PendingGeneration.of(OTHER_WORK));
        return fixture;
    }

    private static RequestProcessorFixture fixtureWithBegunStream() {
        RequestProcessorFixture fixture = fixtureWithSentStream();
        SentStream.begin(fixture.client.last());
        return fixture;
    }

    private static void loseInstance(RequestProcessorFixture fixture) {
        fixture.client.last().fail(ResultCode.CONNECTION_LOST, ExecutionState.UNKNOWN);
    }

    /** Guards against a response that goes on at another version after its instance was lost. */
    @Test
    void interruptedStreamGoesOnAtTheVersionThatBeganIt() {
        RequestProcessorFixture fixture = fixtureWithBegunStream();
        loseInstance(fixture);
        assertThat(fixture.client.last().request().path()).startsWith("/d3/hold/");
    }

    /** Guards against a replacement of another version for an instance that falls silent within its response. */
    @Test
    void silentInstanceOfABegunStreamIsReplacedAtItsVersion() {
        RequestProcessorFixture fixture = fixtureWithBegunStream();
        fixture.staySilent(fixture.client.last(), SentStream.SILENCE_MILLIS);
        assertThat(fixture.client.last().request().path()).startsWith("/d3/hold/");
    }

    /** Guards against a caller whose connection was lost and who gets the rest of its stream from another version. */
    @Test
    void streamOfACallerThatComesBackGoesOnAtTheVersionThatBeganIt() {
        RequestProcessorFixture fixture = fixtureWithBegunStream();
        fixture.caller.disconnect();
        fixture.fleet.remove("d1");
        fixture.sendResumingAttempt("attempt-2", RequestProcessorFixture.ATTEMPT, 1);
        assertThat(fixture.client.last().request().path()).startsWith("/d3/hold/");
    }

    /** Guards against a caller who waits for an instance of a version that no instance runs any more. */
    @Test
    void streamWhoseVersionIsGoneIsBrokenOffAtOnce() {
        RequestProcessorFixture fixture = fixtureWithBegunStream();
        SentRequest attempt = fixture.client.last();
        fixture.fleet.remove("d1");
        fixture.fleet.remove("d3");
        attempt.fail(ResultCode.CONNECTION_LOST, ExecutionState.UNKNOWN);
        assertThat(fixture.caller.aborted).isTrue();
        assertThat(fixture.hasSent("/d2/run")).isFalse();
    }

    /** Guards against the rest of a stream that is generated from a prompt which another version computed. */
    @Test
    void promptOfABegunStreamIsComputedAtItsVersion() {
        RequestProcessorFixture fixture = fixtureWithBegunStream();
        fixture.registerVersion("v2", Stage.PREFILL, "f2");
        fixture.registerVersion("v1", Stage.PREFILL, "f1");
        fixture.pool.beginPrompt("f1", 500);
        loseInstance(fixture);
        fixture.grantMemory("hold-2");
        assertThat(fixture.client.last().request().path()).isEqualTo("/f1/prefill");
    }

    /** Until the caller has an event, any version may begin the stream: the one that sends first binds it. */
    @Test
    void streamWithoutAnEventMayBeginAtAnyVersion() {
        RequestProcessorFixture fixture = fixtureWithSentStream();
        loseInstance(fixture);
        fixture.grantMemory("hold-2");
        assertThat(fixture.client.last().request().path()).isEqualTo("/d2/run");
        SentStream.begin(fixture.client.last());
        assertThat(fixture.caller.body).isEqualTo(FIRST_EVENT);
        assertThat(fixture.caller.headers).contains(FakeUpstreamProtocol.SIGNED);
    }

    /** Guards against a stream that ends where only its silent instance's version is left: that one may go on. */
    @Test
    void silentInstanceWithoutAnotherOfItsVersionGoesOn() {
        RequestProcessorFixture fixture = fixtureWithBegunStream();
        SentRequest attempt = fixture.client.last();
        fixture.fleet.remove("d3");
        fixture.staySilent(attempt, SentStream.SILENCE_MILLIS);
        attempt.bytes(SECOND_EVENT);
        attempt.end();
        SentStream.assertComplete(fixture);
    }

    /** Guards against a caller that comes back to an entry which must ask the others for its stream's version. */
    @Test
    void versionOfAStreamThatBeganElsewhereIsAskedFor() {
        RequestProcessorFixture fixture = fixtureWithSentStream();
        fixture.originPeers.answers = new OriginPeers.Answers(Optional.of("v1"), Set.of(), Set.of());
        fixture.fleet.remove("d1");
        int sent = fixture.client.sent().size();
        fixture.sendResumingAttempt("attempt-2", "attempt-at-another-entry", 1);
        assertThat(fixture.client.sent()).hasSize(sent);
        fixture.loop.advance(FakeOriginPeers.ANSWER_MILLIS);
        assertThat(fixture.originPeers.questions)
                .extracting(OriginPeers.Question::attempt)
                .containsExactly("attempt-at-another-entry");
        assertThat(fixture.client.last().request().path()).startsWith("/d3/hold/");
    }

    /**
     * Guards against a guess where nobody knows the version any more and there are two: the caller learns it at once.
     */
    @Test
    void streamOfUnknownVersionIsRefusedAtOnce() {
        RequestProcessorFixture fixture = fixtureWithSentStream();
        int sent = fixture.client.sent().size();
        fixture.sendResumingAttempt("attempt-2", "attempt-at-another-entry", 1);
        fixture.loop.advance(FakeOriginPeers.ANSWER_MILLIS);
        assertThat(fixture.caller.status).isEqualTo(503);
        assertThat(fixture.caller.body).contains("2009");
        assertThat(fixture.client.sent()).hasSize(sent);
    }

    /**
     * Guards against a stream that can't go on, or goes on at another version, since all entries that knew it were
     * lost: the instances still hold its prompt.
     */
    @ParameterizedTest
    @CsvSource({"own:99 shared:100, shared:100, /d1/hold/", "shared:100, own:40, /d2/hold/"})
    void streamThatNoEntryKnowsGoesOnAtTheVersionThatHoldsItsPrompt(
            String heldAtFirst, String heldAtSecond, String pathPrefix) {
        RequestProcessorFixture fixture = fixtureWithTwoVersions();
        takeUpUnknownStream(fixture, heldAtFirst, heldAtSecond);
        assertThat(fixture.client.last().request().path()).startsWith(pathPrefix);
    }

    /** Guards against a guess: a prompt that two versions hold, or none, doesn't tell where its stream began. */
    @ParameterizedTest
    @CsvSource({"own:100, own:100", "shared:100, shared:100", "'', ''"})
    void streamIsRefusedIfItsPromptDoesNotTellItsVersion(String heldAtFirst, String heldAtSecond) {
        RequestProcessorFixture fixture = fixtureWithTwoVersions();
        takeUpUnknownStream(fixture, heldAtFirst, heldAtSecond);
        assertThat(fixture.caller.body).contains("2009");
    }

    /**
     * Guards against a stream that goes on at another version since an instance that holds its prompt was silent for a
     * second when it was asked: a former request of the session left the prompt at the other version.
     */
    @ParameterizedTest
    @CsvSource({"own:100, ''", "shared:100, /d2/hold/"})
    void streamWaitsForAnInstanceThatIsSilentForASecond(String heldAtSilent, String pathPrefix) {
        RequestProcessorFixture fixture = fixtureWithTwoVersions();
        List<SentRequest> questions = askForHeldPrompts(fixture);
        questions.getLast().respond(200, "own:100");
        fixture.staySilent(questions.getFirst(), 1_000);
        assertThat(fixture.hasSent("/d2/run") || fixture.caller.ended).isFalse();
        questions.getFirst().respond(200, heldAtSilent);
        if (pathPrefix.isEmpty()) {
            assertThat(fixture.caller.body).contains("2009");
        } else {
            assertThat(fixture.client.last().request().path()).startsWith(pathPrefix);
        }
    }

    /** Guards against a guess where an instance of another version can't be asked: it may hold the prompt. */
    @ParameterizedTest
    @ValueSource(strings = {"refuses the connection", "stays silent", "declines", "sends no listing"})
    void streamIsRefusedIfAnInstanceOfAnotherVersionMayHoldItsPrompt(String behaviour) {
        RequestProcessorFixture fixture = fixtureWithTwoVersions();
        if (behaviour.equals("declines")) {
            fixture.recordNotice("d1", FakeUpstreamProtocol.declined(10_000));
        }
        List<SentRequest> questions = askForHeldPrompts(fixture);
        questions.getLast().respond(200, "own:100");
        switch (behaviour) {
            case "refuses the connection" ->
                questions.getFirst().fail(ResultCode.CONNECTION_LOST, ExecutionState.NOT_RUN);
            case "stays silent" -> fixture.staySilent(questions.getFirst(), 2_000);
            case "sends no listing" -> questions.getFirst().respond(404, "");
            default -> {}
        }
        assertThat(fixture.caller.body).contains("2009");
    }

    /**
     * Guards against refusals: an instance of another version can't be asked, but the requests of this session begin at
     * the version that holds the prompt.
     */
    @ParameterizedTest
    @ValueSource(strings = {"refuses the connection", "stays silent", "declines"})
    void streamGoesOnAtTheHomeVersionOfItsSessionIfThatHoldsItsPrompt(String behaviour) {
        RequestProcessorFixture fixture = fixtureWithTwoVersions();
        assertThat(HomeVersion.of("own", fixture.fleet.instances("service"))).contains("v1");
        if (behaviour.equals("declines")) {
            fixture.recordNotice("d2", FakeUpstreamProtocol.declined(10_000));
        }
        List<SentRequest> questions = askForHeldPrompts(fixture);
        questions.getFirst().respond(200, "own:100");
        switch (behaviour) {
            case "refuses the connection" ->
                questions.getLast().fail(ResultCode.CONNECTION_LOST, ExecutionState.NOT_RUN);
            case "stays silent" -> fixture.staySilent(questions.getLast(), 2_000);
            default -> {}
        }
        assertThat(fixture.client.last().request().path()).startsWith("/d1/hold/");
    }

    /** Guards against a refusal, or a wait, for an instance whose answer can't change anything. */
    @Test
    void streamDoesNotWaitForAnInstanceOfTheVersionThatHoldsItsPrompt() {
        RequestProcessorFixture fixture = fixtureWithTwoVersions();
        fixture.registerVersion("v2", Stage.DECODE, "d3");
        List<SentRequest> questions = askForHeldPrompts(fixture);
        questions.get(0).respond(200, "shared:100");
        questions.get(1).respond(200, "own:100");
        assertThat(fixture.hasSent("/d2/held")).isTrue();
        assertThat(fixture.client.last().request().path()).matches("/d[23]/hold/.*");
    }

    /**
     * Guards against a stream that goes on at another version since the instances were asked before it began: a former
     * request of its session had left the prompt there.
     */
    @ParameterizedTest
    @CsvSource({"own:100, ''", "shared:100, /d1/hold/"})
    void whatInstancesHeldEarlierDoesNotTellTheVersionOfALaterStream(String heldAtSecond, String pathPrefix) {
        RequestProcessorFixture fixture = fixtureWithTwoVersions();
        takeUpUnknownStream(fixture, "own:100", "shared:100");
        assertThat(fixture.origins.versionOf("attempt-at-another-entry"))
                .as("a record")
                .isEmpty();
        fixture.caller.disconnect();
        fixture.loop.advance(RequestProcessorFixture.CALLER_TIME_MILLIS);
        int sent = fixture.client.sent().size();
        askForHeldPrompts(fixture);
        List<SentRequest> questions = List.copyOf(
                fixture.client.sent().subList(sent, fixture.client.sent().size()));
        assertThat(questions).extracting(question -> question.request().path()).containsExactly("/d1/held", "/d2/held");
        questions.getFirst().respond(200, "shared:100");
        questions.getLast().respond(200, heldAtSecond);
        if (pathPrefix.isEmpty()) {
            assertThat(fixture.caller.body).contains("2009");
        } else {
            assertThat(fixture.client.last().request().path()).startsWith(pathPrefix);
        }
    }

    /** Guards against a stream that goes on where instances told another entry that they held its prompt, earlier. */
    @ParameterizedTest
    @CsvSource({"v1, shared:100, /d1/hold/", "v1, own:100, ''", "v1 v2, shared:100, ''"})
    void whatInstancesToldOtherEntriesCountsBesideWhatTheyTellNow(
            String heldElsewhere, String heldAtSecond, String pathPrefix) {
        RequestProcessorFixture fixture = fixtureWithTwoVersions();
        fixture.originPeers.answers =
                new OriginPeers.Answers(Optional.empty(), Set.of(), Set.of(heldElsewhere.split(" ")));
        takeUpUnknownStream(fixture, "shared:100", heldAtSecond);
        if (pathPrefix.isEmpty()) {
            assertThat(fixture.caller.body).contains("2009");
        } else {
            assertThat(fixture.client.last().request().path()).startsWith(pathPrefix);
        }
    }

    /** Guards against a listing that reaches an instance which wants no request now. */
    @Test
    void instanceThatWantsNoRequestIsNotAskedForItsPrompts() {
        RequestProcessorFixture fixture = fixtureWithTwoVersions();
        fixture.recordNotice("d1", FakeUpstreamProtocol.declined(2_000));
        fixture.sendResumingAttemptWithParts("attempt-2", "attempt-at-another-entry", 1, "shared", "own");
        fixture.loop.advance(FakeOriginPeers.ANSWER_MILLIS);
        assertThat(fixture.client.sent())
                .extracting(sent -> sent.request().path())
                .containsExactly("/d2/held");
    }

    private static RequestProcessorFixture fixtureWithTwoVersions() {
        RequestProcessorFixture fixture = new RequestProcessorFixture(RequestKind.STREAM, true);
        fixture.registerVersion("v1", Stage.DECODE, "d1");
        fixture.registerVersion("v2", Stage.DECODE, "d2");
        return fixture;
    }

    /** Takes up a stream that no entry knows; returns the questions to the instances. */
    private static List<SentRequest> askForHeldPrompts(RequestProcessorFixture fixture) {
        fixture.sendResumingAttemptWithParts("attempt-2", "attempt-at-another-entry", 1, "shared", "own");
        fixture.loop.advance(FakeOriginPeers.ANSWER_MILLIS);
        return List.copyOf(fixture.client.sent());
    }

    private static void takeUpUnknownStream(RequestProcessorFixture fixture, String heldAtFirst, String heldAtSecond) {
        List<SentRequest> questions = askForHeldPrompts(fixture);
        assertThat(questions).extracting(question -> question.request().path()).containsExactly("/d1/held", "/d2/held");
        questions.getFirst().respond(200, heldAtFirst);
        questions.getLast().respond(200, heldAtSecond);
    }

    /**
     * Guards against an entry out of step, cut off or standing still while instances of another version joined, which
     * takes the version that it knows for the only one.
     */
    @Test
    void soleVersionDoesNotCountAtAnEntryThatCannotReachTheStore() {
        RequestProcessorFixture fixture = fixtureWhereOthersKnowASoleVersion();
        fixture.storeConfirmation.current = false;
        takeUpStreamOfUnknownOrigin(fixture);
        assertThat(fixture.caller.body).contains("2009");
    }

    /** The same for an entry that learns of the other version only when it asks the store. */
    @Test
    void soleVersionDoesNotCountIfTheStoreKnowsOfAnotherOne() {
        RequestProcessorFixture fixture = fixtureWhereOthersKnowASoleVersion();
        fixture.storeConfirmation.changes = () -> fixture.registerVersion("v2", Stage.DECODE, "d2");
        takeUpStreamOfUnknownOrigin(fixture);
        assertThat(fixture.caller.body).contains("2009");
    }

    private static RequestProcessorFixture fixtureWhereOthersKnowASoleVersion() {
        RequestProcessorFixture fixture = new RequestProcessorFixture(RequestKind.STREAM, true);
        fixture.registerVersion("v1", Stage.DECODE, "d1");
        fixture.originPeers.answers = new OriginPeers.Answers(Optional.empty(), Set.of("v1"), Set.of());
        return fixture;
    }

    private static void takeUpStreamOfUnknownOrigin(RequestProcessorFixture fixture) {
        fixture.sendResumingAttempt("attempt-2", "attempt-at-another-entry", 1);
        fixture.loop.advance(FakeOriginPeers.ANSWER_MILLIS);
    }

    /** Guards against a refusal where the service has had one version only, so that nobody needs to remember it. */
    @ParameterizedTest
    @CsvSource({"v1, /d1/hold/", "v2, ''"})
    void streamGoesOnWithoutARecordWhereThereIsOnlyOneVersion(String soleVersion, String pathPrefix) {
        RequestProcessorFixture fixture = new RequestProcessorFixture(RequestKind.STREAM, true);
        fixture.registerVersion("v1", Stage.DECODE, "d1");
        fixture.originPeers.answers = new OriginPeers.Answers(Optional.empty(), Set.of(soleVersion), Set.of());
        fixture.sendResumingAttempt("attempt-2", "attempt-at-another-entry", 1);
        fixture.loop.advance(FakeOriginPeers.ANSWER_MILLIS);
        if (pathPrefix.isEmpty()) {
            assertThat(fixture.caller.body).contains("2009");
        } else {
            assertThat(fixture.client.last().request().path()).startsWith(pathPrefix);
        }
    }

    /** Guards against an entry that dies with what it knows: the others are told before the caller has an event. */
    @Test
    void othersAreToldTheVersionBeforeTheFirstEvent() {
        RequestProcessorFixture fixture = fixtureWithSentStream();
        assertThat(fixture.originPeers.told)
                .extracting(StreamOrigin::attempt, StreamOrigin::version)
                .containsExactly(tuple(RequestProcessorFixture.ATTEMPT, "v1"));
        loseInstance(fixture);
        fixture.grantMemory("hold-2");
        assertThat(fixture.originPeers.told).extracting(StreamOrigin::version).containsExactly("v1", "v2");
        SentStream.begin(fixture.client.last());
        assertThat(fixture.originPeers.told).hasSize(2);
    }

    /** Guards against records of a replacement that was told last where the silent instance sends first. */
    @Test
    void othersAreToldTheVersionOfTheInstanceThatSendsFirst() {
        RequestProcessorFixture fixture = fixtureWithSentStream();
        SentRequest silent = fixture.client.last();
        fixture.staySilent(silent, SentStream.SILENCE_MILLIS);
        fixture.grantMemory("hold-2");
        assertThat(fixture.client.last().request().path()).isEqualTo("/d2/run");
        SentStream.begin(silent);
        assertThat(fixture.originPeers.told).extracting(StreamOrigin::version).containsExactly("v1", "v2", "v1");
        assertThat(fixture.origins.versionOf(RequestProcessorFixture.ATTEMPT)).contains("v1");
    }

    /** Guards against events of an instance that started again, under its identifier, with another version. */
    @Test
    void eventsOfAnInstanceThatStartedAgainWithAnotherVersionAreNotForwarded() {
        RequestProcessorFixture fixture = fixtureWithBegunStream();
        loseInstance(fixture);
        fixture.grantMemory("hold-2");
        assertThat(fixture.client.last().request().path()).isEqualTo("/d3/run");
        UpstreamInstance former = fixture.fleet.find("d3").orElseThrow();
        fixture.registerVersion("v2", Stage.DECODE, "d3");
        fixture.fleet.put(fixture.fleet.find("d3").orElseThrow().withStart(former.startedUnixMillis() + 1));
        fixture.client.last().head(200, RequestProcessorFixture.MATCHING_RESPONSE_HEADERS);
        fixture.client.last().bytes(SECOND_EVENT);
        assertThat(fixture.caller.body).isEqualTo(FIRST_EVENT);
    }
}
