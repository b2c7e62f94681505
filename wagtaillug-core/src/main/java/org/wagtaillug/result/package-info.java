/** Results of requests: numbered result codes, and what is known about whether the request was executed. */
package org.wagtaillug.result;
