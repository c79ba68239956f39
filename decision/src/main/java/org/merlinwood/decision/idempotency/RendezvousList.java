package org.merlinwood.decision.idempotency;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import org.apache.commons.codec.digest.MurmurHash3;
import org.merlinwood.configuration.inventory.Instance;

/**
 * Instances with their names encoded as bytes in advance, so that a look-up allocates only one buffer. Finds the same
 * instance as {@link RendezvousOrder}. Immutable, thread-safe.
 */
final class RendezvousList {

    private final Instance[] instances;
    private final byte[][] names;
    private final int longestBytes;

    /** Creates a list of at least one instance. */
    RendezvousList(List<Instance> candidates) {
        instances =
                candidates.stream().sorted(Comparator.comparing(Instance::name)).toArray(Instance[]::new);
        names = Arrays.stream(instances)
                .map(instance -> instance.name().value().getBytes(StandardCharsets.UTF_8))
                .toArray(byte[][]::new);
        longestBytes = Arrays.stream(names).mapToInt(name -> name.length).max().orElse(0);
    }

    /** Returns the instance with the highest score; among equal scores the one with the last name. */
    Instance first(byte[] subject) {
        int headBytes = Integer.BYTES + subject.length;
        byte[] input = new byte[headBytes + longestBytes];
        ByteBuffer.wrap(input).putInt(subject.length).put(subject);
        int best = 0;
        long bestScore = Long.MIN_VALUE;
        for (int index = 0; index < instances.length; index++) {
            byte[] name = names[index];
            System.arraycopy(name, 0, input, headBytes, name.length);
            long score = MurmurHash3.hash128x64(input, 0, headBytes + name.length, 0)[0];
            if (score >= bestScore) {
                best = index;
                bestScore = score;
            }
        }
        return instances[best];
    }
}
