/**
 * Stand-ins for the external systems that wagtaillug depends on: log service, VM list, model engines, stage pools, plain
 * services and weight store. Each has its own port and its own injectable faults. They serve tests and local trials.
 *
 * <p>{@link org.wagtaillug.standin.Main} is the entry point. A {@link org.wagtaillug.standin.StandInProcess} runs a single
 * stand-in or all stand-ins of a {@link org.wagtaillug.standin.Layout}.
 */
package org.wagtaillug.standin;
