/** What upstreams announce about themselves in their answers. */
package org.wagtaillug.notice;
