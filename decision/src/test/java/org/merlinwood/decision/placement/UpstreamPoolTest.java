package org.merlinwood.decision.placement;

import static org.assertj.core.api.Assertions.assertThat;
import static org.merlinwood.decision.placement.PoolInventories.PIECES;
import static org.merlinwood.decision.placement.PoolInventories.pool;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.merlinwood.configuration.inventory.Instance;
import org.merlinwood.configuration.inventory.InstanceRole;
import org.merlinwood.configuration.inventory.Inventory;
import org.merlinwood.core.identity.InstanceName;
import org.merlinwood.decision.prefix.PrefixBlocks;

/** Placement, forecasts and recorded load of a pool. */
final class UpstreamPoolTest {

    private static final long NOW_MILLIS = 1_000_000;
    private static final InstanceName FIRST = new InstanceName("instance-0");
    private static final InstanceName SECOND = new InstanceName("instance-1");
    private static final PrefixBlocks PREFIX = PrefixBlocks.of("x".repeat(20 * PrefixBlocks.BLOCK_BYTES));
    private static final long PROMPT_TOKENS = 20L * PrefixBlocks.BLOCK_TOKENS;

    @ParameterizedTest
    @EnumSource(
            value = InstanceRole.class,
            names = {"PREFILL", "DECODE", "PLAIN"})
    void returnsEmptyWhenNoInstanceIsLeft(InstanceRole role) {
        UpstreamPool pool = pool(PoolInventories.of(role, 2, 1), role);
        assertThat(pool.choose(query(1), Set.of(FIRST, SECOND))).isEmpty();
        assertThat(pool(PoolInventories.of(role, 0, 1), role).choose(query(1), Set.of()))
                .isEmpty();
    }

    @ParameterizedTest
    @EnumSource(
            value = InstanceRole.class,
            names = {"PREFILL", "DECODE", "PLAIN"})
    void skipsExcludedAndAvoidedInstances(InstanceRole role) {
        UpstreamPool pool = pool(PoolInventories.of(role, 2, 1), role);
        assertThat(name(pool.choose(query(1), Set.of(FIRST)))).isEqualTo(SECOND);
        pool.avoid(SECOND, NOW_MILLIS + 1);
        assertThat(name(pool.choose(query(1), Set.of()))).isEqualTo(FIRST);
    }

    @Test
    void usesAnAvoidedInstanceAgainAfterItsTimeout() {
        UpstreamPool pool = pool(PoolInventories.of(InstanceRole.DECODE, 1, 1), InstanceRole.DECODE);
        pool.avoid(FIRST, NOW_MILLIS);
        assertThat(pool.choose(query(1), Set.of())).isPresent();
    }

    @Test
    void skipsADrainingInstance() {
        UpstreamPool pool = pool(PoolInventories.of(InstanceRole.DECODE, 2, 1), InstanceRole.DECODE);
        pool.observe(FIRST, new LoadObservation(PIECES, PIECES, 0, 0, 0, 0, true), NOW_MILLIS);
        pool.observe(SECOND, new LoadObservation(1, PIECES, 9, 0, 0, 0, false), NOW_MILLIS);
        assertThat(name(pool.choose(query(1), Set.of()))).isEqualTo(SECOND);
    }

    @Test
    void placesDecodeByFreePiecesMinusPiecesInFlight() {
        UpstreamPool pool = pool(PoolInventories.of(InstanceRole.DECODE, 2, 1), InstanceRole.DECODE);
        pool.observe(FIRST, free(12), NOW_MILLIS);
        pool.observe(SECOND, free(10), NOW_MILLIS);
        assertThat(name(pool.choose(query(2), Set.of()))).isEqualTo(FIRST);
        pool.recordStart(FIRST, 6);
        assertThat(name(pool.choose(query(2), Set.of()))).isEqualTo(SECOND);
        pool.recordEnd(FIRST, 6);
        assertThat(name(pool.choose(query(2), Set.of()))).isEqualTo(FIRST);
    }

    @Test
    void placesDecodeByShortestWaitWhenNothingFits() {
        UpstreamPool pool = pool(PoolInventories.of(InstanceRole.DECODE, 2, 1), InstanceRole.DECODE);
        pool.observe(FIRST, new LoadObservation(1, PIECES, 9, 3, 900, 0, false), NOW_MILLIS);
        pool.observe(SECOND, new LoadObservation(0, PIECES, 9, 3, 300, 0, false), NOW_MILLIS);
        assertThat(name(pool.choose(query(2), Set.of()))).isEqualTo(SECOND);
        assertThat(pool.forecast(query(2))).contains(new PlacementForecast(300, 0));
    }

    @Test
    void placesAPrefillWhereItsPrefixIsCached() {
        UpstreamPool pool = pool(PoolInventories.of(InstanceRole.PREFILL, 10, 1), InstanceRole.PREFILL);
        pool.recordCached(SECOND, PREFIX, NOW_MILLIS);
        assertThat(name(pool.choose(query(3), Set.of()))).isEqualTo(SECOND);
    }

    @Test
    void prefersAnIdleInstanceToACachedPrefixWithALongQueue() {
        UpstreamPool pool = pool(PoolInventories.of(InstanceRole.PREFILL, 10, 1), InstanceRole.PREFILL);
        pool.recordCached(SECOND, PREFIX, NOW_MILLIS);
        pool.observe(SECOND, new LoadObservation(5, PIECES, 4, 4, 2_000, 2 * PROMPT_TOKENS, false), NOW_MILLIS);
        assertThat(name(pool.choose(query(3), Set.of()))).isNotEqualTo(SECOND);
    }

    @Test
    void removesAnEvictedPrefix() {
        UpstreamPool pool = pool(PoolInventories.of(InstanceRole.PREFILL, 2, 1), InstanceRole.PREFILL);
        pool.recordCached(SECOND, PREFIX, NOW_MILLIS);
        long cachedMillis = pool.forecast(query(3)).orElseThrow().serviceMillis();
        pool.recordEviction(SECOND, PREFIX);
        assertThat(pool.forecast(query(3)).orElseThrow().serviceMillis()).isGreaterThan(cachedMillis);
    }

    @Test
    void doesNotRecordAPrefixOnChoice() {
        UpstreamPool pool = pool(PoolInventories.of(InstanceRole.PREFILL, 1, 1), InstanceRole.PREFILL);
        long beforeMillis = pool.forecast(query(3)).orElseThrow().serviceMillis();
        assertThat(pool.choose(query(3), Set.of())).isPresent();
        assertThat(pool.forecast(query(3)).orElseThrow().serviceMillis()).isEqualTo(beforeMillis);
    }

    @Test
    void updatesPrefixAndRateAfterAPrefill() {
        UpstreamPool pool = pool(PoolInventories.of(InstanceRole.PREFILL, 2, 1), InstanceRole.PREFILL);
        pool.recordPrefill(FIRST, PREFIX, PROMPT_TOKENS, PROMPT_TOKENS / 20, NOW_MILLIS);
        assertThat(name(pool.choose(query(3), Set.of()))).isEqualTo(FIRST);
        PlacementQuery other = new PlacementQuery(1, 20_000, PrefixBlocks.NONE, NOW_MILLIS, 0);
        assertThat(pool.forecast(other)).contains(new PlacementForecast(0, 1_000));
    }

    @Test
    void distributesPlainRequestsByRequestsInFlight() {
        UpstreamPool pool = pool(PoolInventories.of(InstanceRole.PLAIN, 10, 1), InstanceRole.PLAIN);
        Map<InstanceName, Integer> requests = new HashMap<>();
        for (int request = 0; request < 1_000; request++) {
            InstanceName chosen = name(pool.choose(query(1), Set.of()));
            pool.recordStart(chosen, 1);
            requests.merge(chosen, 1, Integer::sum);
        }
        assertThat(requests.values()).hasSize(10).allMatch(count -> count > 90 && count < 110);
    }

    @Test
    void keepsObservationsAcrossAnInventoryChange() {
        Inventory before = PoolInventories.of(InstanceRole.DECODE, 3, 1);
        UpstreamPool pool = pool(before, InstanceRole.DECODE);
        pool.observe(FIRST, free(15), NOW_MILLIS);
        pool.observe(SECOND, free(5), NOW_MILLIS);
        UpstreamPool successor = pool.withInventory(PoolInventories.without(before, new InstanceName("instance-2")));
        assertThat(name(successor.choose(query(2), Set.of()))).isEqualTo(FIRST);
    }

    @Test
    void removesThePrefixesOfAReplacedInstance() {
        Inventory before = PoolInventories.of(InstanceRole.PREFILL, 2, 1);
        UpstreamPool pool = pool(before, InstanceRole.PREFILL);
        long uncachedMillis = pool.forecast(query(3)).orElseThrow().serviceMillis();
        pool.recordCached(SECOND, PREFIX, NOW_MILLIS);
        UpstreamPool successor =
                pool.withInventory(PoolInventories.without(before, SECOND)).withInventory(before);
        assertThat(successor.forecast(query(3)).orElseThrow().serviceMillis()).isEqualTo(uncachedMillis);
    }

    @Test
    void isDeterministic() {
        assertThat(choices()).isEqualTo(choices());
    }

    @Test
    void ignoresUnknownInstances() {
        UpstreamPool pool = pool(PoolInventories.of(InstanceRole.DECODE, 1, 1), InstanceRole.DECODE);
        InstanceName unknown = new InstanceName("stranger");
        pool.observe(unknown, free(1), NOW_MILLIS);
        pool.recordStart(unknown, 1);
        pool.recordEnd(unknown, 1);
        pool.avoid(unknown, NOW_MILLIS + 1);
        assertThat(name(pool.choose(query(1), new HashSet<>()))).isEqualTo(FIRST);
    }

    private static Map<InstanceName, Integer> choices() {
        UpstreamPool pool = pool(PoolInventories.of(InstanceRole.PLAIN, 30, 3), InstanceRole.PLAIN);
        Map<InstanceName, Integer> requests = new HashMap<>();
        for (int request = 0; request < 100; request++) {
            requests.merge(name(pool.choose(query(1), Set.of())), 1, Integer::sum);
        }
        return requests;
    }

    private static LoadObservation free(int pieces) {
        return new LoadObservation(pieces, PIECES, 1, 0, 0, 0, false);
    }

    private static PlacementQuery query(int pieces) {
        return new PlacementQuery(pieces, PROMPT_TOKENS, PREFIX, NOW_MILLIS, 0);
    }

    private static InstanceName name(Optional<Instance> chosen) {
        return chosen.orElseThrow().name();
    }
}
