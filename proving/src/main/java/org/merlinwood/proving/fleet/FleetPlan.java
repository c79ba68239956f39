package org.merlinwood.proving.fleet;

import java.util.List;
import org.merlinwood.configuration.rules.Limits;

/**
 * The size and the options of a fleet. Immutable; created by {@link #builder()}.
 *
 * @param entries number of entries
 * @param prefills number of prefill engines
 * @param decodes number of decode engines
 * @param plainServices plain services with their numbers of instances
 * @param peerForwarding whether connections to the peer port of each sidecar pass through a forwarder
 * @param upstreamForwarding whether connections from each sidecar to its upstream pass through a forwarder
 * @param pieces memory of each engine, in pieces of 2,000 tokens
 * @param engineOptions additional command line options of the engines
 * @param limits limits in the rules
 */
public record FleetPlan(
        int entries,
        int prefills,
        int decodes,
        List<PlainPool> plainServices,
        Forwarding peerForwarding,
        Forwarding upstreamForwarding,
        int pieces,
        List<String> engineOptions,
        Limits limits) {

    private static final long SAME_MACHINE_CLOCK_SKEW_MILLIS = 100;
    private static final Limits DEFAULT_LIMITS = new Limits(
            600_000, 10_000, 16L << 20, 2_000, 20_000, 20, 4 << 20, 60_000, 600_000, SAME_MACHINE_CLOCK_SKEW_MILLIS);

    /** Whether connections pass through a forwarder. */
    public enum Forwarding {
        /** Connections go directly to their target. */
        OFF,
        /** Connections pass through a forwarder that a test can disturb. */
        ON
    }

    /**
     * The instances of one plain service.
     *
     * @param service name of the service
     * @param instances number of instances
     */
    public record PlainPool(String service, int instances) {}

    /** Copies the lists. */
    public FleetPlan {
        plainServices = List.copyOf(plainServices);
        engineOptions = List.copyOf(engineOptions);
    }

    /**
     * Creates a builder with default values: two entries, two engines of each role and one plain service with two
     * instances.
     *
     * @return a new builder
     */
    public static Builder builder() {
        return new Builder();
    }

    /** Builds a plan. Not thread-safe. */
    public static final class Builder {

        private int entries = 2;
        private int prefills = 2;
        private int decodes = 2;
        private List<PlainPool> plainServices = List.of(new PlainPool(FleetDocuments.LEDGER, 2));
        private Forwarding peerForwarding = Forwarding.OFF;
        private Forwarding upstreamForwarding = Forwarding.OFF;
        private int pieces = 40;
        private List<String> engineOptions = List.of();
        private Limits limits = DEFAULT_LIMITS;

        private Builder() {}

        /** Sets the number of entries. */
        public Builder entries(int value) {
            entries = value;
            return this;
        }

        /** Sets the numbers of engines. */
        public Builder engines(int prefillEngines, int decodeEngines) {
            prefills = prefillEngines;
            decodes = decodeEngines;
            return this;
        }

        /** Sets the plain services. */
        public Builder plainServices(List<PlainPool> value) {
            plainServices = value;
            return this;
        }

        /** Sets whether connections to sidecars and to upstreams pass through forwarders. */
        public Builder forwarding(Forwarding peers, Forwarding upstreams) {
            peerForwarding = peers;
            upstreamForwarding = upstreams;
            return this;
        }

        /** Sets the memory of each engine, in pieces of 2,000 tokens. */
        public Builder pieces(int value) {
            pieces = value;
            return this;
        }

        /** Sets additional command line options of the engines. */
        public Builder engineOptions(List<String> value) {
            engineOptions = value;
            return this;
        }

        /** Sets the limits of the rules. */
        public Builder limits(Limits value) {
            limits = value;
            return this;
        }

        /**
         * Builds the plan.
         *
         * @return an immutable plan
         */
        public FleetPlan build() {
            return new FleetPlan(
                    entries,
                    prefills,
                    decodes,
                    plainServices,
                    peerForwarding,
                    upstreamForwarding,
                    pieces,
                    engineOptions,
                    limits);
        }
    }
}
