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
 * Rendezvous hashing over instances: the same subject and rows give the same order in every process, and a row that
 * comes or goes moves only the subjects that it wins or won. Stateless, thread-safe.
 */
public final class RendezvousOrder {

    private RendezvousOrder() {}

    /**
     * Finds the first instance for a subject.
     *
     * @param subject what is placed
     * @param candidates the instances, in any order
     * @return the instance with the highest score, or empty if there is no candidate
     */
    public static Optional<Instance> first(byte[] subject, Stream<Instance> candidates) {
        return candidates
                .map(instance -> new Scored(instance, score(subject, instance.name())))
                .max(Scored.ORDER)
                .map(Scored::instance);
    }

    /**
     * Orders instances for a subject.
     *
     * @param subject what is placed
     * @param candidates the instances, in any order
     * @return the instances, highest score first
     */
    public static List<Instance> order(byte[] subject, Stream<Instance> candidates) {
        return candidates.sorted(byScore(subject).reversed()).toList();
    }

    /**
     * Finds the first name for a subject.
     *
     * @param subject what is placed
     * @param candidates the names, in any order
     * @return the same name that {@link #first} gives for instances of these names, or empty if there is none
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

    /** An instance with its score, which is computed once. */
    private record Scored(Instance instance, long score) {

        static final Comparator<Scored> ORDER = Comparator.comparingLong(Scored::score)
                .thenComparing(scored -> scored.instance().name());
    }
}
