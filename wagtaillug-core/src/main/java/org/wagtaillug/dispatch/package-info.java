/**
 * Request dispatch: takes each request through the stages of its template, with retries, hedging and stream merging, to
 * a single response.
 */
package org.wagtaillug.dispatch;
