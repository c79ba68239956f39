package org.merlinwood.gateway.follow;

import java.util.Optional;

/**
 * State of one key at one position of the store. The value is not copied and must not be modified.
 *
 * @param key key in the store
 * @param position position of the store that wrote or removed the key
 * @param value value of the key; empty if the key was removed
 */
public record StoreChange(String key, StorePosition position, Optional<byte[]> value) {}
