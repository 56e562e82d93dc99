package org.radishpass.routing.health;

/**
 * Whether this router reaches an endpoint over its own connections. It says nothing about the endpoint itself, which
 * other routers may reach all the same.
 *
 * @since 0.9.0
 */
public enum LinkState {
    /** No connection has been tried, or its outcome is not known yet. */
    UNKNOWN,
    /** A connection was established, or bytes arrived, after the last failed connection. */
    REACHED,
    /** The last connection failed. */
    UNREACHED
}
