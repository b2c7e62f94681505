/** Wall-clock times, which processes can compare with each other, apart from the steady time by which a node decides. */
package org.wagtaillug.clock;
