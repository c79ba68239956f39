package org.merlinwood.following.impl;

import org.merlinwood.configuration.inventory.NetworkAddress;

/** Reaches other processes. */
interface Peers {

    /** The process at an address. */
    Peer at(NetworkAddress address);
}
