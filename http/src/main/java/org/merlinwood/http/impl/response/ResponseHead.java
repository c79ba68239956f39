package org.merlinwood.http.impl.response;

import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;

/**
 * What the head of one response says about its body. A sound server states it once and in one way; anything else could
 * be understood in several ways. Not thread-safe.
 */
final class ResponseHead {

    private static final String LENGTH_FIELD = "Content-Length";
    private static final String CODING_FIELD = "Transfer-Encoding";
    private static final String CHUNKED = "chunked";
    private static final Pattern LENGTH = Pattern.compile("0*[0-9]{1,18}");

    private final StatusLine statusLine;
    private final List<String> lengths = new ArrayList<>();
    private final List<String> codings = new ArrayList<>();

    ResponseHead(StatusLine statusLine) {
        this.statusLine = statusLine;
    }

    /** Returns whether a final response follows this one. */
    boolean isInterim() {
        return statusLine.isInterim();
    }

    /** Adds a field, in the order of the head. */
    void add(FieldLine field) {
        if (field.name().equalsIgnoreCase(LENGTH_FIELD)) {
            lengths.add(field.value());
        } else if (field.name().equalsIgnoreCase(CODING_FIELD)) {
            codings.add(field.value());
        }
    }

    /**
     * Returns where the body ends. Called once all fields have been added.
     *
     * @param bodyAllowed whether a response to the request may have a body
     * @return where the body ends
     * @throws MalformedResponseException if the head doesn't state that in exactly one way
     */
    BodyFraming framing(boolean bodyAllowed) throws MalformedResponseException {
        BodyFraming stated = stated();
        if (!bodyAllowed) {
            return new BodyFraming.NoBody();
        }
        if (statusLine.allowsBody()) {
            return stated;
        }
        return switch (stated) {
            case BodyFraming.NoBody none -> none;
            case BodyFraming.UntilEnd unstated -> new BodyFraming.NoBody();
            case BodyFraming.Length length when length.bytes() == 0 -> new BodyFraming.NoBody();
            case BodyFraming.Length length -> throw bodyWhereNoneIsAllowed();
            case BodyFraming.Chunks chunks -> throw bodyWhereNoneIsAllowed();
        };
    }

    private MalformedResponseException bodyWhereNoneIsAllowed() {
        return new MalformedResponseException("a response with status " + statusLine.status() + " announces a body");
    }

    private BodyFraming stated() throws MalformedResponseException {
        if (lengths.size() + codings.size() > 1) {
            throw new MalformedResponseException("the head states the end of the body more than once");
        }
        if (!codings.isEmpty()) {
            return chunks(codings.getFirst());
        }
        return lengths.isEmpty() ? new BodyFraming.UntilEnd() : length(lengths.getFirst());
    }

    private BodyFraming chunks(String coding) throws MalformedResponseException {
        if (!coding.equalsIgnoreCase(CHUNKED) || statusLine.minorVersion() == 0) {
            throw new MalformedResponseException("the transfer coding is not the one that servers use");
        }
        return new BodyFraming.Chunks();
    }

    private static BodyFraming length(String value) throws MalformedResponseException {
        if (!LENGTH.matcher(value).matches()) {
            throw new MalformedResponseException("the length of the body is not a number of bytes");
        }
        return new BodyFraming.Length(Long.parseLong(value));
    }
}
