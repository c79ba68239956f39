package org.merlinwood.standin.impl;

/** One run in a ledger; later states of the same run have the same sequence number. */
public interface SequencedRun {

    /**
     * Returns the number of the run.
     *
     * @return positive, rising in the order of starts
     */
    long sequence();
}
