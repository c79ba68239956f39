/**
 * Authenticated sessions between the processes of merlinwood: one TCP connection carries many exchanges of frames.
 *
 * <p>Connections open on demand and close when idle. Heartbeats are sent only while an exchange is open, and find
 * connections that went silent.
 */
package org.merlinwood.protocol;
