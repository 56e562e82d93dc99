package org.radishpass.core.once;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * The tickets that this incarnation of a router has issued, and the run that belongs to each of them.
 *
 * <p>The ledger follows these rules. A ticket has at most one run at a time. A ticket whose request may have run is
 * never run again. A ticket whose entry has expired counts as one whose request may have run. A ticket that was never
 * issued counts as one whose request did not run.
 *
 * <p>Thread-safe. Each method holds the lock only briefly.
 *
 * @param <R> the type of a run, from which callers get its result
 * @since 0.1.0
 */
public final class TicketLedger<R> {
    /** How long the ledger keeps a ticket after it was issued. */
    public static final Duration TICKET_LIFETIME = Duration.ofMinutes(10);

    private static final int MAX_TICKETS = 50_000;

    private final LinkedHashMap<Long, Entry<R>> entries = new LinkedHashMap<>();
    private final Map<String, Integer> unexpiredByWorkspace = new HashMap<>();
    private final int maxPerWorkspace;
    private long lastNumber;

    /**
     * Creates an empty ledger.
     *
     * @param maxPerWorkspace the maximum number of unexpired tickets that a workspace may have
     */
    public TicketLedger(int maxPerWorkspace) {
        this.maxPerWorkspace = maxPerWorkspace;
    }

    /**
     * Issues a ticket.
     *
     * @param workspace the only workspace that may use the ticket
     * @param now the current time by this process's clock
     * @return the number of the ticket, or -1 if the workspace or the whole ledger has reached its limit of unexpired
     *     tickets
     */
    public synchronized long issue(String workspace, Instant now) {
        removeExpired(now);
        if (entries.size() >= MAX_TICKETS || unexpiredByWorkspace.getOrDefault(workspace, 0) >= maxPerWorkspace) {
            return -1;
        }
        lastNumber++;
        entries.put(lastNumber, new Entry<>(workspace, now.plus(TICKET_LIFETIME)));
        unexpiredByWorkspace.merge(workspace, 1, Integer::sum);
        return lastNumber;
    }

    /**
     * Decides what a request that presents a ticket may do. If the request may run, the given run is recorded for the
     * ticket.
     *
     * @param number the number of the ticket
     * @param workspace the workspace that sent the request
     * @param requestHash the hash of the request
     * @param run the run that begins if the request may run
     * @param now the current time by this process's clock
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
        R earlierRun = entry.run;
        if (earlierRun != null) {
            return requestHash.equals(entry.requestHash)
                    ? new TicketDecision.Join<>(earlierRun)
                    : new TicketDecision.Reused<>();
        }
        entry.requestHash = requestHash;
        entry.run = run;
        return new TicketDecision.Begin<>();
    }

    /**
     * Removes the run of a ticket whose request provably did not run, so that the ticket may be used again.
     *
     * @param number the number of the ticket
     */
    public synchronized void markNotRun(long number) {
        Entry<R> entry = entries.get(number);
        if (entry != null) {
            entry.run = null;
        }
    }

    private void removeExpired(Instant now) {
        Iterator<Entry<R>> iterator = entries.values().iterator();
        while (iterator.hasNext()) {
            Entry<R> entry = iterator.next();
            if (entry.deadline.isAfter(now)) {
                return;
            }
            unexpiredByWorkspace.merge(entry.workspace, -1, Integer::sum);
            iterator.remove();
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
