/**
 * The load command: sends requests to nodes at times that are fixed beforehand, whether earlier ones were answered or
 * not (an open loop), checks that every answer is whole and belongs to its request, and reports what came of each.
 *
 * <p>{@link org.wagtaillug.standin.load.LoadFile} says what to send, {@link org.wagtaillug.standin.load.Schedule} when,
 * {@link org.wagtaillug.standin.load.LoadRun} sends, {@link org.wagtaillug.standin.load.Recorder} counts and {@link
 * org.wagtaillug.standin.load.LoadReport} is the result.
 */
package org.wagtaillug.standin.load;
