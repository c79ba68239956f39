package org.merlinwood.following.impl;

import org.merlinwood.configuration.inventory.NetworkAddress;

/** Gives access to other processes of the fleet. */
interface Peers {

    /** Returns the process at an address; does not connect yet. */
    Peer at(NetworkAddress address);
}
