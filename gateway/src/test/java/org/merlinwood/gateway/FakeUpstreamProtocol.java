package org.merlinwood.gateway;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.Stream;
import org.merlinwood.gateway.fleet.Stage;
import org.merlinwood.gateway.fleet.UpstreamInstance;
import org.merlinwood.gateway.request.CallerRequest;
import org.merlinwood.gateway.upstream.AttemptTerms;
import org.merlinwood.gateway.upstream.HeldPart;
import org.merlinwood.gateway.upstream.InstanceNotice;
import org.merlinwood.gateway.upstream.OrderAnswer;
import org.merlinwood.gateway.upstream.PrefillResult;
import org.merlinwood.gateway.upstream.ResponseHead;
import org.merlinwood.gateway.upstream.UpstreamProtocol;
import org.merlinwood.http.HttpHeader;
import org.merlinwood.http.HttpRequest;
import org.merlinwood.http.HttpResponse;

/** Upstream protocol with readable paths and headers, so that tests of the gateway do not depend on a platform. */
public final class FakeUpstreamProtocol implements UpstreamProtocol {

    /** Header of a response that the upstream has signed. */
    public static final HttpHeader SIGNED = new HttpHeader("signed", "yes");

    /** Header of a response which states that the request was not run. */
    public static final HttpHeader NOT_RUN = new HttpHeader("not-run", "yes");

    /** Header of a response which states that the instance leaves. */
    public static final HttpHeader LEAVING = new HttpHeader("leaving", "yes");

    /** Header of a response which states for how long the instance wants no request. */
    public static HttpHeader declined(long millis) {
        return new HttpHeader("declined-millis", String.valueOf(millis));
    }

    public static HttpHeader attempt(String identifier) {
        return new HttpHeader("attempt", identifier);
    }

    @Override
    public HttpRequest reserve(UpstreamInstance instance, int tokens, long leaseMillis) {
        return request(instance, "/hold/" + tokens);
    }

    @Override
    public Optional<String> readReservation(HttpResponse response) {
        return response.status() == 200 ? Optional.of(response.text()) : Optional.empty();
    }

    @Override
    public HttpRequest releaseReservation(UpstreamInstance instance, String reservation) {
        return request(instance, "/release-hold/" + reservation);
    }

    @Override
    public HttpRequest prefill(UpstreamInstance instance, CallerRequest request, long timeLeftMillis) {
        return request(instance, "/prefill");
    }

    @Override
    public Optional<PrefillResult> readPrefill(UpstreamInstance instance, HttpResponse response) {
        return response.status() == 200 ? Optional.of(new PrefillResult(instance, response.text())) : Optional.empty();
    }

    @Override
    public HttpRequest releasePrefill(PrefillResult prefill) {
        return request(prefill.instance(), "/release-prefill/" + prefill.handle());
    }

    @Override
    public HttpRequest run(UpstreamInstance instance, CallerRequest request, AttemptTerms terms) {
        List<HttpHeader> headers = new ArrayList<>();
        terms.reservation().ifPresent(reservation -> headers.add(new HttpHeader("hold", reservation)));
        terms.prefill().ifPresent(prefill -> headers.add(new HttpHeader("prefill", prefill.handle())));
        terms.lastEvent().ifPresent(event -> headers.add(new HttpHeader("behind", String.valueOf(event))));
        return request(instance, "/run").withHeaders(headers);
    }

    @Override
    public HttpRequest heldParts(UpstreamInstance instance) {
        return request(instance, "/held");
    }

    /** Reads parts of the model "m" of the form {@code PART:TOKENS}, separated by spaces. */
    @Override
    public Optional<List<HeldPart>> readHeldParts(HttpResponse response) {
        if (response.status() != 200) {
            return Optional.empty();
        }
        return Optional.of(Stream.of(response.text().split(" ", -1))
                .filter(part -> part.contains(":"))
                .map(part -> new HeldPart(
                        "m",
                        part.substring(0, part.indexOf(':')),
                        Integer.parseInt(part.substring(part.indexOf(':') + 1))))
                .toList());
    }

    @Override
    public HttpRequest order(UpstreamInstance instance, Stage stage, String entry, long fencingToken) {
        return request(instance, "/order/" + stage + "/" + fencingToken);
    }

    @Override
    public OrderAnswer readOrder(HttpResponse response) {
        return response.status() == 200 ? OrderAnswer.ACCEPTED : OrderAnswer.DECLINED;
    }

    @Override
    public InstanceNotice readNotice(int status, List<HttpHeader> headers) {
        OptionalLong declinedMillis = headers.stream()
                .filter(header -> header.name().equals("declined-millis"))
                .mapToLong(header -> Long.parseLong(header.value()))
                .findFirst();
        return new InstanceNotice(headers.contains(LEAVING), declinedMillis);
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

    private static HttpRequest request(UpstreamInstance instance, String path) {
        return HttpRequest.of(
                "POST", instance.address(), "/" + instance.identifier() + path, "".getBytes(StandardCharsets.UTF_8));
    }
}
