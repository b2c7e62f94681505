/** Short programs that show the core and the settings in use. */
package org.wagtaillug.examples;
