/** Backend of {@code System.Logger} that writes one JSON object per line, based on {@code java.util.logging}. */
package org.wagtaillug.logging;
