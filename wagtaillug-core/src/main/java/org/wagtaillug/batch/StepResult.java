package org.wagtaillug.batch;

import org.wagtaillug.id.VmId;

/**
 * A result that is stored at the server that computed it until it is released or its lifetime ends.
 *
 * @param handle the server's name for the result
 * @param server the upstream that computed and stores it
 */
public record StepResult(String handle, VmId server) {}
