package org.merlinwood.proving.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.logging.LogManager;
import java.util.stream.LongStream;
import org.merlinwood.core.time.MillisClock;
import org.merlinwood.core.time.SystemMillisClock;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Main class of the soak. Exit status 0 only if no seed failed. */
@Command(
        name = "soak",
        mixinStandardHelpOptions = true,
        version = "0.1.0",
        description = "Runs entries under faults determined by a seed, and checks responses against executed runs.",
        exitCodeListHeading = "Exit status:%n",
        exitCodeList = {"0:no seed failed", "1:a seed failed", "2:wrong arguments"})
public final class SoakMain implements Callable<Integer> {

    @Option(names = "--seed", description = "Runs this seed.")
    private Long seed;

    @Option(names = "--seeds", paramLabel = "A..B", description = "Runs the seeds from A to B, both included.")
    private String seeds;

    @Option(names = "--minutes", description = "Starts new seeds for this many minutes.")
    private Integer minutes;

    @Option(
            names = "--seconds",
            defaultValue = "15",
            description = "Period in which faults start in each seed, in seconds (default: ${DEFAULT-VALUE}).")
    private int seconds;

    @Option(names = "--logs", description = "Folder for settings and logs of the entries (default: a temporary one).")
    private Path logs;

    @Option(names = "--plan", description = "Prints the faults of the seeds and runs none.")
    private boolean planOnly;

    private final MillisClock clock = SystemMillisClock.shared();
    private int seedsRun;
    private int failed;

    /**
     * Runs the soak.
     *
     * @param arguments command line options
     */
    public static void main(String[] arguments) {
        System.exit(new CommandLine(new SoakMain()).execute(arguments));
    }

    @Override
    public Integer call() throws IOException, InterruptedException {
        LogManager.getLogManager().reset();
        if (minutes != null) {
            runFreshSeeds(TimeUnit.MINUTES.toMillis(minutes));
        }
        for (long next : selectedSeeds()) {
            runSeed(next);
        }
        System.out.printf("soak: %d seeds, %d failed%n", seedsRun, failed);
        return failed == 0 ? 0 : 1;
    }

    private void runFreshSeeds(long millis) throws IOException, InterruptedException {
        long next = clock.wallMillis();
        long end = clock.monotonicMillis() + millis;
        while (clock.monotonicMillis() < end) {
            runSeed(next);
            next++;
        }
    }

    private long[] selectedSeeds() {
        if (seeds != null) {
            String[] ends = seeds.split("\\.\\.", -1);
            return LongStream.rangeClosed(Long.parseLong(ends[0]), Long.parseLong(ends[ends.length - 1]))
                    .toArray();
        }
        if (seed != null) {
            return new long[] {seed};
        }
        return minutes == null ? new long[] {1} : new long[] {};
    }

    private void runSeed(long next) throws IOException, InterruptedException {
        if (planOnly) {
            System.out.printf("seed %d%n", next);
            SoakSeed.plan(next, TimeUnit.SECONDS.toMillis(seconds)).faults().forEach(SoakMain::print);
            return;
        }
        seedsRun++;
        Path folder = logs == null ? Files.createTempDirectory("soak-" + next + "-") : logs.resolve("seed-" + next);
        Files.createDirectories(folder);
        SoakResult result = new SoakSeed(next, TimeUnit.SECONDS.toMillis(seconds), folder).run();
        boolean held = result.violations().isEmpty();
        System.out.printf("seed %d %s: %s%n", next, held ? "held" : "FAILED, logs in " + folder, result.summary());
        result.violations().forEach(violation -> System.out.println("  " + violation));
        if (!held) {
            result.plan().faults().forEach(SoakMain::print);
            failed++;
        }
    }

    private static void print(ScheduledFault fault) {
        System.out.printf(
                "  %6d ms, for %4d ms: %s %d%n", fault.atMillis(), fault.forMillis(), fault.kind(), fault.target());
    }
}
