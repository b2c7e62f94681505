/** Short example programs that use the core and the settings. */
package org.wagtaillug.examples;
