package org.merlinwood.proving.prove;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.logging.LogManager;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.merlinwood.proving.caller.CallerClient;
import org.merlinwood.proving.fleet.Fleet;
import org.merlinwood.proving.soak.FaultPair;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Main class of the proofs. The exit status is 0 only if every proof passes. */
@Command(
        name = "prove",
        description = "Checks every promise against real processes under failures.",
        mixinStandardHelpOptions = true)
public final class ProveMain implements Callable<Integer> {

    private static final int NOT_PROVED_STATUS = 1;

    @Option(names = "--seed", defaultValue = "1", description = "Fixes the random choices.")
    private long seed;

    @Option(names = "--only", description = "Runs only the proofs whose names start with this text.")
    private String only = "";

    private final List<ProofResult> results = new ArrayList<>();

    /**
     * Runs the proofs.
     *
     * @param arguments command line options
     */
    public static void main(String[] arguments) {
        System.exit(new CommandLine(new ProveMain()).execute(arguments));
    }

    @Override
    public Integer call() {
        LogManager.getLogManager().reset();
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        Promises.groups().forEach(group -> execute(chosen(group), random));
        Promises.onThePlatform().entrySet().stream()
                .filter(proof -> proof.getKey().startsWith(only))
                .forEach(proof -> report(proof.getKey(), execute(proof.getValue())));
        System.out.printf(
                "promises: %d passed, %d failed, %d unproved%n",
                count(Verdict.PASS), count(Verdict.FAIL), count(Verdict.UNPROVED));
        return count(Verdict.PASS) == results.size() ? 0 : NOT_PROVED_STATUS;
    }

    private ProofGroup chosen(ProofGroup group) {
        List<Proof> proofs = group.proofs().stream()
                .filter(proof -> proof.name().startsWith(only))
                .toList();
        return new ProofGroup(group.plan(), proofs);
    }

    private void execute(ProofGroup group, UniformRandomProvider random) {
        if (group.proofs().isEmpty()) {
            return;
        }
        try (Fleet fleet = Fleet.start(group.plan());
                CallerClient client = new CallerClient()) {
            ProofContext context = new ProofContext(fleet, client, random);
            group.proofs().forEach(proof -> report(proof.name(), execute(proof, context)));
        } catch (IllegalStateException exception) {
            ProofResult result = ProofResult.fail("the fleet did not start: " + exception.getMessage());
            group.proofs().forEach(proof -> report(proof.name(), result));
        }
    }

    private static ProofResult execute(Proof proof, ProofContext context) {
        try {
            context.fleet().repair();
            return proof.body().execute(context);
        } catch (IllegalStateException exception) {
            return ProofResult.fail("could not be carried out: " + exception.getMessage());
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            return ProofResult.unproved("interrupted");
        }
    }

    private ProofResult execute(FaultPair pair) {
        try {
            FaultPair.Outcome outcome = pair.run(seed);
            String detail = outcome.summary() + " " + outcome.violations();
            if (!outcome.provoked()) {
                return ProofResult.unproved("no instance stated it; " + detail);
            }
            return ProofResult.of(outcome.violations().isEmpty(), detail);
        } catch (IllegalStateException exception) {
            return ProofResult.fail("could not be carried out: " + exception.getMessage());
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            return ProofResult.unproved("interrupted");
        }
    }

    private void report(String proof, ProofResult result) {
        results.add(result);
        System.out.printf("promise %s %s%n", proof, result.verdict());
        System.err.printf("  %s: %s%n", proof, result.detail());
    }

    private long count(Verdict verdict) {
        return results.stream().filter(result -> result.verdict() == verdict).count();
    }
}
