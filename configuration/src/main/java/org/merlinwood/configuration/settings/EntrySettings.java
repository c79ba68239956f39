package org.merlinwood.configuration.settings;

import org.merlinwood.configuration.inventory.NetworkAddress;

/**
 * Settings of an entry process. Immutable.
 *
 * @param process settings common to all processes
 * @param callerAddress address on which the entry accepts callers' connections
 */
public record EntrySettings(ProcessSettings process, NetworkAddress callerAddress) {}
