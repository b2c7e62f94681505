/** Retry budgets, which limit the attempts beyond the first so that retries do not overload a failing pool. */
package org.wagtaillug.retry;
