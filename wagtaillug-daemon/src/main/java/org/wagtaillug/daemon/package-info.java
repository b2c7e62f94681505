/** The process of an entry node: carries out the effects of the decision logic over real connections. */
package org.wagtaillug.daemon;
