package org.merlinwood.decision.suspicion;

import org.merlinwood.core.identity.InstanceName;

/**
 * Identifies one crash of an engine. Immutable.
 *
 * @param instance instance whose engine crashed
 * @param number number of the crash since its sidecar started, from 1
 */
public record EngineCrash(InstanceName instance, int number) {}
