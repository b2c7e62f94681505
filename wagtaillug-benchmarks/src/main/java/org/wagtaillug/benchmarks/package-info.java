/** Benchmarks of the most frequent decisions, at the current fleet size and at the size expected in two years. */
package org.wagtaillug.benchmarks;
