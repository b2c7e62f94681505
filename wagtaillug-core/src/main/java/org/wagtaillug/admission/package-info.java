/** Whether a node takes a request at all: by room, by the customer's share, by worth. */
package org.wagtaillug.admission;
