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

    /** Milliseconds of idleness up to which a connection may carry what cannot be sent again. */
    private static final long FRESH_MILLIS = 2_000;

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
        while (true) {
            EndpointConnection connection = idle.pollFirst();
            if (connection == null) {
                break;
            }
            boolean usable = connection.reusable(nowMillis);
            if (usable && (repeatable || nowMillis - connection.idleSinceMillis() < FRESH_MILLIS)) {
                taker.connected(connection);
                return;
            }
            connection.close();
        }
        connections.connect(this, taker);
    }

    /** Opens a connection only to see whether the endpoint can be reached, and keeps it for later. */
    void probe(ConnectionTaker taker) {
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

    void foreignAnswer(String waitingFor, AnswerHead head) {
        connections.countForeignAnswer();
        LOG.warn(
                "endpoint {} answered request {} where {} was waited for; the answer is dropped",
                endpoint.id(),
                head.requestId(),
                waitingFor);
    }
}
