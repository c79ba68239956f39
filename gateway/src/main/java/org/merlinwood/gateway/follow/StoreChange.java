package org.merlinwood.gateway.follow;

import java.util.Optional;

/**
 * The state of one key at one revision. The value must not be changed.
 *
 * @param key the key
 * @param revision revision of the store at which the key got this state
 * @param value the value; empty where the key was removed
 */
public record StoreChange(String key, long revision, Optional<byte[]> value) {}
