package org.merlinwood.benchmarks;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.merlinwood.following.impl.TextDeltaBenchmark;

/** Prints the sizes of encoded frames and documents. */
public final class MessageSizes {

    private static final List<Integer> ROWS = List.of(375, 750, 1_500, 3_000);
    private static final List<Integer> CALLERS = List.of(838, 1_675, 3_350, 6_700);

    private MessageSizes() {}

    /**
     * Prints one line for each frame or document size.
     *
     * @param arguments ignored
     */
    public static void main(String[] arguments) {
        SampleFrames.all()
                .forEach(
                        (name, frame) -> System.out.printf("frame %-36s %6d bytes%n", name, frame.getSerializedSize()));
        for (int rows : ROWS) {
            System.out.printf("inventory of %4d rows %8d bytes%n", rows, bytes(PlannedDocuments.inventory(rows)));
            System.out.printf("delta of one row in %4d rows %6d bytes%n", rows, TextDeltaBenchmark.deltaBytes(rows));
        }
        for (int callers : CALLERS) {
            System.out.printf("rules of %4d callers %8d bytes%n", callers, bytes(PlannedDocuments.rules(callers)));
        }
    }

    private static int bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8).length;
    }
}
