package org.merlinwood.configuration.document;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.merlinwood.configuration.document.impl.TableWriter;
import org.merlinwood.configuration.rules.CallerClass;
import org.merlinwood.configuration.rules.CallerRule;
import org.merlinwood.configuration.rules.Limits;
import org.merlinwood.configuration.rules.RouteRule;
import org.merlinwood.configuration.rules.Rules;
import org.merlinwood.configuration.rules.ServiceRule;

/** Writes rules as a JSON document, one table row per line. Stateless and thread-safe. */
public final class RulesWriter {

    private RulesWriter() {}

    /**
     * Writes rules. {@link RulesReader} reads the result as equal rules.
     *
     * @param rules the rules
     * @return the JSON text; it does not contain the revision
     */
    public static String write(Rules rules) {
        return new TableWriter()
                .table("services", rules.services(), RulesWriter::row)
                .table("routes", rules.routes(), RulesWriter::row)
                .table("classes", rules.classes(), RulesWriter::row)
                .table("callers", rules.callers(), RulesWriter::row)
                .object("limits", row(rules.limits()))
                .text();
    }

    private static ObjectNode row(ServiceRule service) {
        return TableWriter.row()
                .put("name", service.name().value())
                .put("kind", EnumSpelling.spell(service.kind()))
                .put("goodputWeight", service.goodputWeight())
                .put("wastedPrefillWeight", service.wastedPrefillWeight())
                .put("timeoutMillis", service.timeoutMillis());
    }

    private static ObjectNode row(RouteRule route) {
        return TableWriter.row()
                .put("method", route.method())
                .put("path", route.path())
                .put("service", route.service().value())
                .put("repeatability", EnumSpelling.spell(route.repeatability()))
                .put("keyDemand", EnumSpelling.spell(route.keyDemand()));
    }

    private static ObjectNode row(CallerClass callerClass) {
        return TableWriter.row()
                .put("name", callerClass.name())
                .put("priority", callerClass.priority())
                .put("firstTokenTargetMillis", callerClass.firstTokenTargetMillis())
                .put("betweenTokensTargetMillis", callerClass.betweenTokensTargetMillis())
                .put("share", callerClass.share())
                .put("concurrentRequests", callerClass.concurrentRequests());
    }

    private static ObjectNode row(CallerRule caller) {
        return TableWriter.row()
                .put("name", caller.name().value())
                .put("callerClass", caller.callerClass())
                .put("tokenDigest", caller.tokenDigest());
    }

    private static ObjectNode row(Limits limits) {
        return TableWriter.row()
                .put("retryHorizonMillis", limits.retryHorizonMillis())
                .put("keyTableEntries", limits.keyTableEntries())
                .put("storedAnswerBytes", limits.storedAnswerBytes())
                .put("grantMillis", limits.grantMillis())
                .put("drainMillis", limits.drainMillis())
                .put("retryBudgetPercent", limits.retryBudgetPercent())
                .put("bodyBytes", limits.bodyBytes())
                .put("deadlineMillis", limits.deadlineMillis())
                .put("quarantineMillis", limits.quarantineMillis())
                .put("clockBoundMillis", limits.clockBoundMillis());
    }
}
