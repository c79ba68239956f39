package org.merlinwood.gateway.front;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.merlinwood.gateway.decision.HeldVersion;
import org.merlinwood.gateway.decision.HomeVersion;
import org.merlinwood.gateway.decision.OriginPeers;
import org.merlinwood.gateway.request.CallerRequest;
import org.merlinwood.gateway.request.Prompt;
import org.merlinwood.gateway.request.PromptPart;

/**
 * Finds the software version that began a stream which its caller takes up again. Asks, until one knows: this entry,
 * the other entries, what is known of the service (it had a single version), and the instances, which hold the prompt.
 *
 * <p>That a service had a single version counts only if this entry's copy of the store is current: an entry that is cut
 * off, or that stood still, doesn't know the instances that registered meanwhile. Used by the event loop alone.
 */
final class StreamOriginSearch {

    private final RequestProcessorContext context;
    private final CallerRequest request;
    private final OriginPeers.Question question;

    /** From where a version is known. */
    enum Source {
        /** A record of this entry. */
        OWN_RECORD("own record"),
        /** A record of another entry. */
        OTHER_ENTRY("another entry"),
        /** The service had no other version while the stream may have begun. */
        SOLE_VERSION("only version"),
        /** All instances that hold the prompt run it. */
        HELD_PROMPT("held prompt");

        private final String description;

        Source(String description) {
            this.description = description;
        }

        /** Returns the name for log lines. */
        String description() {
            return description;
        }
    }

    /**
     * A version that was found.
     *
     * @param version the software version that began the stream
     * @param source from where it is known
     */
    record Origin(String version, Source source) {}

    /**
     * Creates a search.
     *
     * @param context the components of the process
     * @param request the request, which names the attempt that began the stream
     * @param service name of the service
     * @param streamMillis longest time for which a stream goes on, in milliseconds
     */
    StreamOriginSearch(RequestProcessorContext context, CallerRequest request, String service, long streamMillis) {
        this.context = context;
        this.request = request;
        this.question = new OriginPeers.Question(
                request.resumedAttempt().orElse(""),
                service,
                streamMillis,
                request.prompt().map(Prompt::model).orElse(""),
                request.prompt()
                        .flatMap(Prompt::lastPart)
                        .map(PromptPart::identifier)
                        .orElse(""));
    }

    /**
     * Starts the search.
     *
     * @param consumer receives the version, or empty if nobody knows it; exactly once, possibly before this method
     *     returns
     */
    void start(Consumer<Optional<Origin>> consumer) {
        Optional<Origin> own = request.resumedAttempt()
                .flatMap(context.origins()::versionOf)
                .map(version -> new Origin(version, Source.OWN_RECORD));
        if (own.isPresent()) {
            consumer.accept(own);
        } else {
            context.originPeers().ask(question, answers -> onAnswers(answers, consumer));
        }
    }

    private void onAnswers(OriginPeers.Answers answers, Consumer<Optional<Origin>> consumer) {
        if (answers.recordedVersion().isPresent()) {
            consumer.accept(answers.recordedVersion().map(version -> new Origin(version, Source.OTHER_ENTRY)));
        } else if (soleVersion(answers).isPresent()) {
            context.storeConfirmation().confirm(current -> onConfirmation(current, answers, consumer));
        } else {
            searchHeldPrompts(answers, consumer);
        }
    }

    /** Looks at the versions once more, since the confirmation may have brought instances of another one. */
    private void onConfirmation(boolean current, OriginPeers.Answers answers, Consumer<Optional<Origin>> consumer) {
        Optional<String> sole = current ? soleVersion(answers) : Optional.empty();
        if (sole.isPresent()) {
            consumer.accept(sole.map(version -> new Origin(version, Source.SOLE_VERSION)));
        } else {
            searchHeldPrompts(answers, consumer);
        }
    }

    private void searchHeldPrompts(OriginPeers.Answers answers, Consumer<Optional<Origin>> consumer) {
        context.heldPromptSearch()
                .find(question.heldPart(), answers.heldVersions(), held -> consumer.accept(originOf(held)));
    }

    private Optional<Origin> originOf(HeldVersion held) {
        Optional<String> home =
                HomeVersion.of(question.promptPart(), context.fleet().instances(question.service()));
        Optional<String> version = held.versionAt(home);
        if (version.isEmpty()) {
            logUnknown(held, home);
        }
        return version.map(found -> new Origin(found, Source.HELD_PROMPT));
    }

    private void logUnknown(HeldVersion held, Optional<String> home) {
        context.log()
                .line("version not told by instances")
                .with("request", request.attempt())
                .with("resumes", question.attempt())
                .with("part", question.promptPart())
                .with("held", held.toString())
                .with("home", home.orElse(""))
                .write();
    }

    /** Returns the only version that the service has had while the stream may have begun, or empty. */
    private Optional<String> soleVersion(OriginPeers.Answers answers) {
        Set<String> versions =
                new HashSet<>(context.versionHistory().versionsWithin(question.service(), question.streamMillis()));
        Set<String> soleVersions = new HashSet<>(answers.soleVersions());
        context.versionHistory()
                .soleVersionWithin(question.service(), question.streamMillis())
                .ifPresent(soleVersions::add);
        versions.addAll(soleVersions);
        return versions.size() == 1 && !soleVersions.isEmpty()
                ? versions.stream().findFirst()
                : Optional.empty();
    }
}
