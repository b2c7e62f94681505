/**
 * The configuration in force. It is derived by applying the records of the control stream in order, and is the same at
 * every node that has read to the same offset.
 */
package org.wagtaillug.configuration;
