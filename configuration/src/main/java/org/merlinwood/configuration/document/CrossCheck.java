package org.merlinwood.configuration.document;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.merlinwood.configuration.document.CrossFinding.Severity;
import org.merlinwood.configuration.inventory.Instance;
import org.merlinwood.configuration.inventory.InstanceRole;
import org.merlinwood.configuration.inventory.InstanceState;
import org.merlinwood.configuration.inventory.Inventory;
import org.merlinwood.configuration.rules.Rules;
import org.merlinwood.configuration.rules.ServiceKind;
import org.merlinwood.configuration.rules.ServiceRule;
import org.merlinwood.core.identity.ModelName;
import org.merlinwood.core.identity.ServiceName;

/**
 * Checks that a valid inventory and valid rules are consistent with each other. Operators run it before they publish;
 * processes don't. An object holds the state of one check and is used by one thread.
 */
public final class CrossCheck {

    private final Inventory inventory;
    private final Rules rules;
    private final Map<ServiceName, List<Instance>> instancesOfService = new LinkedHashMap<>();
    private final List<CrossFinding> findings = new ArrayList<>();

    private CrossCheck(Inventory inventory, Rules rules) {
        this.inventory = inventory;
        this.rules = rules;
        inventory.instances().values().stream()
                .filter(instance -> instance.role() != InstanceRole.ENTRY)
                .filter(instance -> instance.state() != InstanceState.RETIRED)
                .forEach(instance -> instancesOfService
                        .computeIfAbsent(instance.service(), ignored -> new ArrayList<>())
                        .add(instance));
    }

    /**
     * Checks an inventory against rules. Thread-safe.
     *
     * @param inventory a valid inventory
     * @param rules valid rules
     * @return the findings, errors first; empty if the documents are consistent
     */
    public static List<CrossFinding> check(Inventory inventory, Rules rules) {
        CrossCheck check = new CrossCheck(inventory, rules);
        check.instancesOfService.forEach(check::checkService);
        rules.services().forEach(check::checkServiceRule);
        inventory.models().keySet().forEach(check::checkModel);
        return check.findings.stream()
                .sorted(Comparator.comparing(CrossFinding::severity))
                .toList();
    }

    private void checkService(ServiceName service, List<Instance> instances) {
        Optional<ServiceRule> rule = rules.service(service);
        if (rule.isEmpty()) {
            addFinding(
                    Severity.ERROR,
                    "instances",
                    "the service '" + service + "' of " + instances.get(0).name() + " has no row in the rules",
                    "add a row to \"services\" in the rules");
            return;
        }
        ServiceKind inventoryKind =
                instances.get(0).role() == InstanceRole.PLAIN ? ServiceKind.PLAIN : ServiceKind.MODEL;
        if (rule.get().kind() != inventoryKind) {
            addFinding(
                    Severity.ERROR,
                    "services[" + service + "]",
                    "its kind is " + EnumSpelling.spell(rule.get().kind())
                            + " in the rules, but its instances in the inventory make it "
                            + EnumSpelling.spell(inventoryKind),
                    "correct the kind in the rules or the roles of the instances");
        }
        if (instances.stream().noneMatch(instance -> instance.state() == InstanceState.ACTIVE)) {
            addFinding(
                    Severity.WARNING,
                    "services[" + service + "]",
                    "none of its instances is active, so new requests are refused",
                    "leave at least one instance active");
        }
    }

    private void checkServiceRule(ServiceRule rule) {
        if (!instancesOfService.containsKey(rule.name())) {
            addFinding(
                    Severity.ERROR,
                    "services[" + rule.name() + "]",
                    "no instance of the inventory serves it",
                    "add its instances, or delete the row");
        }
        boolean routed =
                rules.routes().stream().anyMatch(route -> route.service().equals(rule.name()));
        if (rule.kind() == ServiceKind.PLAIN && !routed) {
            addFinding(
                    Severity.WARNING,
                    "services[" + rule.name() + "]",
                    "no route leads to this plain service",
                    "add a row to \"routes\"");
        }
    }

    private void checkModel(ModelName model) {
        Set<ServiceName> services = servicesOf(model);
        if (services.isEmpty()) {
            addFinding(
                    Severity.WARNING,
                    "models[" + model + "]",
                    "no instance is configured to load the model",
                    "list it in the column \"models\" of instances, or delete the row");
        }
        if (services.size() > 1) {
            addFinding(
                    Severity.ERROR,
                    "models[" + model + "]",
                    "several services have instances that load the model: "
                            + services.stream().map(ServiceName::value).collect(Collectors.joining(", ")),
                    "use a different model name for each service, since requests are routed by model name");
        }
        services.forEach(service -> checkPools(model, service));
    }

    private void checkPools(ModelName model, ServiceName service) {
        Set<InstanceRole> roles = instancesOfService.get(service).stream()
                .filter(instance -> instance.models().contains(model))
                .map(Instance::role)
                .collect(Collectors.toCollection(TreeSet::new));
        if (roles.size() == 1) {
            InstanceRole missing = roles.contains(InstanceRole.PREFILL) ? InstanceRole.DECODE : InstanceRole.PREFILL;
            addFinding(
                    Severity.ERROR,
                    "models[" + model + "]",
                    "no " + EnumSpelling.spell(missing) + " instance of '" + service + "' loads the model",
                    "list the model at both prefill and decode instances");
        }
    }

    private Set<ServiceName> servicesOf(ModelName model) {
        return inventory.instances().values().stream()
                .filter(instance -> instance.state() != InstanceState.RETIRED)
                .filter(instance -> instance.models().contains(model))
                .map(Instance::service)
                .collect(Collectors.toCollection(TreeSet::new));
    }

    private void addFinding(Severity severity, String path, String problem, String remedy) {
        findings.add(new CrossFinding(severity, path, problem, remedy));
    }
}
