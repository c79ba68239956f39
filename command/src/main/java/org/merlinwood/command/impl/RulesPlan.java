package org.merlinwood.command.impl;

import java.util.ArrayList;
import java.util.List;
import org.merlinwood.configuration.rules.CallerClass;
import org.merlinwood.configuration.rules.Repeatability;
import org.merlinwood.configuration.rules.RouteRule;
import org.merlinwood.configuration.rules.Rules;

/** Words what an edit of the rules changes. Stateless. */
public final class RulesPlan {

    private RulesPlan() {}

    /**
     * Compares two versions.
     *
     * @param before the rules as they are
     * @param after the rules as they are to become
     * @return a line for each change; empty if nothing changes
     */
    public static List<String> lines(Rules before, Rules after) {
        List<String> lines = new ArrayList<>();
        lines.addAll(RowChanges.ofTable(
                "service",
                before.services(),
                after.services(),
                row -> row.name().value()));
        lines.addAll(RowChanges.ofTable("route", before.routes(), after.routes(), RulesPlan::name));
        addOrder(lines, before, after);
        addRepeatable(lines, before, after);
        lines.addAll(RowChanges.ofTable("class", before.classes(), after.classes(), CallerClass::name));
        lines.addAll(RowChanges.ofTable(
                "caller", before.callers(), after.callers(), row -> row.name().value()));
        lines.addAll(RowChanges.ofRow("limits", before.limits(), after.limits()));
        return lines;
    }

    private static String name(RouteRule route) {
        return route.method() + " " + route.path();
    }

    private static void addOrder(List<String> lines, Rules before, Rules after) {
        List<String> oldOrder = before.routes().stream().map(RulesPlan::name).toList();
        List<String> newOrder = after.routes().stream().map(RulesPlan::name).toList();
        List<String> oldKept = oldOrder.stream().filter(newOrder::contains).toList();
        List<String> newKept = newOrder.stream().filter(oldOrder::contains).toList();
        if (!oldKept.equals(newKept)) {
            lines.add("the order of the routes changes; the first row that matches a request wins");
        }
    }

    private static void addRepeatable(List<String> lines, Rules before, Rules after) {
        for (RouteRule route : after.routes()) {
            boolean wasAtMostOnce = before.routes().stream()
                    .filter(old -> name(old).equals(name(route)))
                    .anyMatch(old -> old.repeatability() == Repeatability.NON_IDEMPOTENT);
            if (wasAtMostOnce && route.repeatability() == Repeatability.IDEMPOTENT) {
                lines.add("CAUTION: " + name(route) + " may run more than once from now on");
            }
        }
    }
}
