/**
 * The controller, which leases endpoints and sends them orders with fencing tokens.
 *
 * @since 0.1.0
 */
@NullMarked
package org.radishpass.controller;

import org.jspecify.annotations.NullMarked;
