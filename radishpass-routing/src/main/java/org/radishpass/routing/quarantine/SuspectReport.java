package org.radishpass.routing.quarantine;

import java.util.List;

/**
 * What one router tells others of requests that may end their endpoints. Reports may be lost, come twice or in any order: what is
 * believed after several does not depend on it, but for requests that were cleared meanwhile.
 *
 * @param suspects the requests
 * @param cleared requests that were answered, and so are harmless
 * @since 0.5.0
 */
public record SuspectReport(List<Suspect> suspects, List<RequestFingerprint> cleared) {
    /** Copies both lists. */
    public SuspectReport {
        suspects = List.copyOf(suspects);
        cleared = List.copyOf(cleared);
    }

    /** Tells whether it tells nothing. */
    public boolean isEmpty() {
        return suspects.isEmpty() && cleared.isEmpty();
    }

    /** Returns the same report as it is to be told some time later, in milliseconds. */
    public SuspectReport aged(long millis) {
        return new SuspectReport(
                suspects.stream().map(suspect -> suspect.aged(millis)).toList(), cleared);
    }
}
