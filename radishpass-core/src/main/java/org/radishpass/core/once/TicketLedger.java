package org.radishpass.core.once;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * The tickets that this start of a router has given out, and what became of each.
 *
 * <p>Its rules: a ticket runs at most once at a time; once it may have run it never runs again; what has been forgotten
 * counts as one that may have run; what was never given out did not run.
 *
 * <p>Safe for threads: each step takes the lock for a few instructions.
 *
 * @param <R> the result of a run
 * @since 0.1.0
 */
public final class TicketLedger<R> {
    /** How long a ticket is remembered after it was given out. */
    public static final Duration TICKET_LIFETIME = Duration.ofMinutes(10);

    private static final int MAX_TICKETS = 50_000;

    private final LinkedHashMap<Long, Entry<R>> entries = new LinkedHashMap<>();
    private final Map<String, Integer> openByWorkspace = new HashMap<>();
    private final int maxPerWorkspace;
    private long lastNumber;

    /**
     * Creates an empty ledger.
     *
     * @param mostByWorkspace the most tickets that a workspace may have open
     */
    public TicketLedger(int mostByWorkspace) {
        this.maxPerWorkspace = mostByWorkspace;
    }

    /**
     * Gives a ticket out.
     *
     * @param workspace the workspace that alone may use it
     * @param now the time by this process's clock
     * @return its number, or -1 if the workspace has too many open
     */
    public synchronized long issue(String workspace, Instant now) {
        removeExpired(now);
        if (entries.size() >= MAX_TICKETS || openByWorkspace.getOrDefault(workspace, 0) >= maxPerWorkspace) {
            return -1;
        }
        lastNumber++;
        entries.put(lastNumber, new Entry<>(workspace, now.plus(TICKET_LIFETIME)));
        openByWorkspace.merge(workspace, 1, Integer::sum);
        return lastNumber;
    }

    /**
     * Decides what a request with a ticket may do. If it may run, the run given counts as begun.
     *
     * @param number the ticket's number
     * @param workspace the workspace that asks
     * @param requestHash the hash of what it asks
     * @param run the run that begins if it may
     * @param now the time by this process's clock
     */
    public synchronized TicketDecision<R> redeem(
            long number, String workspace, String requestHash, R run, Instant now) {
        removeExpired(now);
        if (number < 1 || number > lastNumber) {
            return new TicketDecision.NeverIssued<>();
        }
        Entry<R> entry = entries.get(number);
        if (entry == null) {
            return new TicketDecision.Forgotten<>();
        }
        if (!entry.workspace.equals(workspace)) {
            return new TicketDecision.NeverIssued<>();
        }
        R begun = entry.run;
        if (begun != null) {
            return requestHash.equals(entry.requestHash)
                    ? new TicketDecision.Join<>(begun)
                    : new TicketDecision.Reused<>();
        }
        entry.requestHash = requestHash;
        entry.run = run;
        return new TicketDecision.Begin<>();
    }

    /**
     * Takes back a run that provably did not run, so that its ticket may be used again.
     *
     * @param number the ticket's number
     */
    public synchronized void notRun(long number) {
        Entry<R> entry = entries.get(number);
        if (entry != null) {
            entry.run = null;
        }
    }

    private void removeExpired(Instant now) {
        Iterator<Entry<R>> each = entries.values().iterator();
        while (each.hasNext()) {
            Entry<R> entry = each.next();
            if (entry.deadline.isAfter(now)) {
                return;
            }
            openByWorkspace.merge(entry.workspace, -1, Integer::sum);
            each.remove();
        }
    }

    private static final class Entry<R> {
        private final String workspace;
        private final Instant deadline;
        private @Nullable String requestHash;
        private @Nullable R run;

        private Entry(String workspace, Instant deadline) {
            this.workspace = workspace;
            this.deadline = deadline;
        }
    }
}
