/** Policy features that can be switched off on a node, so that the effect of each can be measured. */
package org.wagtaillug.policy;
