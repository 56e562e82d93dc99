package org.radishpass.routing.traffic;

import java.util.ArrayDeque;
import java.util.Deque;
import org.radishpass.routing.dialect.AnswerHead;
import org.radishpass.routing.dialect.RequestDialect;
import org.radishpass.routing.fleet.ServiceEndpoint;
import org.radishpass.routing.health.EndpointHealth;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The connections to one endpoint. */
final class EndpointPool {
    private static final Logger LOG = LoggerFactory.getLogger(EndpointPool.class);

    /** Idle connections kept for an endpoint: more than one router needs at once in steady traffic. */
    private static final int MOST_IDLE = 24;

    /**
     * Milliseconds since a connection was last used up to which it may carry what cannot be sent again: endpoints may drop
     * idle connections without a word. A new one proves first that the endpoint can be reached; it takes 1 ms, and costs less
     * than a lost request.
     */
    private static final long SURE_MILLIS = 300;

    /** Milliseconds since the endpoint was heard of up to which an idle connection may carry what can be sent again. */
    private static final long LIKELY_MILLIS = 1_000;

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

    void heard() {
        health.heard(nowMillis());
    }

    /**
     * Gives a connection, an idle one if there is one.
     *
     * @param repeatable whether the request may be sent again if the endpoint closes an idle connection meanwhile
     * @param taker takes the connection, or hears that there is none
     */
    void acquire(boolean repeatable, ConnectionTaker taker) {
        long nowMillis = nowMillis();
        if (!mayReuse(repeatable, nowMillis)) {
            connections.connect(this, taker);
            return;
        }
        for (EndpointConnection connection = idle.pollFirst(); connection != null; connection = idle.pollFirst()) {
            if (connection.reusable(nowMillis)) {
                taker.connected(connection);
                return;
            }
            connection.close();
        }
        connections.connect(this, taker);
    }

    private boolean mayReuse(boolean repeatable, long nowMillis) {
        if (repeatable) {
            return nowMillis - health.heardAtMillis() <= LIKELY_MILLIS;
        }
        EndpointConnection newest = idle.peekFirst();
        return newest != null && nowMillis - newest.usedAtMillis() <= SURE_MILLIS;
    }

    /** Opens a connection: it shows that the endpoint can be reached. */
    void open(ConnectionTaker taker) {
        connections.connect(this, taker);
    }

    void idle(EndpointConnection connection) {
        if (idle.size() >= MOST_IDLE || connections.retired(endpoint.id())) {
            connection.close();
            return;
        }
        idle.addFirst(connection);
    }

    void closed(EndpointConnection connection) {
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

    void answered(AnswerHead head) {
        connections.answered(endpoint, head);
    }

    void foreignAnswer(String waitingFor, AnswerHead head) {
        connections.countForeignAnswer();
        LOG.warn(
                "endpoint {} answered request {} where {} was waited for; the answer is dropped",
                endpoint.id(),
                head.requestId(),
                waitingFor);
    }
}
