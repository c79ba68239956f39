package org.merlinwood.http.impl;

import io.vavr.control.Either;
import java.io.ByteArrayOutputStream;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.merlinwood.core.result.Failure;
import org.merlinwood.http.HttpAnswer;
import org.merlinwood.http.HttpHeader;
import org.merlinwood.http.HttpListener;

/** Collects a streamed answer into a whole one. Used by one call, then dropped. */
final class AnswerCollector implements HttpListener {

    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private final CompletableFuture<Either<Failure, HttpAnswer>> result = new CompletableFuture<>();
    private int status;
    private List<HttpHeader> headers = List.of();

    CompletableFuture<Either<Failure, HttpAnswer>> result() {
        return result;
    }

    @Override
    public void onHead(int answerStatus, List<HttpHeader> answerHeaders) {
        status = answerStatus;
        headers = answerHeaders;
    }

    @Override
    public void onBytes(byte[] bytes) {
        body.writeBytes(bytes);
    }

    @Override
    public void onEnd() {
        result.complete(Either.right(new HttpAnswer(status, headers, body.toByteArray())));
    }

    @Override
    public void onFailure(Failure failure) {
        result.complete(Either.left(failure));
    }
}
