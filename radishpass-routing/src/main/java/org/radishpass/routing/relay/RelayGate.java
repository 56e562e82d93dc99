package org.radishpass.routing.relay;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.Locale;
import java.util.Optional;

/**
 * Admits the requests that other routers relay to this one, bounded in number and in bytes. Confined to the traffic
 * thread.
 */
final class RelayGate {
    /** The maximum number of relayed requests in progress; about the load of a second router at its busiest. */
    static final int MAX_REQUESTS = 512;

    /** The maximum size of the bodies of relayed requests in progress, in bytes: a tenth of a router's memory. */
    static final long MAX_BODY_BYTES = 32L * 1_024 * 1_024;

    private final RelayPeers peers;
    private final MeterRegistry metrics;
    private final Counter accepted;
    private int requests;
    private long bodyBytes;

    RelayGate(RelayPeers peers, MeterRegistry metrics) {
        this.peers = peers;
        this.metrics = metrics;
        this.accepted = Counter.builder("radishpass.relay.accepted")
                .description("requests that other routers relayed to this one and that were accepted")
                .register(metrics);
        for (Rejection reason : Rejection.values()) {
            rejections(reason);
        }
        Gauge.builder("radishpass.relay.serving", this, gate -> gate.requests)
                .description("requests in progress that other routers relayed to this one")
                .register(metrics);
    }

    /** Tells whether a host is that of a known router. */
    boolean listed(String host) {
        return peers.knownHost(host);
    }

    /**
     * Reserves room for a request.
     *
     * @param bytes the size of its body
     * @return the reservation, or nothing if there is no room
     */
    Optional<Reservation> reserve(long bytes) {
        if (requests >= MAX_REQUESTS || bodyBytes + bytes > MAX_BODY_BYTES) {
            return Optional.empty();
        }
        requests++;
        bodyBytes += bytes;
        accepted.increment();
        return Optional.of(new Reservation(bytes));
    }

    void rejected(Rejection reason) {
        rejections(reason).increment();
    }

    private Counter rejections(Rejection reason) {
        return Counter.builder("radishpass.relay.rejected")
                .tag("reason", reason.name().toLowerCase(Locale.ROOT).replace('_', '-'))
                .description("requests on the port for other routers that were rejected before they were read")
                .register(metrics);
    }

    /** Why a request on the port for other routers is rejected. */
    enum Rejection {
        /** The sender is not a known router. */
        UNKNOWN_SENDER,
        /** A header is missing or cannot be read. */
        MALFORMED,
        /** Too many relayed requests, or too many bytes, are in progress. */
        NO_ROOM
    }

    /** The room that one request takes until it ends. */
    final class Reservation {
        private final long bytes;
        private boolean released;

        private Reservation(long bytes) {
            this.bytes = bytes;
        }

        void release() {
            if (!released) {
                released = true;
                requests--;
                bodyBytes -= bytes;
            }
        }
    }
}
