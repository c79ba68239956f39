package org.merlinwood.standin.impl;

/** State of one run in a ledger. All states of a run share its sequence number. */
public interface SequencedRun {

    /**
     * Returns the sequence number of the run.
     *
     * @return a positive number, ascending by start time
     */
    long sequence();
}
