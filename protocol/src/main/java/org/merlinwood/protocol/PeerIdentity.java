package org.merlinwood.protocol;

import org.merlinwood.core.identity.Incarnation;
import org.merlinwood.core.identity.InstanceName;

/**
 * Identity of one incarnation of a process, as sent in the handshake. Immutable.
 *
 * @param instance the name of the instance
 * @param incarnation the incarnation, different for each start of the process
 * @param role the kind of process
 */
public record PeerIdentity(InstanceName instance, Incarnation incarnation, PeerRole role) {}
