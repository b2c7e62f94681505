/**
 * The configuration in force: a fold over the control stream, the same at every node that has read to the same offset.
 */
package org.wagtaillug.configuration;
