package org.merlinwood.proving.fleet;

import java.util.List;
import org.merlinwood.configuration.rules.Limits;

/**
 * What a fleet consists of. Immutable; made by {@link #builder()}.
 *
 * @param entries number of entries
 * @param prefills number of prefill engines
 * @param decodes number of decode engines
 * @param plainServices plain services with their numbers of instances
 * @param peerForwarding whether a forwarder stands before each sidecar
 * @param upstreamForwarding whether a forwarder stands between each sidecar and its upstream
 * @param pieces memory of each engine, in pieces of 2,000 tokens
 * @param engineOptions further options of the engines' command line
 * @param limits limits of the rules
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

    private static final long SAME_MACHINE_CLOCK_BOUND_MILLIS = 100;
    private static final Limits DEFAULT_LIMITS = new Limits(
            600_000, 10_000, 16L << 20, 2_000, 20_000, 20, 4 << 20, 60_000, 600_000, SAME_MACHINE_CLOCK_BOUND_MILLIS);

    /** Whether a forwarder stands in a path. */
    public enum Forwarding {
        /** Connections go straight to their target. */
        OFF,
        /** Connections go through a forwarder that a test switches. */
        ON
    }

    /**
     * Instances of one plain service.
     *
     * @param service its name
     * @param instances how many
     */
    public record PlainPool(String service, int instances) {}

    /** Copies the lists. */
    public FleetPlan {
        plainServices = List.copyOf(plainServices);
        engineOptions = List.copyOf(engineOptions);
    }

    /**
     * Creates a builder of the smallest useful fleet.
     *
     * @return a new builder
     */
    public static Builder builder() {
        return new Builder();
    }

    /** Collects the parts of a plan. Not thread-safe. */
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

        /** Sets whether forwarders stand before sidecars and before upstreams. */
        public Builder forwarding(Forwarding peers, Forwarding upstreams) {
            peerForwarding = peers;
            upstreamForwarding = upstreams;
            return this;
        }

        /** Sets the memory of each engine. */
        public Builder pieces(int value) {
            pieces = value;
            return this;
        }

        /** Sets further options of the engines. */
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
