/**
 * The options of each stand-in, the same on the command line ({@code --token-millis 5}) and in a layout ({@code
 * token-millis: 5}), with their defaults and checks.
 */
package org.wagtaillug.standin.options;
