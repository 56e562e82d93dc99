package org.radishpass.routing.traffic;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.radishpass.routing.connection.ConnectionCap;
import org.radishpass.routing.connection.ConnectionReset;
import org.radishpass.routing.connection.ConnectionShare;
import org.radishpass.routing.connection.ConnectionUse;
import org.radishpass.routing.connection.ReuseSuspension;
import org.radishpass.routing.dialect.RequestDialect;
import org.radishpass.routing.dialect.ResponseHead;
import org.radishpass.routing.exchange.ArrivalPhase;
import org.radishpass.routing.fleet.ServiceEndpoint;
import org.radishpass.routing.health.EndpointHealth;

/** The pool of connections to one endpoint. */
final class EndpointPool {
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

    /** Maximum number of requests that wait for a connection; further requests are placed at other endpoints. */
    private static final int MAX_WAITING = 8;

    /**
     * Milliseconds before a new connection is used while the endpoint resets surplus connections; several round trips
     * within a region.
     */
    private static final long SETTLE_MILLIS = 10;

    private final EndpointConnections connections;
    private final ServiceEndpoint endpoint;
    private final EndpointHealth health;
    private final Deque<EndpointConnection> idle = new ArrayDeque<>();
    private final Deque<WaitingRequest> waiting = new ArrayDeque<>();
    private final ReuseSuspension suspension = new ReuseSuspension();
    private final ConnectionShare share = new ConnectionShare();

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
     * Provides a connection, preferably an idle one. If this router holds as many connections as it may, waits until
     * one becomes idle.
     *
     * @param requestId the id of the request, which is not sent twice on one connection
     * @param retryable whether the request can be sent again if the endpoint closes the idle connection meanwhile
     * @param waitUntilMillis until when to wait, on the monotonic clock in milliseconds
     * @param callback receives the connection, or the reason why there is none
     */
    void acquire(String requestId, boolean retryable, long waitUntilMillis, ConnectionCallback callback) {
        long nowMillis = nowMillis();
        EndpointConnection reusable = mayReuse(retryable, nowMillis) ? pollReusable(requestId, nowMillis) : null;
        if (reusable != null) {
            connections.countReused();
            callback.connected(reusable);
        } else {
            connect(waitUntilMillis, new WaitingRequest(callback, requestId, retryable));
        }
    }

    /**
     * Opens a new connection, which proves that the endpoint is reachable and on which no late response arrives. If this
     * router holds as many connections as it may, closes an idle one, or else waits until one may be opened.
     *
     * @param waitUntilMillis until when to wait, on the monotonic clock in milliseconds
     * @param callback receives the connection, or the reason why there is none
     */
    void connect(long waitUntilMillis, ConnectionCallback callback) {
        connect(waitUntilMillis, new WaitingRequest(callback, null, false));
    }

    private void connect(long waitUntilMillis, WaitingRequest request) {
        long nowMillis = nowMillis();
        if (share.tryOpen(cap(), nowMillis)) {
            connections.connect(this, request.callback());
        } else if (share.paused(nowMillis) || waiting.size() >= MAX_WAITING || waitUntilMillis <= nowMillis) {
            refuse(request.callback());
        } else {
            waiting.addLast(request);
            connections.schedule(waitUntilMillis - nowMillis, () -> {
                if (waiting.remove(request)) {
                    refuse(request.callback());
                }
            });
            if (!idle.isEmpty()) {
                idle.removeLast().close(); // its end starts the first waiting request on a new connection
            }
        }
    }

    /** Opens a new connection that is not limited by this router's share. */
    void probe(ConnectionCallback callback) {
        share.openProbe();
        connections.connect(this, callback);
    }

    private void suspendReuse() {
        suspension.unsolicitedBytes(nowMillis());
        closeIdle();
    }

    private void refuse(ConnectionCallback callback) {
        connections.countRefusedByShare();
        callback.shareUsedUp();
    }

    private @Nullable EndpointConnection pollReusable(String requestId, long nowMillis) {
        Optional<EndpointConnection> next = firstIdle(requestId);
        while (next.isPresent()) {
            EndpointConnection connection = next.get();
            idle.remove(connection);
            if (connection.reusable(nowMillis) && connection.confirmOpen()) {
                return connection;
            }
            connection.close();
            next = firstIdle(requestId);
        }
        return null;
    }

    private Optional<EndpointConnection> firstIdle(String requestId) {
        return idle.stream()
                .filter(connection -> !connection.carried(requestId))
                .findFirst();
    }

    /** Processes the failure of a connection attempt. */
    void connectFailed(ConnectFailure failure, ConnectionCallback callback) {
        boolean byCap = failure.reset() && resetByCap(true, nowMillis());
        slotFreed();
        if (byCap) {
            refuse(callback);
        } else {
            callback.connectFailed(failure);
        }
    }

    /**
     * Processes a connection that was established. While the endpoint resets surplus connections, the connection is
     * used only after a moment, so that no request is written to a connection that is about to be reset.
     */
    void connected(EndpointConnection connection, ConnectionCallback callback) {
        if (!cap().limited() || !share.resetRecently(nowMillis())) {
            callback.connected(connection);
            return;
        }
        connections.schedule(SETTLE_MILLIS, () -> {
            if (connection.confirmOpen()) {
                callback.connected(connection);
            } else {
                refuse(callback);
            }
        });
    }

    /** Processes a reset of a connection by the endpoint, and tells whether the cap on connections explains it. */
    boolean resetByCap(boolean newConnection, long establishedAtMillis) {
        long nowMillis = nowMillis();
        ConnectionCap cap = cap();
        if (!new ConnectionReset(newConnection, nowMillis - establishedAtMillis, share.held()).byCap(cap)) {
            return false;
        }
        connections.countResetByCap();
        share.reset(cap, nowMillis);
        return true;
    }

    /** Records that the endpoint has sent bytes on a new connection, which it has therefore accepted. */
    void accepted() {
        share.accepted();
    }

    /** Records that a connection was closed or could not be established, and starts a waiting request. */
    void slotFreed() {
        share.closed();
        if (!waiting.isEmpty() && share.tryOpen(cap(), nowMillis())) {
            connections.connect(this, waiting.removeFirst().callback());
        }
    }

    private ConnectionCap cap() {
        return connections.cap(endpoint.service());
    }

    private boolean mayReuse(boolean retryable, long nowMillis) {
        EndpointConnection newest = idle.peekFirst();
        if (newest == null) {
            return false;
        }
        long unprovenMillis = nowMillis - (retryable ? health.bytesReceivedAtMillis() : newest.usedAtMillis());
        return unprovenMillis <= (retryable ? RETRYABLE_REUSE_MILLIS : NON_RETRYABLE_REUSE_MILLIS)
                && suspension.mayReuse(retryable, nowMillis);
    }

    /**
     * Passes an idle connection to a waiting request, or returns it to the pool. Closes it if the pool is full or
     * retired, if its reuse is suspended, if the first waiting request needs a new one, or if this router holds more
     * connections than it may.
     */
    void release(EndpointConnection connection) {
        long nowMillis = nowMillis();
        WaitingRequest first = waiting.peekFirst();
        boolean wanted = first == null || first.mayUse(connection, suspension, nowMillis);
        boolean usable = connection.open() && !suspension.suspended(nowMillis) && wanted;
        if (!usable || connections.retired(endpoint.id()) || share.surplus(cap(), nowMillis) > 0) {
            connection.close();
            return;
        }
        WaitingRequest next = waiting.pollFirst();
        if (next != null) {
            connections.countReused();
            next.callback().connected(connection);
        } else if (idle.size() >= MAX_IDLE) {
            connection.close();
        } else {
            idle.addFirst(connection);
        }
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
        for (int surplus = share.surplus(cap(), nowMillis); surplus > 0 && !idle.isEmpty(); surplus--) {
            idle.removeLast().close();
        }
    }

    void headReceived(ResponseHead head) {
        connections.headReceived(endpoint, head);
    }

    /** Records bytes that belong to no response, and suspends the reuse of connections. */
    void unsolicited(ArrivalPhase phase, ConnectionUse use, String detail) {
        suspendReuse();
        connections.monitor().unsolicited(endpoint.id(), phase, use.text(), detail, nowMillis());
    }

    void unmatchedResponse(ConnectionUse use, String expectedId, ResponseHead head) {
        connections.countUnmatchedResponse();
        unsolicited(
                ArrivalPhase.BEFORE_RESPONSE,
                use,
                "a response to request " + ConnectionUse.abbreviated(head.requestId()) + " while " + expectedId
                        + " was in flight");
    }

    /** Records a head that is not taken for the head of the response to a request. */
    void headRejected(String reason, ConnectionUse use, String requestId) {
        if (use.reused()) {
            suspendReuse(); // most likely the beginning of a late response
        }
        connections.monitor().headRejected(endpoint.id(), reason, use.text(), requestId, nowMillis());
    }
}
