/** Checks the Alloy models of the claim, lease and configuration protocols. */
@org.jspecify.annotations.NullMarked
package org.radishpass.model;
