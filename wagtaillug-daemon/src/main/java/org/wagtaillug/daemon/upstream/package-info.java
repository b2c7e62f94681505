/** The upstreams' side: attempts out, their ends in. */
package org.wagtaillug.daemon.upstream;
