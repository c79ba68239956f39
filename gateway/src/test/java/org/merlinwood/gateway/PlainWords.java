package org.merlinwood.gateway;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.merlinwood.gateway.fleet.Stage;
import org.merlinwood.gateway.fleet.UpstreamInstance;
import org.merlinwood.gateway.request.CallerRequest;
import org.merlinwood.gateway.upstream.AttemptTerms;
import org.merlinwood.gateway.upstream.OrderAnswer;
import org.merlinwood.gateway.upstream.PrefillResult;
import org.merlinwood.gateway.upstream.ResponseHead;
import org.merlinwood.gateway.upstream.UpstreamProtocol;
import org.merlinwood.http.HttpHeader;
import org.merlinwood.http.HttpRequest;
import org.merlinwood.http.HttpResponse;

/** A protocol in plain words, so that tests of the gateway need no platform. */
public final class PlainWords implements UpstreamProtocol {

    /** Header of an answer that the upstream vouches for. */
    public static final HttpHeader SIGNED = new HttpHeader("signed", "yes");

    /** Header of an answer that states that nothing was run. */
    public static final HttpHeader NOT_RUN = new HttpHeader("not-run", "yes");

    public static HttpHeader attempt(String name) {
        return new HttpHeader("attempt", name);
    }

    @Override
    public HttpRequest reserve(UpstreamInstance instance, int tokens, long leaseMillis) {
        return call(instance, "/hold/" + tokens);
    }

    @Override
    public Optional<String> readReservation(HttpResponse answer) {
        return answer.status() == 200 ? Optional.of(answer.text()) : Optional.empty();
    }

    @Override
    public HttpRequest releaseReservation(UpstreamInstance instance, String hold) {
        return call(instance, "/release-hold/" + hold);
    }

    @Override
    public HttpRequest prefill(UpstreamInstance instance, CallerRequest request, long timeLeftMillis) {
        return call(instance, "/prefill");
    }

    @Override
    public Optional<PrefillResult> readPrefill(UpstreamInstance instance, HttpResponse answer) {
        return answer.status() == 200 ? Optional.of(new PrefillResult(instance, answer.text())) : Optional.empty();
    }

    @Override
    public HttpRequest releasePrefill(PrefillResult prefill) {
        return call(prefill.instance(), "/release-prefill/" + prefill.handle());
    }

    @Override
    public HttpRequest run(UpstreamInstance instance, CallerRequest request, AttemptTerms terms) {
        List<HttpHeader> headers = new ArrayList<>();
        terms.reservation().ifPresent(hold -> headers.add(new HttpHeader("hold", hold)));
        terms.prefill().ifPresent(prefill -> headers.add(new HttpHeader("prefill", prefill.handle())));
        terms.lastEvent().ifPresent(event -> headers.add(new HttpHeader("behind", String.valueOf(event))));
        return call(instance, "/run").withHeaders(headers);
    }

    @Override
    public HttpRequest order(UpstreamInstance instance, Stage stage, String holder, long fence) {
        return call(instance, "/order/" + stage + "/" + fence);
    }

    @Override
    public OrderAnswer readOrder(HttpResponse answer) {
        return answer.status() == 200 ? OrderAnswer.ACCEPTED : OrderAnswer.DECLINED;
    }

    @Override
    public ResponseHead readHead(int status, List<HttpHeader> headers) {
        String attempt = headers.stream()
                .filter(header -> header.name().equals("attempt"))
                .map(HttpHeader::value)
                .findFirst()
                .orElse("");
        return new ResponseHead(
                status, attempt, headers.contains(SIGNED), headers.contains(NOT_RUN), false, Optional.empty(), headers);
    }

    private static HttpRequest call(UpstreamInstance instance, String path) {
        return HttpRequest.of(
                "POST", instance.address(), "/" + instance.identifier() + path, "".getBytes(StandardCharsets.UTF_8));
    }
}
