/**
 * Authenticated sessions between the processes of merlinwood. One TCP connection multiplexes many exchanges of frames.
 *
 * <p>Connections are opened on demand and closed when idle. Heartbeats are sent only while an exchange is open; they
 * detect connections whose peer has become silent.
 */
package org.merlinwood.protocol;
