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
 * The attempts at one request: how many there were, where, and whether there may be another.
 *
 * <p>Used by one request at a time; its steps follow one another.
 *
 * @since 0.1.0
 */
public final class Retries {
    private static final int MOST_ATTEMPTS = 4;

    private final Set<String> failedAt = new HashSet<>();
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

    /** Returns the number of the next attempt, counting it. */
    public int next() {
        attempts++;
        if (attempts == 1) {
            budget.firstAttempt();
        }
        return attempts;
    }

    /** Returns the endpoints where an attempt has failed. */
    public Set<String> failedAt() {
        return failedAt;
    }

    /**
     * Takes a failed attempt and decides whether there may be another.
     *
     * @param endpoint where it failed
     * @param failure how
     * @throws RefusedException if there may be no other; it says what is true of all attempts
     */
    public void failed(Endpoint endpoint, AttemptFailure failure) {
        failedAt.add(endpoint.id());
        health.failed(endpoint.id());
        verdict = verdict.and(failure.verdict());
        boolean timeLeft = clock.instant().isBefore(request.deadline());
        if (!failure.verdict().allowsRetry(idempotent) || attempts >= MOST_ATTEMPTS || !timeLeft) {
            throw refusal(failure);
        }
        if (!budget.tryRetry()) {
            throw refusal(new AttemptFailure(verdict, failure.getMessage() + "; the retry budget is spent"));
        }
    }

    /**
     * Returns what is true of a request whose next placement was refused.
     *
     * @param refused the refusal of the placement
     */
    public RefusedException afterPlacement(RefusedException refused) {
        Refusal last = refused.refusal();
        return new RefusedException(new Refusal(last.code(), verdict.and(last.verdict()), last.detail()));
    }

    private RefusedException refusal(AttemptFailure failure) {
        return new RefusedException(
                new Refusal(RefusalCode.ENDPOINT_FAILED, verdict, String.valueOf(failure.getMessage())));
    }

    /**
     * Makes the retries of requests, with a budget for each workspace.
     *
     * @since 0.1.0
     */
    public static final class Source {
        private static final int MOST_SAVED = 20;

        private final ConcurrentHashMap<String, RetryBudget> budgets = new ConcurrentHashMap<>();
        private final PassiveHealth health;
        private final Clock clock;

        /**
         * Creates a source.
         *
         * @param health learns of failures
         * @param clock tells the time
         */
        public Source(PassiveHealth health, Clock clock) {
            this.health = health;
            this.clock = clock;
        }

        /**
         * Returns the retries of a request.
         *
         * @param request the request
         * @param idempotent whether running it twice does no harm
         */
        public Retries of(CallerRequest request, boolean idempotent) {
            RetryBudget budget = budgets.computeIfAbsent(
                    request.workspace().name(),
                    name -> new RetryBudget(request.snapshot().configuration().retryRatio(), MOST_SAVED));
            return new Retries(request, idempotent, budget, health, clock);
        }
    }
}
