/**
 * The controller: leases over endpoints and fenced orders to them.
 *
 * @since 0.1.0
 */
@NullMarked
package org.radishpass.controller;

import org.jspecify.annotations.NullMarked;
