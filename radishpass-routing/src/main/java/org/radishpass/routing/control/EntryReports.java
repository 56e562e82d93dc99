package org.radishpass.routing.control;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Determines which unusable entries of a list are to be reported after each read: each when it first appears and when its
 * fault changes. A limited number of entries is followed, so that a faulty writer cannot fill the log. Not thread-safe.
 *
 * @since 0.12.0
 */
public final class EntryReports {
    /** Maximum number of entries that are reported one by one. */
    public static final int MAX_REPORTED_ENTRIES = 100;

    private final Map<String, EntryFault> reported = new HashMap<>();
    private boolean limitExceeded;

    /**
     * Compares the unusable entries of a read with those of the previous read.
     *
     * @param entries the unusable entries of the read
     * @return the changes to report
     */
    public Changes update(Collection<UnusableEntry> entries) {
        Map<String, EntryFault> before = new HashMap<>(reported);
        reported.clear();
        List<UnusableEntry> toReport = new ArrayList<>();
        boolean exceeded = false;
        for (UnusableEntry entry : entries) {
            if (reported.size() >= MAX_REPORTED_ENTRIES && !reported.containsKey(entry.name())) {
                exceeded = true;
                continue;
            }
            if (reported.put(entry.name(), entry.fault()) == null && before.get(entry.name()) != entry.fault()) {
                toReport.add(entry);
            }
        }
        boolean newlyExceeded = exceeded && !limitExceeded;
        limitExceeded = exceeded;
        List<String> mended = before.keySet().stream()
                .filter(name -> !reported.containsKey(name))
                .toList();
        return new Changes(toReport, mended, newlyExceeded);
    }

    /**
     * The changes between two reads.
     *
     * @param appeared the entries that have become unusable, or whose fault is another
     * @param mended the names of reported entries that were removed, are usable again, or are no longer followed
     * @param limitExceeded whether there are more entries than are reported one by one, for the first time
     */
    public record Changes(List<UnusableEntry> appeared, List<String> mended, boolean limitExceeded) {}
}
