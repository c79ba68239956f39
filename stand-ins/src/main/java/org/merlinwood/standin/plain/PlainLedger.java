package org.merlinwood.standin.plain;

import java.util.List;

/**
 * Ledger of the requests that a plain service really ran.
 *
 * @param runs all runs, sorted by start
 */
public record PlainLedger(List<PlainRun> runs) {}
