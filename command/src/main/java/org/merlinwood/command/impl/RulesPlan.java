package org.merlinwood.command.impl;

import java.util.ArrayList;
import java.util.List;
import org.merlinwood.configuration.rules.CallerClass;
import org.merlinwood.configuration.rules.Repeatability;
import org.merlinwood.configuration.rules.RouteRule;
import org.merlinwood.configuration.rules.Rules;

/** Describes the effects of an edit of the rules. Stateless. */
public final class RulesPlan {

    private RulesPlan() {}

    /**
     * Compares two versions of the rules.
     *
     * @param before the current rules
     * @param after the edited rules
     * @return one line per change; empty if nothing changes
     */
    public static List<String> lines(Rules before, Rules after) {
        List<String> lines = new ArrayList<>();
        lines.addAll(RowChanges.ofTable(
                "service",
                before.services(),
                after.services(),
                row -> row.name().value()));
        lines.addAll(RowChanges.ofTable("route", before.routes(), after.routes(), RulesPlan::routeName));
        addRouteSequence(lines, before, after);
        addRepeatabilityWarnings(lines, before, after);
        lines.addAll(RowChanges.ofTable("class", before.classes(), after.classes(), CallerClass::name));
        lines.addAll(RowChanges.ofTable(
                "caller", before.callers(), after.callers(), row -> row.name().value()));
        lines.addAll(RowChanges.ofRow("limits", before.limits(), after.limits()));
        return lines;
    }

    private static String routeName(RouteRule route) {
        return route.method() + " " + route.path();
    }

    private static void addRouteSequence(List<String> lines, Rules before, Rules after) {
        List<String> oldNames =
                before.routes().stream().map(RulesPlan::routeName).toList();
        List<String> newNames =
                after.routes().stream().map(RulesPlan::routeName).toList();
        List<String> oldCommon = oldNames.stream().filter(newNames::contains).toList();
        List<String> newCommon = newNames.stream().filter(oldNames::contains).toList();
        if (!oldCommon.equals(newCommon)) {
            lines.add("the order of the routes changes; the first row that matches a request applies");
        }
    }

    private static void addRepeatabilityWarnings(List<String> lines, Rules before, Rules after) {
        for (RouteRule route : after.routes()) {
            boolean wasAtMostOnce = before.routes().stream()
                    .filter(old -> routeName(old).equals(routeName(route)))
                    .anyMatch(old -> old.repeatability() == Repeatability.NON_IDEMPOTENT);
            if (wasAtMostOnce && route.repeatability() == Repeatability.IDEMPOTENT) {
                lines.add("CAUTION: " + routeName(route) + " may run more than once from now on");
            }
        }
    }
}
