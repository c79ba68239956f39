package org.merlinwood.gateway.decision;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class EntryCountBoundTest {

    /** An entry of a large fleet that starts while it cannot reach any other knows its three seeds. */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 4})
    void fleetIsAssumedToBeLargeUntilAnotherEntryHasSentItsMembers(int knownEntries) {
        assertThat(EntryCountBound.of(knownEntries, false)).isGreaterThanOrEqualTo(300);
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 5, 33, 320})
    void boundLeavesRoomForEntriesThatAreAdded(int knownEntries) {
        assertThat(EntryCountBound.of(knownEntries, true)).isGreaterThanOrEqualTo(knownEntries * 3 / 2);
    }

    @Test
    void smallSiteKeepsAShareThatIsWorthUsing() {
        assertThat(EntryCountBound.of(5, true)).isEqualTo(8);
    }
}
