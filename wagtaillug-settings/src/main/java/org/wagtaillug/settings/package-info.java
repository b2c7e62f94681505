/**
 * The settings of a node and the contracts of operators: read from YAML, validated against schemas and returned as
 * typed values. All problems of a file are reported together, each with its line, the value found and the value
 * expected.
 */
package org.wagtaillug.settings;
