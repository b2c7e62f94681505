/** The directory of upstreams: their registered entries, and the failure domains that operators took out of service. */
package org.wagtaillug.directory;
