package org.wagtaillug.batch;

import org.wagtaillug.id.VmId;

/**
 * A result that lies at its maker until it is released or its lifetime ends.
 *
 * @param handle what the maker calls it
 * @param maker the upstream where it lies
 */
public record StepResult(String handle, VmId maker) {}
