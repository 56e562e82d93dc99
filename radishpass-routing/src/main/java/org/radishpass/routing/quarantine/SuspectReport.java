package org.radishpass.routing.quarantine;

import java.util.List;

/**
 * A report of one router to others about features of requests that may crash endpoints. Reports may be lost, duplicated or
 * reordered. The result of merging several reports does not depend on their order, except for those that were
 * cleared in the meantime.
 *
 * @param suspects the suspects
 * @param cleared the features of requests that were answered, which are therefore harmless
 * @since 0.5.0
 */
public record SuspectReport(List<Suspect> suspects, List<CrashCause> cleared) {
    /** Creates a report with copies of both lists. */
    public SuspectReport {
        suspects = List.copyOf(suspects);
        cleared = List.copyOf(cleared);
    }

    /** Tells whether the report contains neither suspects nor cleared features. */
    public boolean isEmpty() {
        return suspects.isEmpty() && cleared.isEmpty();
    }

    /** Returns this report with all ages increased by a time in milliseconds. */
    public SuspectReport aged(long millis) {
        return new SuspectReport(
                suspects.stream().map(suspect -> suspect.aged(millis)).toList(), cleared);
    }
}
