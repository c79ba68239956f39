package org.merlinwood.gateway.front;

import java.util.ArrayDeque;
import java.util.Deque;
import org.merlinwood.gateway.allotment.AllotmentLedger;
import org.merlinwood.gateway.allotment.Charge;

/**
 * What the runs of one request count in the allotment of its workspace. The first run is counted before it is sent;
 * each further one that may take place is counted when it is sent. Used by the event loop alone.
 */
final class RunCharges {

    private final AllotmentLedger ledger;
    private final RequestMetrics metrics;
    private final Charge firstCharge;
    private final Deque<Charge> charges = new ArrayDeque<>();

    /** Number of runs that were sent and of which none is known not to have taken place. */
    private int possibleRuns;

    /**
     * Creates the charges of a request that was admitted.
     *
     * @param ledger counts the runs
     * @param metrics counts the runs that were given back or charged in addition
     * @param firstCharge that of the first run
     */
    RunCharges(AllotmentLedger ledger, RequestMetrics metrics, Charge firstCharge) {
        this.ledger = ledger;
        this.metrics = metrics;
        this.firstCharge = firstCharge;
        charges.add(firstCharge);
    }

    /** Records that the request is sent to an instance that runs it. */
    void recordSend() {
        possibleRuns++;
        if (possibleRuns > charges.size()) {
            charges.add(ledger.chargeAgain(firstCharge));
            metrics.count("allotment_runs_charged_again");
        }
    }

    /** Records that a request which was sent did not run. */
    void recordNotRun() {
        possibleRuns--;
    }

    /** Gives back what did not run, when the request is finished. */
    void settle() {
        while (charges.size() > possibleRuns) {
            ledger.giveBack(charges.removeLast());
            metrics.count("allotment_runs_given_back");
        }
    }
}
