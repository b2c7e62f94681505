/** Messages between nodes. Each may be lost, duplicated, delayed or reordered. */
package org.wagtaillug.message;
