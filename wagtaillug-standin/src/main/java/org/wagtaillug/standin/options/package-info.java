/**
 * The options of each stand-in with their defaults and validation. They have the same names on the command line ({@code
 * --token-millis 5}) and in a layout ({@code token-millis: 5}).
 */
package org.wagtaillug.standin.options;
