package org.merlinwood.protocol;

import org.merlinwood.core.identity.Incarnation;
import org.merlinwood.core.identity.InstanceName;

/**
 * One life of one process, as it names itself in the handshake.
 *
 * @param instance the name of its instance
 * @param incarnation the life
 * @param role what kind of process it is
 */
public record PeerIdentity(InstanceName instance, Incarnation incarnation, PeerRole role) {}
