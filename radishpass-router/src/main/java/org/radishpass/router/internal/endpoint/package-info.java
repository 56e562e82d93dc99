/**
 * HTTP client for endpoints, including validation of responses and parsing of event streams; not API.
 *
 * @since 0.1.0
 */
@NullMarked
package org.radishpass.router.internal.endpoint;

import org.jspecify.annotations.NullMarked;
