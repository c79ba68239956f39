package org.merlinwood.gateway.decision;

import java.util.Comparator;
import java.util.List;
import java.util.function.Function;

/**
 * Ranks addresses for a subject by highest random weight: all processes that know the same addresses rank them alike,
 * and an address that goes away doesn't change the order of the others. Stateless.
 */
public final class RendezvousRanking {

    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;
    private static final long MIX_FACTOR = 0xff51afd7ed558ccdL;

    private RendezvousRanking() {}

    /**
     * Returns the addresses with the highest weights.
     *
     * @param subject what the addresses are ranked for
     * @param addresses the addresses, in any order
     * @param count number of addresses to return at most
     * @return the first ones, the highest weight first
     */
    public static List<String> first(String subject, List<String> addresses, int count) {
        return addresses.stream()
                .sorted(order(subject, (String address) -> address).reversed())
                .limit(count)
                .toList();
    }

    /**
     * Returns the order of things by the weights of their addresses.
     *
     * @param subject what the addresses are ranked for
     * @param address returns the address of a thing
     * @param <T> type of the things
     * @return the order, the lowest weight first
     */
    static <T> Comparator<T> order(String subject, Function<T, String> address) {
        return Comparator.comparingLong(thing -> weight(subject, address.apply(thing)));
    }

    private static long weight(String subject, String address) {
        long hash = add(add(FNV_OFFSET, subject), address);
        hash = (hash ^ (hash >>> 33)) * MIX_FACTOR;
        return hash ^ (hash >>> 33);
    }

    private static long add(long start, String text) {
        long hash = start;
        for (int index = 0; index < text.length(); index++) {
            hash = (hash ^ text.charAt(index)) * FNV_PRIME;
        }
        return hash;
    }
}
