/** Membership and failure detection among nodes. No safety property depends on it. */
package org.wagtaillug.peer;
