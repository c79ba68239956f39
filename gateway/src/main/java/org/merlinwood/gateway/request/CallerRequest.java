package org.merlinwood.gateway.request;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.merlinwood.gateway.workspace.CallerKey;
import org.merlinwood.gateway.workspace.Workspace;
import org.merlinwood.http.HttpHeader;

/**
 * One attempt of a caller, read completely. Immutable; the body must not be changed. The text form contains neither
 * headers nor the key.
 *
 * @param attempt identifier that the caller assigned to this attempt; an empty string if none
 * @param method HTTP method
 * @param host value of the {@code Host} header, in lower case
 * @param target path and query as received
 * @param path path without its query
 * @param timeLeftMillis how long the caller waits after the arrival, in milliseconds; empty if it does not say
 * @param prompt prompt for a model engine; empty for a plain request
 * @param lastEvent number of the last event that the caller has already received; empty if none
 * @param resumedAttempt identifier of the attempt of this caller that brought the first event of the stream, which this
 *     one takes up again; empty if the caller names none
 * @param forwardedHeaders headers that are forwarded to the upstream unchanged; of these, what identifies the caller is
 *     forwarded only if {@code identified} is false
 * @param body the body
 * @param arrivedMillis monotonic time at which the request arrived, in milliseconds
 * @param workspace workspace of the caller; empty before it is identified, and if it has none
 * @param key key that the caller sent; empty if it sent none, or more than one, or a malformed one
 * @param identified whether callers are identified, so that upstreams get the name of the workspace in place of what
 *     the caller sent
 * @param instancePriority priority that is sent to model instances, 0 is the highest; empty if none is sent
 */
@SuppressWarnings("ArrayRecordComponent") // requests are never compared by their body
public record CallerRequest(
        String attempt,
        String method,
        String host,
        String target,
        String path,
        OptionalLong timeLeftMillis,
        Optional<Prompt> prompt,
        OptionalLong lastEvent,
        Optional<String> resumedAttempt,
        List<HttpHeader> forwardedHeaders,
        byte[] body,
        long arrivedMillis,
        Optional<Workspace> workspace,
        Optional<CallerKey> key,
        boolean identified,
        OptionalInt instancePriority) {

    /** Creates a request without a key, whose caller is not identified. The parameters are those of the record. */
    public CallerRequest(
            String attempt,
            String method,
            String host,
            String target,
            String path,
            OptionalLong timeLeftMillis,
            Optional<Prompt> prompt,
            OptionalLong lastEvent,
            Optional<String> resumedAttempt,
            List<HttpHeader> forwardedHeaders,
            byte[] body,
            long arrivedMillis,
            Optional<Workspace> workspace) {
        this(
                attempt,
                method,
                host,
                target,
                path,
                timeLeftMillis,
                prompt,
                lastEvent,
                resumedAttempt,
                forwardedHeaders,
                body,
                arrivedMillis,
                workspace,
                Optional.empty(),
                false,
                OptionalInt.empty());
    }

    /** Copies the headers. */
    public CallerRequest {
        forwardedHeaders = List.copyOf(forwardedHeaders);
    }

    /**
     * Returns a copy with the workspace of the caller.
     *
     * @param caller the workspace
     * @return the copy, which shares the body
     */
    public CallerRequest withWorkspace(Workspace caller) {
        return withCaller(Optional.of(caller));
    }

    /**
     * Returns a copy whose caller is identified.
     *
     * @param caller workspace of the caller; empty if it has none
     * @return the copy, which shares the body
     */
    public CallerRequest withCaller(Optional<Workspace> caller) {
        return copy(caller, true, instancePriority);
    }

    /**
     * Returns a copy with a priority that is sent to model instances.
     *
     * @param priority the priority, 0 is the highest
     * @return the copy, which shares the body
     */
    public CallerRequest withInstancePriority(int priority) {
        return copy(workspace, identified, OptionalInt.of(priority));
    }

    private CallerRequest copy(Optional<Workspace> newWorkspace, boolean newIdentified, OptionalInt newPriority) {
        return new CallerRequest(
                attempt,
                method,
                host,
                target,
                path,
                timeLeftMillis,
                prompt,
                lastEvent,
                resumedAttempt,
                forwardedHeaders,
                body,
                arrivedMillis,
                newWorkspace,
                key,
                newIdentified,
                newPriority);
    }

    /**
     * Returns the attempt of the caller that stands for all of its stream.
     *
     * @return identifier of the attempt that is taken up again, or of this one
     */
    public String streamAttempt() {
        return resumedAttempt.orElse(attempt);
    }

    @Override
    public String toString() {
        return "CallerRequest[attempt=" + attempt + ", method=" + method + ", host=" + host + ", path=" + path
                + ", workspace=" + workspace.map(Workspace::name).orElse("none") + "]";
    }
}
