package org.merlinwood.standin.engine;

import java.util.List;

/**
 * Ledger of the runs that an engine really executed, with its memory use.
 *
 * @param totalPieces memory of the engine, in pieces
 * @param heldPieces pieces reserved now
 * @param maximumHeldPieces highest number of pieces reserved at once since the start
 * @param runs all runs, sorted by start
 */
public record EngineLedger(int totalPieces, int heldPieces, int maximumHeldPieces, List<EngineRun> runs) {}
