/**
 * Preparation and evaluation of experiment runs. {@link org.wagtaillug.standin.experiment.PlanCommand} creates the load file
 * and the list of actions from the layout and load of a firm and the scenarios. {@link
 * org.wagtaillug.standin.experiment.SummaryCommand} creates the report of a run from its folder. {@link
 * org.wagtaillug.standin.experiment.CompareCommand} compares the reports of several runs by policy.
 */
package org.wagtaillug.standin.experiment;
