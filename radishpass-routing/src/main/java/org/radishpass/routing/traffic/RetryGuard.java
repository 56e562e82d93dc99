package org.radishpass.routing.traffic;

import org.jspecify.annotations.Nullable;
import org.radishpass.routing.retry.RetryDecision;

/**
 * Decides whether one request may be sent, and issues the permission for each send. The first send needs no retry; each
 * further one is taken from the retry budget.
 */
final class RetryGuard {
    private final TrafficContext context;
    private final ExchangeRecord record;
    private final SendHistory history;
    private @Nullable SendPermit unused = new SendPermit();

    RetryGuard(TrafficContext context, ExchangeRecord record, SendHistory history) {
        this.context = context;
        this.record = record;
        this.history = history;
    }

    /**
     * Tells whether a request that has not run, or may run again, may be sent once more. If so, that counts against the
     * retries that all routers share.
     */
    boolean mayRetry(RequestTerms terms) {
        return history.maySendAgain(terms.maxAttempts())
                && terms.remainingMillis(context.nowMillis()) > 0
                && context.gracefulStop().accepts(record)
                && spend(terms.service());
    }

    /** Tells whether the request may be sent now, for the first time or again. */
    boolean maySend(RequestTerms terms) {
        return unused != null || mayRetry(terms);
    }

    /**
     * Returns the permission for the next send.
     *
     * @throws IllegalStateException if the request may not be sent, see {@link #maySend}
     */
    SendPermit take() {
        SendPermit permit = unused;
        if (permit == null) {
            throw new IllegalStateException("request " + record.requestId() + " must not be sent again");
        }
        unused = null;
        return permit;
    }

    /** Permits another send in place of one that has reached no endpoint. */
    void reachedNoEndpoint() {
        unused = new SendPermit();
    }

    private boolean spend(String service) {
        if (unused != null) {
            return true;
        }
        RetryDecision decision = context.trySpendRetry(service);
        record.retryDecided(decision);
        if (decision.granted()) {
            unused = new SendPermit();
        }
        return decision.granted();
    }

    /**
     * Tells whether a request whose response broke off may be sent once more. If so, that counts against the retries that
     * all routers share.
     *
     * @param terms the terms of the request
     * @param relay the response to the caller, as far as it was sent
     * @param quarantineGuard tells whether the request may crash another endpoint
     */
    boolean mayRetryAfterRun(RequestTerms terms, ResponseRelay relay, QuarantineGuard quarantineGuard) {
        return terms.kind().retryableAfterRun()
                && relay.continuable()
                && quarantineGuard.mayBeRetried()
                && mayRetry(terms);
    }
}
