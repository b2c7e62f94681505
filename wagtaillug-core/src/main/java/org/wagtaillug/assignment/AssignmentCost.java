package org.wagtaillug.assignment;

/**
 * The expected cost of a request at an engine. All costs are in tokens that the engine could read in the same time.
 *
 * @param reading the prompts that are read before the answer begins, the request's own included
 * @param delayOfStreams the delay of the streams that run there while it reads the prompt
 * @param delayByOthers the delay of the request's own stream while other prompts are read
 * @param transfer the transfer of inputs from another failure domain
 */
public record AssignmentCost(double reading, double delayOfStreams, double delayByOthers, double transfer) {
    /** The sum. */
    public double total() {
        return reading + delayOfStreams + delayByOthers + transfer;
    }
}
