package org.merlinwood.gateway.decision;

import java.util.Optional;
import java.util.Set;

/** What the instances tell of the version that began a stream: which of them hold its prompt. Immutable. */
public sealed interface HeldVersion {

    /**
     * Returns the version at which the stream goes on. Where not all instances of other versions could be asked, the
     * home version is taken to have begun the stream if its instances hold the prompt: it began there unless they had
     * no room for it.
     *
     * @param homeVersion the version at which the requests of the session preferably begin; empty if there is none
     * @return the version, or empty if it isn't certain enough
     */
    default Optional<String> versionAt(Optional<String> homeVersion) {
        return switch (this) {
            case Certain certain -> Optional.of(certain.version());
            case Uncertain uncertain -> homeVersion.filter(uncertain.version()::equals);
            case Ambiguous ambiguous -> Optional.empty();
        };
    }

    /**
     * Instances of this version alone hold the prompt, and no instance of another one is left that may hold it.
     *
     * @param version the software version that began the stream
     */
    record Certain(String version) implements HeldVersion {}

    /**
     * Instances of this version alone are known to hold the prompt, but not all instances of other versions could be
     * asked: one that hasn't answered is not one that holds nothing.
     *
     * @param version the software version that is known to hold the prompt
     * @param unknownVersions other versions, of the instances that may hold it as well
     */
    record Uncertain(String version, Set<String> unknownVersions) implements HeldVersion {

        /** Copies the versions. */
        public Uncertain {
            unknownVersions = Set.copyOf(unknownVersions);
        }
    }

    /**
     * No version is known to hold the prompt, or several are.
     *
     * @param versions the versions that hold it
     */
    record Ambiguous(Set<String> versions) implements HeldVersion {

        /** Copies the versions. */
        public Ambiguous {
            versions = Set.copyOf(versions);
        }
    }
}
