package org.merlinwood.configuration.settings;

import org.merlinwood.configuration.inventory.NetworkAddress;

/**
 * Settings of an entry. Immutable.
 *
 * @param process what every process has
 * @param callerAddress where callers connect
 */
public record EntrySettings(ProcessSettings process, NetworkAddress callerAddress) {}
