package org.radishpass.routing.traffic;

import java.net.ConnectException;

/**
 * Why a connection to an endpoint could not be made.
 *
 * @param cause for people
 * @param refused whether the endpoint's machine answered that nobody listens there: the process has ended, and is not merely cut off
 */
record ConnectFailure(String cause, boolean refused) {
    static ConnectFailure of(Throwable cause) {
        boolean timedOut = cause instanceof io.netty.channel.ConnectTimeoutException;
        boolean refused = cause instanceof ConnectException && !timedOut && isRefusal(cause);
        return new ConnectFailure(String.valueOf(cause), refused);
    }

    /** The same exception also tells of a network that cannot be reached; only its text tells them apart. */
    private static boolean isRefusal(Throwable cause) {
        return String.valueOf(cause.getMessage()).contains("refused");
    }
}
