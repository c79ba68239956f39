package org.merlinwood.gateway.peer;

import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.merlinwood.gateway.follow.CopyConfirmation;
import org.merlinwood.gateway.follow.StorePosition;

/**
 * The copy of the store at this entry, of which other entries are told how current it is. Used on the event loop only.
 *
 * @param confirmation up to which time it is complete
 * @param readPosition returns the position up to which changes have been read
 * @param configurationVersion returns the version of the configuration in force, 0 if none
 * @param onAsked called when another entry asks
 */
public record CopySource(
        CopyConfirmation confirmation,
        Supplier<StorePosition> readPosition,
        LongSupplier configurationVersion,
        Runnable onAsked) {

    /** Returns the position up to which this copy has everything. */
    StorePosition position() {
        StorePosition read = readPosition.get();
        return read.isAfter(confirmation.position()) ? read : confirmation.position();
    }
}
