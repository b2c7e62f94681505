/**
 * The operators' command line {@code wagtaillugctl}: reads the arguments, speaks to the administration interface of one
 * node after the other, and tells what came of it. It claims nothing that no node has said.
 */
package org.wagtaillug.tool;
