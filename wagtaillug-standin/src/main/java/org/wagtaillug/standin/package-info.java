/**
 * Stand-ins of the outside systems that wagtaillug speaks to: log service, VM list, model engines, stage pools, plain
 * services and weight store, each on its own port and with its own faults, for tests and for trying the system out.
 *
 * <p>{@link org.wagtaillug.standin.Main} is the program. One {@link org.wagtaillug.standin.StandInProcess} runs one
 * stand-in or, from a {@link org.wagtaillug.standin.Layout}, many.
 */
package org.wagtaillug.standin;
