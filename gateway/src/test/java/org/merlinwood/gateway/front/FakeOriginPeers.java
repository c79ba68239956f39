package org.merlinwood.gateway.front;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.merlinwood.gateway.ManualLoop;
import org.merlinwood.gateway.decision.OriginPeers;
import org.merlinwood.gateway.decision.StreamOrigin;

/** Other entries whose answers the test sets; they answer when the loop advances. */
final class FakeOriginPeers implements OriginPeers {

    /** Time until the answers come, in milliseconds. */
    static final long ANSWER_MILLIS = 5;

    final List<StreamOrigin> told = new ArrayList<>();
    final List<Question> questions = new ArrayList<>();
    Answers answers = new Answers(Optional.empty(), Set.of(), Set.of());
    private final ManualLoop loop;

    FakeOriginPeers(ManualLoop loop) {
        this.loop = loop;
    }

    @Override
    public void tell(StreamOrigin origin) {
        told.add(origin);
    }

    @Override
    public void ask(Question question, Consumer<Answers> consumer) {
        questions.add(question);
        loop.schedule(ANSWER_MILLIS, () -> consumer.accept(answers));
    }
}
