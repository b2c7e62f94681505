package org.wagtaillug.standin.load;

/**
 * Answers that are not true, which must never be.
 *
 * @param wrongRequest answers that carried another request's id
 * @param tooShort answers that were called whole though tokens or the output were missing
 * @param doubled answers in which a token came twice
 * @param doubleRuns idempotency keys that the ledgers show as executed more than once
 * @param falseNotRun idempotency keys that were executed though the refusal said not run
 * @param servedNotRun idempotency keys that were answered as served but never executed
 */
public record TruthErrors(
        long wrongRequest, long tooShort, long doubled, long doubleRuns, long falseNotRun, long servedNotRun) {
    /** Returns how many there were of all kinds together. */
    public long sum() {
        return wrongRequest + tooShort + doubled + doubleRuns + falseNotRun + servedNotRun;
    }
}
