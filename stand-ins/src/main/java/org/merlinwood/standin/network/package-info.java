/** A TCP forwarder that delays, drops or silences connections on command. */
package org.merlinwood.standin.network;
