/** Netty implementation of the protocol: handshake, framing, heartbeats and exchanges. */
package org.merlinwood.protocol.impl;
