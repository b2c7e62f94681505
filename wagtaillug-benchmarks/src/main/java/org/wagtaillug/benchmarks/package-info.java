/** Benchmarks of the decisions that are made most often, at today's size and at that of two years from now. */
package org.wagtaillug.benchmarks;
