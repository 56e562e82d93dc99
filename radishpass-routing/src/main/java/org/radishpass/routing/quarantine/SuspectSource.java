package org.radishpass.routing.quarantine;

import java.util.List;
import java.util.function.Consumer;

/**
 * The traffic side as its control side sees it: which requests may end their endpoints. Methods may be called from any thread.
 *
 * @since 0.5.0
 */
public interface SuspectSource {
    /**
     * Takes what another router tells.
     *
     * @param report what it tells
     * @param origin who tells it, for the log
     * @param news takes the part of it that was not known, if there is any; called on the traffic thread
     */
    void suspectsTold(SuspectReport report, String origin, Consumer<SuspectReport> news);

    /**
     * Takes what the store has kept.
     *
     * @param suspects the requests
     */
    void suspectsRestored(List<Suspect> suspects);

    /**
     * Gives all that is believed now.
     *
     * @param taker takes it; called on the traffic thread
     */
    void suspects(Consumer<SuspectReport> taker);

    /**
     * Hears from now on of what this router has found out itself.
     *
     * @param listener hears of it
     */
    void onSuspects(SuspectListener listener);
}
