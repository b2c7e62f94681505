/**
 * What stands around one run of an experiment: {@link org.wagtaillug.standin.experiment.PlanCommand} makes the load file
 * and the list of actions out of a firm's layout, its load and scenarios; {@link
 * org.wagtaillug.standin.experiment.SummaryCommand} makes one report out of what a run left behind; {@link
 * org.wagtaillug.standin.experiment.CompareCommand} sets the reports of two policies side by side.
 */
package org.wagtaillug.standin.experiment;
