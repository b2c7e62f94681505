/** Where interrupted streams may go on: the pool and the version of the upstream that sent their first event. */
package org.wagtaillug.stream;
