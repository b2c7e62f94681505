package org.wagtaillug.standin.load;

/**
 * Counts of incorrect answers, all of which must be zero.
 *
 * @param wrongRequest answers with the id of another request
 * @param tooShort answers reported as complete although tokens or the output are missing
 * @param doubled answers with a duplicate token
 * @param doubleRuns idempotency keys executed more than once according to the ledgers
 * @param falseNotRun idempotency keys executed although the request was refused as not run
 * @param servedNotRun idempotency keys answered as served but never executed
 */
public record TruthErrors(
        long wrongRequest, long tooShort, long doubled, long doubleRuns, long falseNotRun, long servedNotRun) {
    /** Returns the total number of errors. */
    public long sum() {
        return wrongRequest + tooShort + doubled + doubleRuns + falseNotRun + servedNotRun;
    }
}
