/** Model placement: decides which engine serves which model, and issues the load orders. */
package org.wagtaillug.placement;
