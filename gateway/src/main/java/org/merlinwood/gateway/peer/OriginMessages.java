package org.merlinwood.gateway.peer;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.merlinwood.gateway.decision.OriginPeers;
import org.merlinwood.gateway.decision.StreamOrigin;
import org.merlinwood.wire.Frame;
import org.merlinwood.wire.StreamOriginAnswer;
import org.merlinwood.wire.StreamOriginRequest;
import org.merlinwood.wire.StreamOrigins;

/** Converts stream origins, and the questions for them, to frames and back. Stateless. */
final class OriginMessages {

    private OriginMessages() {}

    static Frame.Builder origins(List<StreamOrigin> origins) {
        StreamOrigins.Builder builder = StreamOrigins.newBuilder();
        origins.forEach(origin -> builder.addOrigins(org.merlinwood.wire.StreamOrigin.newBuilder()
                .setAttempt(origin.attempt())
                .setVersion(origin.version())
                .setLifetimeMillis((int) origin.lifetimeMillis())));
        return Frame.newBuilder().setStreamOrigins(builder);
    }

    static List<StreamOrigin> origins(StreamOrigins wire) {
        return wire.getOriginsList().stream()
                .map(origin -> new StreamOrigin(
                        origin.getAttempt(), origin.getVersion(), Integer.toUnsignedLong(origin.getLifetimeMillis())))
                .toList();
    }

    static Frame.Builder request(long number, OriginPeers.Question question) {
        return Frame.newBuilder()
                .setStreamOriginRequest(StreamOriginRequest.newBuilder()
                        .setNumber(number)
                        .setAttempt(question.attempt())
                        .setService(question.service())
                        .setStreamMillis((int) question.streamMillis())
                        .setModel(question.model())
                        .setPromptPart(question.promptPart()));
    }

    static OriginPeers.Question question(StreamOriginRequest wire) {
        return new OriginPeers.Question(
                wire.getAttempt(),
                wire.getService(),
                Integer.toUnsignedLong(wire.getStreamMillis()),
                wire.getModel(),
                wire.getPromptPart());
    }

    static Frame.Builder answer(long number, OriginPeers.Answers answers) {
        return Frame.newBuilder()
                .setStreamOriginAnswer(StreamOriginAnswer.newBuilder()
                        .setNumber(number)
                        .setVersion(answers.recordedVersion().orElse(""))
                        .addAllSoleVersions(answers.soleVersions())
                        .addAllHeldVersions(answers.heldVersions()));
    }

    static OriginPeers.Answers answers(StreamOriginAnswer wire) {
        return new OriginPeers.Answers(
                Optional.of(wire.getVersion()).filter(version -> !version.isEmpty()),
                Set.copyOf(wire.getSoleVersionsList()),
                Set.copyOf(wire.getHeldVersionsList()));
    }
}
