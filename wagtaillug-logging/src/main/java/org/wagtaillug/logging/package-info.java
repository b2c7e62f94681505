/** JSON lines behind {@code System.Logger}: one object a line, through the JDK's own logging. */
package org.wagtaillug.logging;
