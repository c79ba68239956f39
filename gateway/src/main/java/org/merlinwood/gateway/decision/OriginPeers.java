package org.merlinwood.gateway.decision;

import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

/** The other entries as those that keep copies of stream origins. Confined to the event loop. */
public interface OriginPeers {

    /**
     * Sends an origin to some other entries, which keep it in case this one is lost.
     *
     * @param origin the origin
     */
    void tell(StreamOrigin origin);

    /**
     * Asks other entries for the origin of a stream.
     *
     * @param question what is asked
     * @param consumer receives what they know, exactly once and never before this method returns; soon, also if some
     *     don't answer
     */
    void ask(Question question, Consumer<Answers> consumer);

    /**
     * A question for the origin of a stream.
     *
     * @param attempt identifier of the attempt that brought its first event; empty if it isn't known
     * @param service name of the service that generates it
     * @param streamMillis longest time for which a stream of the service goes on, in milliseconds
     * @param model name of the model; empty if the stream has no prompt
     * @param promptPart identifier of the last part of its prompt, which belongs to the request; empty if it has none
     */
    record Question(String attempt, String service, long streamMillis, String model, String promptPart) {

        /**
         * Creates the question for a stream without a prompt.
         *
         * @param attempt as above
         * @param service as above
         * @param streamMillis as above
         */
        public Question(String attempt, String service, long streamMillis) {
            this(attempt, service, streamMillis, "", "");
        }

        /**
         * Returns the part of prompts that instances are asked for.
         *
         * @return the part; its identifier is empty if the stream has none
         */
        public HeldPrompts.Key heldPart() {
            return new HeldPrompts.Key(service, model, promptPart);
        }
    }

    /**
     * What the other entries know. Immutable.
     *
     * <p>A record goes before all else: it was made when the stream began. What an instance held when an entry asked it
     * doesn't tell whether the stream had begun by then.
     *
     * @param recordedVersion the version that the stream is bound to, as an entry recorded it; empty if none of them
     *     did
     * @param soleVersions of each one that knows of a single version for the time of a stream, that version
     * @param heldVersions the versions of the instances that held the prompt when one of them asked
     */
    record Answers(Optional<String> recordedVersion, Set<String> soleVersions, Set<String> heldVersions) {

        /** Copies the versions. */
        public Answers {
            soleVersions = Set.copyOf(soleVersions);
            heldVersions = Set.copyOf(heldVersions);
        }
    }
}
