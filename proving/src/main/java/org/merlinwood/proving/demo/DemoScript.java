package org.merlinwood.proving.demo;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import org.apache.commons.codec.digest.DigestUtils;
import org.merlinwood.configuration.inventory.InstanceRole;
import org.merlinwood.core.time.SystemMillisClock;
import org.merlinwood.proving.caller.CallerClient;
import org.merlinwood.proving.caller.CallerKeys;
import org.merlinwood.proving.caller.CallerRequest;
import org.merlinwood.proving.caller.CallerResponse;
import org.merlinwood.proving.fleet.Fleet;
import org.merlinwood.proving.fleet.FleetDocuments;

/** Creates the sequence of requests of the demo and checks their responses. Used once, by one thread. */
final class DemoScript {

    private static final String BAGMATI = "Bagmati";
    private static final String CORDILLERA = "Cordillera";
    private static final int SUMMARY_TOKENS = 120;
    private static final int REPLY_TOKENS = 60;
    private static final int REPORT_SENTENCES = 150;
    private static final int STYLE_SENTENCES = 120;
    private static final int CREATED = 201;
    private static final int FOUND = 200;

    private final Fleet fleet;
    private final CallerClient client;

    DemoScript(Fleet fleet, CallerClient client) {
        this.fleet = fleet;
        this.client = client;
    }

    List<DemoRequest> requests(InetSocketAddress entry) {
        long run = SystemMillisClock.shared().wallMillis();
        String booking = "{\"hydrant\":\"H-17\",\"fault\":\"valve\",\"number\":\"" + run + "\"}";
        String bookingKey = client.mintKey(entry, FleetDocuments.INSPECTOR_TOKEN, FleetDocuments.LEDGER);
        String repair = "{\"hydrant\":\"H-18\",\"fault\":\"cap\",\"number\":\"" + run + "\"}";
        String repairKey = CallerKeys.timed(SystemMillisClock.shared().wallMillis());
        String reply = "{\"review\":\"R-5\",\"text\":\"Thank you.\",\"number\":\"" + run + "\"}";
        String replyKey = client.mintKey(entry, FleetDocuments.MANAGER_TOKEN, FleetDocuments.PORTAL);
        return List.of(
                summary("streamed summary", "North ward", true),
                reply("streamed reply", "The soup was cold.", true),
                summary("streamed summary", "South ward", true),
                reply("streamed reply", "Lovely terrace!", true),
                summary("whole summary", "East ward", false),
                reply("whole reply", "We waited an hour.", false),
                lookUp(BAGMATI, "plain look-up", FleetDocuments.INSPECTOR_TOKEN, "/hydrants/H-17", "H-17"),
                lookUp(BAGMATI, "plain look-up", FleetDocuments.INSPECTOR_TOKEN, "/hydrants/H-18", "H-18"),
                lookUp(CORDILLERA, "status check", FleetDocuments.MANAGER_TOKEN, "/reviews/R-5/status", "R-5"),
                write(BAGMATI, "booking, minted key", "/bookings", booking, bookingKey, first()),
                write(BAGMATI, "same booking again", "/bookings", booking, bookingKey, again(booking)),
                write(BAGMATI, "booking, own key", "/bookings", repair, repairKey, first()),
                write(BAGMATI, "same booking again", "/bookings", repair, repairKey, again(repair)),
                write(CORDILLERA, "reply published", "/replies", reply, replyKey, first()),
                write(CORDILLERA, "same reply again", "/replies", reply, replyKey, again(reply)));
    }

    private static DemoRequest summary(String description, String ward, boolean streamed) {
        String prompt = "Summarise the report. " + ward + ". "
                + "Hydrant checked, pressure within limits, cap in place. ".repeat(REPORT_SENTENCES);
        return completion(
                BAGMATI,
                description,
                FleetDocuments.INSPECTOR_TOKEN,
                FleetDocuments.SUMMARY_MODEL,
                prompt,
                SUMMARY_TOKENS,
                streamed);
    }

    private static DemoRequest reply(String description, String review, boolean streamed) {
        String prompt = "Style guide: be warm, be brief, promise nothing. ".repeat(STYLE_SENTENCES) + review;
        return completion(
                CORDILLERA,
                description,
                FleetDocuments.MANAGER_TOKEN,
                FleetDocuments.REPLY_MODEL,
                prompt,
                REPLY_TOKENS,
                streamed);
    }

    private static DemoRequest completion(
            String deployment,
            String description,
            String token,
            String model,
            String prompt,
            int tokens,
            boolean streamed) {
        CallerRequest request = streamed
                ? CallerRequest.streamed(token, model, prompt, tokens)
                : CallerRequest.whole(token, model, prompt, tokens);
        return new DemoRequest(deployment, description, request, ResponseCheck.completionOf(prompt, tokens));
    }

    private static DemoRequest lookUp(String deployment, String description, String token, String path, String part) {
        CallerRequest request = CallerRequest.plain(token, "GET", path, "");
        return new DemoRequest(deployment, description, request, ResponseCheck.plain(FOUND, part));
    }

    private static DemoRequest write(
            String deployment, String description, String path, String body, String key, ResponseCheck check) {
        String token = deployment.equals(BAGMATI) ? FleetDocuments.INSPECTOR_TOKEN : FleetDocuments.MANAGER_TOKEN;
        CallerRequest request = CallerRequest.plain(token, "POST", path, body).withKey(key);
        return new DemoRequest(deployment, description, request, check);
    }

    private static ResponseCheck first() {
        return response -> response.replayed()
                ? Optional.of("a first call was answered from a stored answer")
                : ResponseCheck.plain(CREATED, "-").fault(response);
    }

    private ResponseCheck again(String body) {
        return response -> {
            long runs = runsOf(body);
            if (runs != 1) {
                return Optional.of("the ledgers show " + runs + " runs");
            }
            return response.replayed()
                    ? ResponseCheck.plain(CREATED, "-").fault(response)
                    : Optional.of("the answer is not the stored one");
        };
    }

    private long runsOf(String body) {
        String digest = DigestUtils.sha256Hex(body);
        return fleet.sidecars(InstanceRole.PLAIN).stream()
                .flatMap(sidecar -> fleet.probe().plainLedger(sidecar.upstream()).runs().stream())
                .filter(run -> run.bodyDigest().equals(digest))
                .count();
    }

    /** Checks that a response is complete and successful and passes the check of its request; empty if it does. */
    static Optional<String> fault(DemoRequest request, CallerResponse response) {
        if (!response.isOk()) {
            return Optional.of(response.broken().orElse("not whole or refused: " + response.text()));
        }
        return request.check().fault(response);
    }
}
