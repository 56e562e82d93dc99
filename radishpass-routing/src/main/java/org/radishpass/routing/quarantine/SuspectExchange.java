package org.radishpass.routing.quarantine;

import java.util.List;
import java.util.function.Consumer;

/**
 * Interface of the traffic thread to the control thread for exchanging suspects with other routers and with the store.
 * Methods may be called from any thread.
 *
 * @since 0.5.0
 */
public interface SuspectExchange {
    /**
     * Merges the report of another router.
     *
     * @param report the report
     * @param origin the name of the other router, for the log
     * @param news receives the part of the report that was not known, unless empty; called on the traffic thread
     */
    void mergeSuspects(SuspectReport report, String origin, Consumer<SuspectReport> news);

    /**
     * Merges the suspects read from the store.
     *
     * @param suspects the suspects in the store
     */
    void mergeStoredSuspects(List<Suspect> suspects);

    /**
     * Passes a report of all current suspects to a consumer.
     *
     * @param consumer receives the report on the traffic thread
     */
    void suspects(Consumer<SuspectReport> consumer);

    /**
     * Sets the listener that receives what this router finds out itself.
     *
     * @param listener the listener
     */
    void setSuspectListener(SuspectListener listener);
}
