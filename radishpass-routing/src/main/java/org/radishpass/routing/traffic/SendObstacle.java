package org.radishpass.routing.traffic;

import java.util.Arrays;
import java.util.Optional;
import org.radishpass.routing.fleet.ServiceEndpoint;

/**
 * A reason why a request is not sent although its endpoint has a connection for it. Time has passed since the endpoint was
 * chosen, so that each is checked again before the request is written. The first one that applies decides.
 */
enum SendObstacle {
    /** Nobody waits for the response. */
    CALLER_DISCONNECTED {
        @Override
        boolean appliesTo(Candidate candidate) {
            return candidate.caller.hasDisconnected();
        }

        @Override
        void resolve(Exchange exchange) {
            exchange.callerDisconnected();
        }
    },
    /** The deadline of the request has passed. */
    DEADLINE_PASSED {
        @Override
        boolean appliesTo(Candidate candidate) {
            return candidate.terms.remainingMillis(candidate.context.nowMillis()) <= 0;
        }

        @Override
        void resolve(Exchange exchange) {
            exchange.deadlineExpired();
        }
    },
    /** The request may outlast this router, which stops. */
    ROUTER_STOPPING {
        @Override
        boolean appliesTo(Candidate candidate) {
            return !candidate.context.gracefulStop().accepts(candidate.record);
        }

        @Override
        void resolve(Exchange exchange) {
            exchange.placeAndAttempt();
        }
    },
    /** The request, or a part of its prompt, has been quarantined meanwhile. */
    QUARANTINED {
        @Override
        boolean appliesTo(Candidate candidate) {
            return !candidate.quarantineGuard.admitted();
        }

        @Override
        void resolve(Exchange exchange) {
            exchange.placeAndAttempt();
        }
    },
    /** The endpoint has begun to leave, or is not eligible any more for another reason. */
    ENDPOINT_NOT_ELIGIBLE {
        @Override
        boolean appliesTo(Candidate candidate) {
            return !candidate.context.placer().stillEligible(candidate.terms, candidate.endpoint);
        }

        @Override
        void resolve(Exchange exchange) {
            exchange.attemptWithdrawn("the endpoint accepts no new requests");
        }
    },
    /** The request has been sent before, and the retry budget allows no further send. */
    RETRY_DENIED {
        @Override
        boolean appliesTo(Candidate candidate) {
            return !candidate.retryGuard.maySend(candidate.terms);
        }

        @Override
        void resolve(Exchange exchange) {
            exchange.retryDenied();
        }
    };

    /** Returns the first reason that applies; empty if the request may be sent. */
    static Optional<SendObstacle> first(Candidate candidate) {
        return Arrays.stream(values())
                .filter(obstacle -> obstacle.appliesTo(candidate))
                .findFirst();
    }

    abstract boolean appliesTo(Candidate candidate);

    /** Continues or ends the request, whose attempt has been withdrawn. */
    abstract void resolve(Exchange exchange);

    /**
     * A request that is about to be sent.
     *
     * @param context the shared state of the traffic event loop
     * @param caller the connection of the caller
     * @param record the log record of the request
     * @param terms the terms of the request
     * @param quarantineGuard tells whether the request is quarantined
     * @param retryGuard tells whether the request may be sent again
     * @param endpoint the endpoint that it is about to be sent to
     */
    record Candidate(
            TrafficContext context,
            CallerConnection caller,
            ExchangeRecord record,
            RequestTerms terms,
            QuarantineGuard quarantineGuard,
            RetryGuard retryGuard,
            ServiceEndpoint endpoint) {}
}
