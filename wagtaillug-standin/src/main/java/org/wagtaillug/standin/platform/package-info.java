/**
 * Stand-ins for the platform's own services: {@link org.wagtaillug.standin.platform.LogService}, {@link
 * org.wagtaillug.standin.platform.VmList} and {@link org.wagtaillug.standin.platform.WeightStore}.
 */
package org.wagtaillug.standin.platform;
