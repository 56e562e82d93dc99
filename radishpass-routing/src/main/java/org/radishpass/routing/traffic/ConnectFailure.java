package org.radishpass.routing.traffic;

import java.net.ConnectException;

/**
 * The reason why a connection to an endpoint could not be established.
 *
 * @param cause a human-readable description
 * @param refused whether the machine of the endpoint refused the connection, which means that the process has exited
 *     and is not merely unreachable
 */
record ConnectFailure(String cause, boolean refused) {
    static ConnectFailure of(Throwable cause) {
        boolean timedOut = cause instanceof io.netty.channel.ConnectTimeoutException;
        boolean refused = cause instanceof ConnectException && !timedOut && isRefusal(cause);
        return new ConnectFailure(String.valueOf(cause), refused);
    }

    /**
     * Tells whether the connection was refused. An unreachable network causes the same exception type, and only the
     * message differs.
     */
    private static boolean isRefusal(Throwable cause) {
        return String.valueOf(cause.getMessage()).contains("refused");
    }
}
