/**
 * Settings of a node and contracts of operators: read from YAML, checked against schemas, given as typed values. All
 * problems of a file are collected and told at once, each with its line, what was found and what was expected.
 */
package org.wagtaillug.settings;
