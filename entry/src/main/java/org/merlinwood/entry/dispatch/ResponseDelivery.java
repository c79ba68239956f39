package org.merlinwood.entry.dispatch;

import java.util.List;
import org.merlinwood.entry.request.ClassifiedRequest;
import org.merlinwood.http.HttpHeader;
import org.merlinwood.wire.AnswerHead;

/** Passes the complete response to the caller of one request. Used by the control thread only. */
final class ResponseDelivery {

    private static final int LOWEST_STATUS = 200;
    private static final int HIGHEST_STATUS = 599;

    private final ClassifiedRequest request;
    private final RequestSink sink;
    private final ResponseAssembly assembly;
    private String finishReason = "";

    ResponseDelivery(ClassifiedRequest request, RequestSink sink, ResponseAssembly assembly) {
        this.request = request;
        this.sink = sink;
        this.assembly = assembly;
    }

    /** Returns whether the response may be delivered: a plain one needs a status that callers can receive. */
    boolean isValid() {
        return !(request instanceof ClassifiedRequest.PlainRequest) || hasValidStatus(assembly.head());
    }

    /** Sets why the generation ended, as its engine states it. */
    void finishReason(String reason) {
        finishReason = reason;
    }

    /** Delivers the assembled response. */
    void deliver() {
        switch (request) {
            case ClassifiedRequest.ModelRequest model ->
                sink.modelResponse(new ModelResponse(assembly.tokensSoFar(), finishReason));
            case ClassifiedRequest.PlainRequest plain -> sink.plainResponse(plainResponse());
            case ClassifiedRequest.MintRequest mint -> throw new IllegalStateException("a mint request has no runner");
        }
    }

    private static boolean hasValidStatus(AnswerHead head) {
        return head.getStatus() >= LOWEST_STATUS && head.getStatus() <= HIGHEST_STATUS;
    }

    private PlainResponse plainResponse() {
        AnswerHead head = assembly.head();
        List<HttpHeader> headers = head.getHeadersList().stream()
                .map(header -> new HttpHeader(header.getName(), header.getValue()))
                .toList();
        return new PlainResponse(head.getStatus(), headers, assembly.body(), head.getReplayed());
    }
}
