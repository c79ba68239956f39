package org.merlinwood.standin.engine;

import java.util.List;

/**
 * What an engine really ran.
 *
 * @param totalPieces its memory
 * @param heldPieces pieces held now
 * @param maximumHeldPieces pieces held at most since the start
 * @param runs every run in the order of starts
 */
public record EngineLedger(int totalPieces, int heldPieces, int maximumHeldPieces, List<EngineRun> runs) {}
