/** The upstreams that may be used: what each says of itself, and what operators say of its failure domain. */
package org.wagtaillug.directory;
