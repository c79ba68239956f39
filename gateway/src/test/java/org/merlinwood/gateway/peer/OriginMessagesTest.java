package org.merlinwood.gateway.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.merlinwood.gateway.crash.CrashReport;
import org.merlinwood.gateway.decision.EntryReport;
import org.merlinwood.gateway.decision.EntryStatus;
import org.merlinwood.gateway.decision.OriginPeers;
import org.merlinwood.gateway.decision.StreamOrigin;
import org.merlinwood.gateway.follow.StorePosition;
import org.merlinwood.wire.StreamOriginAnswer;

final class OriginMessagesTest {

    @Test
    void originsArriveUnchanged() {
        List<StreamOrigin> origins = List.of(new StreamOrigin("a-1", "v1", 16_000), new StreamOrigin("a-2", "v1.1", 1));
        assertThat(OriginMessages.origins(OriginMessages.origins(origins).getStreamOrigins()))
                .isEqualTo(origins);
    }

    @Test
    void questionArrivesUnchanged() {
        OriginPeers.Question question = new OriginPeers.Question("a-1", "service", 28_000);
        assertThat(OriginMessages.question(OriginMessages.request(7, question).getStreamOriginRequest()))
                .isEqualTo(question);
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "v1"})
    void answerArrivesUnchanged(String version) {
        OriginPeers.Answers answers = new OriginPeers.Answers(
                Optional.of(version).filter(text -> !text.isEmpty()), Set.of("v1"), Set.of("v2", "v3"));
        StreamOriginAnswer message = OriginMessages.answer(7, answers).getStreamOriginAnswer();
        assertThat(message.getNumber()).isEqualTo(7);
        assertThat(OriginMessages.answers(message)).isEqualTo(answers);
    }

    /** Guards against entries of an earlier release that close the session because of messages that they don't know. */
    @Test
    void statusSaysThatItsEntryKeepsOrigins() {
        EntryStatus status = new EntryStatus(
                "10.0.0.1:7",
                List.of(),
                StorePosition.START,
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                0,
                List.of(),
                CrashReport.EMPTY,
                EntryReport.EMPTY);
        assertThat(PeerMessages.status(status).getEntryStatus().getKeepsStreamOrigins())
                .isTrue();
        assertThat(org.merlinwood.wire.EntryStatus.getDefaultInstance().getKeepsStreamOrigins())
                .isFalse();
    }
}
