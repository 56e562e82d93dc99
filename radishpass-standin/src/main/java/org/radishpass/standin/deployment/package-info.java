/**
 * Complete deployments that consist of stand-ins.
 *
 * @since 0.1.0
 */
@NullMarked
package org.radishpass.standin.deployment;

import org.jspecify.annotations.NullMarked;
