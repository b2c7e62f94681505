/** Prompts that crash upstreams: which of their segments causes it, and which requests must not be sent any more. */
package org.wagtaillug.quarantine;
