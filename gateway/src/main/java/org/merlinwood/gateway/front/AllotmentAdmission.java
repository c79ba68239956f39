package org.merlinwood.gateway.front;

import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;
import org.merlinwood.gateway.allotment.AllotmentDecision;
import org.merlinwood.gateway.allotment.AllotmentLedger;
import org.merlinwood.gateway.request.CallerRequest;
import org.merlinwood.gateway.workspace.Allotment;
import org.merlinwood.gateway.workspace.Workspace;
import org.merlinwood.operation.log.DecisionLog;

/** Decides whether the workspace of a request may use more now. Used by the event loop alone. */
final class AllotmentAdmission {

    private final AllotmentLedger ledger;
    private final DecisionLog log;
    private final RequestMetrics metrics;

    AllotmentAdmission(AllotmentLedger ledger, DecisionLog log, RequestMetrics metrics) {
        this.ledger = ledger;
        this.log = log;
        this.metrics = metrics;
    }

    /** Returns the decision on a request, which is counted if admitted; empty if nothing limits it. */
    Optional<AllotmentDecision> decide(CallerRequest request) {
        return request.workspace()
                .flatMap(workspace -> workspace
                        .allotment()
                        .filter(allotment -> allotment.ratePerSecond() > 0)
                        .map(allotment -> decide(request, workspace, allotment)));
    }

    private AllotmentDecision decide(CallerRequest request, Workspace workspace, Allotment allotment) {
        long units = allotment.unitsOf(request.prompt()
                .map(prompt -> OptionalLong.of((long) prompt.promptTokens() + prompt.outputTokens()))
                .orElse(OptionalLong.empty()));
        AllotmentDecision decision = ledger.admit(workspace.name(), allotment, units);
        String name = switch (decision) {
            case AllotmentDecision.Admitted admitted -> "admitted";
            case AllotmentDecision.Refused refused ->
                "refused_" + refused.reason().name().toLowerCase(Locale.ROOT);
        };
        metrics.count("allotment_" + name);
        log.line("allotment")
                .with("request", request.attempt())
                .with("workspace", workspace.name())
                .with("decision", name)
                .with("units", units)
                .with("level", decision.inputs().level())
                .with("sharePercent", Math.round(100 * decision.inputs().share()))
                .with("reportAgeMillis", decision.inputs().ageMillis())
                .write();
        return decision;
    }

    /** Returns the charges of an admitted request. */
    RunCharges charges(AllotmentDecision.Admitted admitted) {
        return new RunCharges(ledger, metrics, admitted.charge());
    }
}
