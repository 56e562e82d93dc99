package org.radishpass.routing.traffic;

import java.util.ArrayDeque;
import java.util.Deque;
import org.radishpass.routing.dialect.RequestDialect;
import org.radishpass.routing.dialect.ResponseHead;
import org.radishpass.routing.fleet.ServiceEndpoint;
import org.radishpass.routing.health.EndpointHealth;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The pool of connections to one endpoint. */
final class EndpointPool {
    private static final Logger LOG = LoggerFactory.getLogger(EndpointPool.class);

    /** Maximum number of idle connections; larger than the number that one router needs at once under steady load. */
    private static final int MAX_IDLE = 24;

    /**
     * Milliseconds since the last use of a connection within which the connection may carry a request that cannot be
     * retried. Endpoints may drop idle connections silently. A new connection proves first that the endpoint is
     * reachable; it takes 1 ms and costs less than a lost request.
     */
    private static final long NON_RETRYABLE_REUSE_MILLIS = 300;

    /**
     * Milliseconds since the last bytes from the endpoint within which an idle connection may carry a request that can
     * be retried.
     */
    private static final long RETRYABLE_REUSE_MILLIS = 1_000;

    private final EndpointConnections connections;
    private final ServiceEndpoint endpoint;
    private final EndpointHealth health;
    private final Deque<EndpointConnection> idle = new ArrayDeque<>();

    EndpointPool(EndpointConnections connections, ServiceEndpoint endpoint, EndpointHealth health) {
        this.connections = connections;
        this.endpoint = endpoint;
        this.health = health;
    }

    ServiceEndpoint endpoint() {
        return endpoint;
    }

    RequestDialect dialect() {
        return connections.dialect();
    }

    long nowMillis() {
        return connections.nowMillis();
    }

    /** Records that bytes were received from the endpoint. */
    void bytesReceived() {
        health.bytesReceived(nowMillis());
    }

    /**
     * Provides a connection, preferably an idle one.
     *
     * @param retryable whether the request can be sent again if the endpoint closes the idle connection meanwhile
     * @param callback receives the connection, or the reason why there is none
     */
    void acquire(boolean retryable, ConnectionCallback callback) {
        long nowMillis = nowMillis();
        if (!mayReuse(retryable, nowMillis)) {
            connections.connect(this, callback);
            return;
        }
        for (EndpointConnection connection = idle.pollFirst(); connection != null; connection = idle.pollFirst()) {
            if (connection.reusable(nowMillis)) {
                callback.connected(connection);
                return;
            }
            connection.close();
        }
        connections.connect(this, callback);
    }

    private boolean mayReuse(boolean retryable, long nowMillis) {
        if (retryable) {
            return nowMillis - health.bytesReceivedAtMillis() <= RETRYABLE_REUSE_MILLIS;
        }
        EndpointConnection newest = idle.peekFirst();
        return newest != null && nowMillis - newest.usedAtMillis() <= NON_RETRYABLE_REUSE_MILLIS;
    }

    /** Opens a new connection, which proves that the endpoint is reachable. */
    void connect(ConnectionCallback callback) {
        connections.connect(this, callback);
    }

    /** Returns a connection to the pool, or closes it if the pool is full or retired. */
    void release(EndpointConnection connection) {
        if (idle.size() >= MAX_IDLE || connections.retired(endpoint.id())) {
            connection.close();
            return;
        }
        idle.addFirst(connection);
    }

    /** Removes a connection that was closed. */
    void connectionClosed(EndpointConnection connection) {
        idle.remove(connection);
    }

    void closeIdle() {
        while (!idle.isEmpty()) {
            idle.removeFirst().close();
        }
    }

    void closeExpired(long nowMillis) {
        while (!idle.isEmpty() && !idle.peekLast().reusable(nowMillis)) {
            idle.removeLast().close();
        }
    }

    void headReceived(ResponseHead head) {
        connections.headReceived(endpoint, head);
    }

    void unmatchedResponse(String expectedId, ResponseHead head) {
        connections.countUnmatchedResponse();
        LOG.warn(
                "endpoint {} responded to request {} while {} was in flight; dropping the response",
                endpoint.id(),
                head.requestId(),
                expectedId);
    }
}
