package org.radishpass.router.internal.traffic;

import java.time.Clock;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.radishpass.core.fleet.Endpoint;
import org.radishpass.core.outcome.Refusal;
import org.radishpass.core.outcome.RefusalCode;
import org.radishpass.core.outcome.Verdict;
import org.radishpass.core.retry.RetryBudget;
import org.radishpass.router.internal.endpoint.AttemptFailure;

/**
 * Tracks the attempts of one request and decides whether the request may be retried.
 *
 * <p>Not thread-safe: the steps of the request must not overlap.
 *
 * @since 0.1.0
 */
public final class Retries {
    private static final int MAX_ATTEMPTS = 4;

    private final Set<String> failedEndpointIds = new HashSet<>();
    private final CallerRequest request;
    private final boolean idempotent;
    private final RetryBudget budget;
    private final PassiveHealth health;
    private final Clock clock;
    private Verdict verdict = Verdict.NOT_RUN;
    private int attempts;

    private Retries(CallerRequest request, boolean idempotent, RetryBudget budget, PassiveHealth health, Clock clock) {
        this.request = request;
        this.idempotent = idempotent;
        this.budget = budget;
        this.health = health;
        this.clock = clock;
    }

    /** Counts a new attempt and returns its number, from 1. */
    public int nextAttemptNumber() {
        attempts++;
        if (attempts == 1) {
            budget.firstAttempt();
        }
        return attempts;
    }

    /** Returns the ids of the endpoints at which an attempt has failed. */
    public Set<String> failedEndpointIds() {
        return failedEndpointIds;
    }

    /**
     * Records a failed attempt and returns normally if the request may be retried.
     *
     * @param endpoint the endpoint of the failed attempt
     * @param failure the failure
     * @throws RefusedException if no retry is allowed; its verdict combines the verdicts of all attempts
     */
    public void onFailure(Endpoint endpoint, AttemptFailure failure) {
        failedEndpointIds.add(endpoint.id());
        health.recordFailure(endpoint.id());
        verdict = verdict.combinedWith(failure.verdict());
        boolean timeLeft = clock.instant().isBefore(request.deadline());
        if (!failure.verdict().allowsRetry(idempotent) || attempts >= MAX_ATTEMPTS || !timeLeft) {
            throw refusal(failure);
        }
        if (!budget.tryRetry()) {
            throw refusal(new AttemptFailure(verdict, failure.getMessage() + "; the retry budget is spent"));
        }
    }

    /**
     * Returns the refusal for a request whose next placement was refused. Its verdict also covers the earlier attempts.
     *
     * @param refused the refusal of the placement
     */
    public RefusedException withAttemptsVerdict(RefusedException refused) {
        Refusal placementRefusal = refused.refusal();
        return new RefusedException(new Refusal(
                placementRefusal.code(), verdict.combinedWith(placementRefusal.verdict()), placementRefusal.detail()));
    }

    private RefusedException refusal(AttemptFailure failure) {
        return new RefusedException(
                new Refusal(RefusalCode.ENDPOINT_FAILED, verdict, String.valueOf(failure.getMessage())));
    }

    /**
     * Creates the retry state of requests and keeps one retry budget per workspace.
     *
     * @since 0.1.0
     */
    public static final class Factory {
        private static final int MAX_SAVED_RETRIES = 20;

        private final ConcurrentHashMap<String, RetryBudget> budgets = new ConcurrentHashMap<>();
        private final PassiveHealth health;
        private final Clock clock;

        /**
         * Creates a factory.
         *
         * @param health records the failures at endpoints
         * @param clock the source of the current time
         */
        public Factory(PassiveHealth health, Clock clock) {
            this.health = health;
            this.clock = clock;
        }

        /**
         * Creates the retry state of a request.
         *
         * @param request the request
         * @param idempotent whether the request may safely run more than once
         */
        public Retries create(CallerRequest request, boolean idempotent) {
            RetryBudget budget = budgets.computeIfAbsent(
                    request.workspace().name(),
                    name -> new RetryBudget(request.snapshot().configuration().retryRatio(), MAX_SAVED_RETRIES));
            return new Retries(request, idempotent, budget, health, clock);
        }
    }
}
