package org.merlinwood.sidecar.execution;

import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.merlinwood.http.HttpHeader;

/** Removes hop-by-hop headers (RFC 9110, section 7.6.1). Stateless. */
public final class ForwardedHeaders {

    private static final String CONNECTION = "connection";
    private static final Set<String> HOP_BY_HOP = Set.of(
            CONNECTION,
            "keep-alive",
            "proxy-authenticate",
            "proxy-authorization",
            "proxy-connection",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "host",
            "content-length",
            "expect");

    private ForwardedHeaders() {}

    /**
     * Returns the end-to-end headers.
     *
     * @param headers headers as received
     * @return headers to forward
     */
    public static List<HttpHeader> of(List<HttpHeader> headers) {
        Set<String> dropped = new HashSet<>(HOP_BY_HOP);
        headers.stream()
                .filter(header -> header.name().equalsIgnoreCase(CONNECTION))
                .flatMap(header -> List.of(header.value().split(",")).stream())
                .forEach(name -> dropped.add(name.trim().toLowerCase(Locale.ROOT)));
        return headers.stream()
                .filter(header -> !dropped.contains(header.name().toLowerCase(Locale.ROOT)))
                .toList();
    }
}
