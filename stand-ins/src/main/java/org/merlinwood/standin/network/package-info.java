/** TCP forwarder with switchable network faults, and helpers for addresses and ports. */
package org.merlinwood.standin.network;
