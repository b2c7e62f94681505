/**
 * What operators and customers agreed: templates of pipelines, each customer's parameters, and what the servers of a
 * pool bear. All are immutable; each configuration change replaces one of them whole.
 */
package org.wagtaillug.contract;
