package org.merlinwood.decision.idempotency;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.apache.commons.codec.digest.MurmurHash3;
import org.merlinwood.configuration.inventory.Instance;
import org.merlinwood.core.identity.InstanceName;

/**
 * Rendezvous hashing over instances. The same subject and instances result in the same sequence in every process.
 * Adding or removing an instance moves only the subjects for which this instance has the highest score. Stateless,
 * thread-safe.
 */
public final class RendezvousOrder {

    private RendezvousOrder() {}

    /**
     * Finds the first instance for a subject.
     *
     * @param subject the bytes to hash, such as a key
     * @param candidates the instances, in any sequence
     * @return the instance with the highest score, or empty if there is no candidate
     */
    public static Optional<Instance> first(byte[] subject, Stream<Instance> candidates) {
        return candidates
                .map(instance -> new Scored(instance, score(subject, instance.name())))
                .max(Scored.BY_SCORE)
                .map(Scored::instance);
    }

    /**
     * Sorts instances for a subject.
     *
     * @param subject the bytes to hash, such as a key
     * @param candidates the instances, in any sequence
     * @return the instances, highest score first
     */
    public static List<Instance> order(byte[] subject, Stream<Instance> candidates) {
        return candidates.sorted(byScore(subject).reversed()).toList();
    }

    /**
     * Finds the first name for a subject.
     *
     * @param subject the bytes to hash, such as a key
     * @param candidates the names, in any sequence
     * @return the name of the instance that {@link #first} finds among instances with these names, or empty if there is
     *     none
     */
    public static Optional<InstanceName> firstName(byte[] subject, Stream<InstanceName> candidates) {
        return candidates.max(Comparator.<InstanceName>comparingLong(name -> score(subject, name))
                .thenComparing(Comparator.naturalOrder()));
    }

    private static Comparator<Instance> byScore(byte[] subject) {
        return Comparator.<Instance>comparingLong(instance -> score(subject, instance.name()))
                .thenComparing(Instance::name);
    }

    private static long score(byte[] subject, InstanceName name) {
        byte[] nameBytes = name.value().getBytes(StandardCharsets.UTF_8);
        byte[] input = ByteBuffer.allocate(Integer.BYTES + subject.length + nameBytes.length)
                .putInt(subject.length)
                .put(subject)
                .put(nameBytes)
                .array();
        return MurmurHash3.hash128x64(input)[0];
    }

    /** An instance with its score, so that the score is computed only once. */
    private record Scored(Instance instance, long score) {

        static final Comparator<Scored> BY_SCORE = Comparator.comparingLong(Scored::score)
                .thenComparing(scored -> scored.instance().name());
    }
}
