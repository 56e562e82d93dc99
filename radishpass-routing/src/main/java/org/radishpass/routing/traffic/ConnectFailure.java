package org.radishpass.routing.traffic;

import java.io.IOException;
import java.net.ConnectException;
import org.radishpass.routing.health.LinkEvidence;

/**
 * The reason why a connection to an endpoint could not be established.
 *
 * @param cause a human-readable description
 * @param refused whether the machine of the endpoint refused the connection, which means that the process has exited
 *     and is not merely unreachable
 * @param reset whether the connection was reset while it was being established: the endpoint is running, and may hold
 *     as many connections as it accepts
 */
record ConnectFailure(String cause, boolean refused, boolean reset) {
    static ConnectFailure of(Throwable cause) {
        boolean timedOut = cause instanceof io.netty.channel.ConnectTimeoutException;
        boolean refused = cause instanceof ConnectException && !timedOut && isRefusal(cause);
        return new ConnectFailure(String.valueOf(cause), refused, isReset(cause));
    }

    /** Returns what the failure shows about the link to the endpoint. */
    LinkEvidence evidence() {
        if (refused) {
            return LinkEvidence.REFUSED;
        }
        return reset ? LinkEvidence.RESET : LinkEvidence.NO_ANSWER;
    }

    /** Tells whether an error of a connection means that the other side has reset it. */
    static boolean isReset(Throwable cause) {
        String message = String.valueOf(cause.getMessage());
        return cause instanceof IOException && (message.contains("reset") || message.contains("Broken pipe"));
    }

    /**
     * Tells whether the connection was refused. An unreachable network causes the same exception type, and only the
     * message differs.
     */
    private static boolean isRefusal(Throwable cause) {
        return String.valueOf(cause.getMessage()).contains("refused");
    }
}
