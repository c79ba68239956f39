package org.merlinwood.gateway.front;

import java.util.Locale;
import java.util.Optional;
import java.util.function.Consumer;
import org.merlinwood.gateway.decision.StreamOrigin;
import org.merlinwood.gateway.fleet.UpstreamInstance;
import org.merlinwood.gateway.request.CallerRequest;
import org.merlinwood.gateway.route.Route;

/**
 * The software version that one stream is bound to: that of the instance whose event reached the caller first, here or
 * at another entry. Only instances of that version may go on with the stream, since what two versions generate doesn't
 * fit together. Until there is an event, the stream is not bound.
 *
 * <p>Other entries are told the version of an attempt when it is sent, so that they know it before the caller has an
 * event and may come back to them. Used by the event loop alone.
 */
final class StreamBinding {

    /** For how many times the timeout of its route a stream may go on, over all attempts of its caller. */
    private static final long STREAM_TIMEOUTS = 2;

    /** Time after the caller's own limit for which an origin is kept, in milliseconds. */
    private static final long ORIGIN_MARGIN_MILLIS = 2_000;

    private final RequestProcessor processor;
    private final RequestProcessorContext context;
    private final CallerRequest request;
    private final Route route;
    private final boolean takenUp;

    private Optional<String> version = Optional.empty();
    private Optional<String> toldVersion = Optional.empty();

    /**
     * Creates the binding of a request.
     *
     * @param processor processes the request
     */
    StreamBinding(RequestProcessor processor) {
        this.processor = processor;
        this.context = processor.context;
        this.request = processor.request;
        this.route = processor.route;
        this.takenUp = isTakenUp(request);
    }

    /** Returns whether the caller of a request already has events of its stream. */
    static boolean isTakenUp(CallerRequest request) {
        return request.lastEvent().orElse(0) > 0;
    }

    /** Returns the version that the next attempt must have; empty if it may be any. */
    Optional<String> version() {
        return version;
    }

    /** Returns whether it is known which versions the next attempt may have. */
    boolean isResolved() {
        return !takenUp || version.isPresent();
    }

    /**
     * Finds the version of a stream that is taken up again.
     *
     * @param consumer receives whether it was found, exactly once; may be called before this method returns
     */
    void resolve(Consumer<Boolean> consumer) {
        long streamMillis = STREAM_TIMEOUTS * route.timeoutMillis();
        new StreamOriginSearch(context, request, processor.service, streamMillis).start(origin -> {
            origin.ifPresent(this::bind);
            consumer.accept(version.isPresent());
        });
    }

    /**
     * Binds the stream to a version that was found. What instances held is not kept as a record: it may be asked again.
     */
    private void bind(StreamOriginSearch.Origin found) {
        version = Optional.of(found.version());
        if (found.source() != StreamOriginSearch.Source.HELD_PROMPT) {
            request.resumedAttempt()
                    .ifPresent(attempt -> context.origins().recordTold(origin(attempt, found.version())));
        }
        processor
                .decisionLine("stream taken up")
                .with("version", found.version())
                .with("known", found.source().description())
                .write();
        context.metrics().count("streams_version_from_" + found.source().name().toLowerCase(Locale.ROOT));
    }

    /** Returns whether an instance may get the next attempt, as it is registered now. */
    boolean accepts(UpstreamInstance instance) {
        return version.isEmpty() || version.get().equals(currentVersion(instance));
    }

    /** Records that an attempt is about to be sent to an instance. */
    void onSend(UpstreamInstance instance) {
        if (!takenUp && version.isEmpty()) {
            tell(instance.version());
        }
    }

    /**
     * Binds the stream to the version of the first event.
     *
     * @param instance the instance that has sent complete events
     * @return false if the stream is bound to another version, so that the events must not be forwarded
     */
    boolean onEvents(UpstreamInstance instance) {
        if (version.isEmpty()) {
            version = Optional.of(currentVersion(instance));
            tell(version.get());
        }
        return accepts(instance);
    }

    private void tell(String newVersion) {
        if (!route.resumable() || toldVersion.equals(Optional.of(newVersion))) {
            return;
        }
        toldVersion = Optional.of(newVersion);
        StreamOrigin origin = origin(request.attempt(), newVersion);
        context.origins().recordOwn(origin);
        context.originPeers().tell(origin);
    }

    private StreamOrigin origin(String attempt, String originVersion) {
        long callerMillis = request.timeLeftMillis().orElse(STREAM_TIMEOUTS * route.timeoutMillis());
        return new StreamOrigin(attempt, originVersion, callerMillis + ORIGIN_MARGIN_MILLIS);
    }

    /** Returns the version of an instance, which may have started again since it was chosen. */
    private String currentVersion(UpstreamInstance instance) {
        return context.fleet()
                .find(instance.identifier())
                .filter(registered -> registered.startedUnixMillis() > instance.startedUnixMillis())
                .orElse(instance)
                .version();
    }
}
