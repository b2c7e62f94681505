/** What is known of single upstreams: load reports, whether they are cold, whether they answer at all. */
package org.wagtaillug.health;
