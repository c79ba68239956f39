package org.merlinwood.following.impl;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import java.util.Arrays;
import java.util.function.IntSupplier;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.merlinwood.configuration.document.InventoryReader;

/**
 * Measures the cost of one changed inventory row: bytes sent between processes, and processor time at the reader and at
 * each subscriber. Prints one JSON line per inventory size.
 *
 * <p>Runs only when named explicitly: {@code mvn -pl following -am -Dtest=DeltaMeasurement
 * -Dsurefire.failIfNoSpecifiedTests=false package}.
 */
class DeltaMeasurement {

    private static final int WARM_UP_RUNS = 200;
    private static final int RUNS = 201;
    private static final double NANOS_PER_MILLI = 1_000_000;

    private int checksum;

    @ParameterizedTest
    @ValueSource(ints = {375, 750, 1_500, 3_000})
    void measure(int rows) {
        String base = TestDocuments.inventory(rows, 5).replaceAll("10\\.0\\.0\\.(\\d+):7100", "127.0.0.1:$1");
        String target = base.replace("\"name\": \"i100\"", "\"name\": \"changed\"");
        ByteString delta = TextDelta.encode(base, target);

        double encodeMillis = medianMillis(() -> TextDelta.encode(base, target).size());
        double applyMillis =
                medianMillis(() -> TextDelta.apply(base, delta).get().length());
        double parseMillis = medianMillis(() ->
                InventoryReader.read("inventory", 2, target).get().instances().size());

        assertThat(checksum).isPositive();
        System.out.printf(
                "{\"rows\": %d, \"documentBytes\": %d, \"deltaBytes\": %d, \"encodeMillis\": %.2f,"
                        + " \"applyMillis\": %.2f, \"judgeMillis\": %.2f}%n",
                rows, base.length(), delta.size(), encodeMillis, applyMillis, parseMillis);
    }

    private double medianMillis(IntSupplier operation) {
        for (int run = 0; run < WARM_UP_RUNS; run++) {
            checksum += operation.getAsInt();
        }
        long[] nanos = new long[RUNS];
        for (int run = 0; run < RUNS; run++) {
            long startNanos = System.nanoTime();
            checksum += operation.getAsInt();
            nanos[run] = System.nanoTime() - startNanos;
        }
        Arrays.sort(nanos);
        return nanos[RUNS / 2] / NANOS_PER_MILLI;
    }
}
