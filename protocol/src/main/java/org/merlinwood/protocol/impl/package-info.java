/** Internals of the protocol: handshake, framing, heartbeats, exchanges. */
package org.merlinwood.protocol.impl;
