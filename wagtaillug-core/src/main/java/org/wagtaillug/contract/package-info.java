/**
 * The contents of the configuration: pipeline templates, customer parameters, model placements and pool limits. All are
 * immutable; each configuration change replaces one of them as a whole.
 */
package org.wagtaillug.contract;
