package org.merlinwood.gateway.decision;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

final class RendezvousRankingTest {

    private static final List<String> ADDRESSES = IntStream.range(0, 20)
            .mapToObj(number -> "10.1.0." + number + ":8146")
            .toList();

    @Test
    void orderOfTheAddressesMakesNoDifference() {
        assertThat(RendezvousRanking.first("a", ADDRESSES.reversed(), 3))
                .isEqualTo(RendezvousRanking.first("a", ADDRESSES, 3));
    }

    /** An entry that misses some addresses finds the others in the same order. */
    @Test
    void addressThatGoesAwayLeavesTheOrderOfTheOthers() {
        List<String> first = RendezvousRanking.first("a", ADDRESSES, 4);
        List<String> others = ADDRESSES.stream()
                .filter(address -> !address.equals(first.get(1)))
                .toList();
        assertThat(RendezvousRanking.first("a", others, 3)).containsExactly(first.get(0), first.get(2), first.get(3));
    }

    @Test
    void subjectsAreSpreadOverAllAddresses() {
        Map<String, Integer> counts = new HashMap<>();
        for (int number = 0; number < 2_000; number++) {
            String subject = Integer.toHexString(number * 0x9E3779B1);
            counts.merge(RendezvousRanking.first(subject, ADDRESSES, 1).getFirst(), 1, Integer::sum);
        }
        assertThat(counts).hasSize(ADDRESSES.size());
        assertThat(counts.values()).allSatisfy(count -> assertThat(count).isBetween(60, 150));
    }
}
