/**
 * The load generator. It sends requests to nodes in an open loop, that is at times scheduled in advance, independent of
 * earlier answers. It checks that every answer is complete and belongs to its request, and reports the outcomes.
 *
 * <p>{@link org.wagtaillug.standin.load.LoadFile} defines what to send and {@link org.wagtaillug.standin.load.Schedule} when
 * to send it. {@link org.wagtaillug.standin.load.LoadRun} sends, {@link org.wagtaillug.standin.load.Recorder} records the
 * outcomes and {@link org.wagtaillug.standin.load.LoadReport} is the result.
 */
package org.wagtaillug.standin.load;
