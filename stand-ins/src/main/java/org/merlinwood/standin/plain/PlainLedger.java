package org.merlinwood.standin.plain;

import java.util.List;

/**
 * What a plain service really ran.
 *
 * @param runs every run in the order of starts
 */
public record PlainLedger(List<PlainRun> runs) {}
