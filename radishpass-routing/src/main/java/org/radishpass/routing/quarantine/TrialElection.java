package org.radishpass.routing.quarantine;

import java.util.function.LongPredicate;
import org.radishpass.core.placement.Rendezvous;

/**
 * Elects the router that may make the trial of a quarantined part of a prompt, since requests with the part arrive at many
 * routers at once. The election is repeated at intervals, so that a router that receives no such request does not
 * prevent the trial.
 */
final class TrialElection {
    /** The time for which a router is elected, in milliseconds; longer than a response takes. */
    private static final long TERM_MILLIS = 60_000;

    /**
     * The time at the beginning of each later term in which no trial is made, in milliseconds: routers learn of a crash up
     * to a second apart, and so do not begin a term at the same time.
     */
    private static final long TERM_MARGIN_MILLIS = 2_000;

    private LongPredicate elected = trial -> true;

    /** Sets what tells whether this router is elected, given the hash of a trial. */
    void elected(LongPredicate newElected) {
        elected = newElected;
    }

    /** Tells whether this router may make the trial of a feature whose quarantine is over. */
    boolean mayTry(CrashHistory history, long nowMillis) {
        if (!(history.cause() instanceof PromptPartFingerprint part)) {
            return true;
        }
        long sinceEndMillis = nowMillis - history.quarantinedUntilMillis();
        long term = sinceEndMillis / TERM_MILLIS;
        boolean settled = term == 0 || sinceEndMillis % TERM_MILLIS >= TERM_MARGIN_MILLIS;
        return settled && elected.test(Rendezvous.mix(part.part(), term));
    }
}
