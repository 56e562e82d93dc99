/** Model checks of the core protocols. */
@org.jspecify.annotations.NullMarked
package org.radishpass.model;
