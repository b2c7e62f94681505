/** Upstreams: sends attempts and reports how they ended. */
package org.wagtaillug.daemon.upstream;
