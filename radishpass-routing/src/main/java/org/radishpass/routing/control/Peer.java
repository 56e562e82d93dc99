package org.radishpass.routing.control;

import org.radishpass.core.fleet.Vm;
import org.radishpass.peer.message.RoutingMessage;
import org.radishpass.routing.fleet.FleetRouter;

/**
 * What is known of one other router. Times are on the monotonic clock in milliseconds; {@link #NEVER} where something has
 * not happened. Belongs to the control thread.
 */
final class Peer {
    static final long NEVER = Long.MIN_VALUE / 2;

    /** Milliseconds without an answer after which a peer is suspected to be gone: seven messages. */
    static final long SILENT_MILLIS = 1_500;

    /** Milliseconds for which a peer's last message tells what it does: the same seven messages. */
    static final long PRESENT_MILLIS = SILENT_MILLIS;

    /** Milliseconds until a suspected peer is tried again; doubles with each try. */
    private static final long FIRST_PROBE_MILLIS = 1_000;

    /** The longest such pause in milliseconds; registrations of routers that are gone for good cost little then. */
    private static final long LONGEST_PROBE_MILLIS = 8_000;

    private FleetRouter router;
    private long heardAtMillis = NEVER;
    private long mentionedAtMillis;
    private long ledAtMillis = NEVER;
    private long memberAtMillis = NEVER;
    private long askedAtMillis = NEVER;
    private ListReading listReading = ListReading.NONE;
    private long ownReadStoreMillis = StoreClock.NEVER;
    private long suspectedAtMillis = NEVER;
    private long probeAtMillis = NEVER;
    private long probePauseMillis = FIRST_PROBE_MILLIS;
    private boolean suspected;

    Peer(FleetRouter router, long nowMillis) {
        this.router = router;
        this.mentionedAtMillis = nowMillis;
    }

    FleetRouter router() {
        return router;
    }

    String id() {
        return router.id();
    }

    Vm vm() {
        return new Vm(id(), router.dataCentre(), router.address(), false);
    }

    /** Takes what somebody says of it; what is known is not forgotten. */
    void mentioned(FleetRouter said, long nowMillis) {
        mentionedAtMillis = nowMillis;
        if (said.located()) {
            router = said;
        }
    }

    /** Notes a message of its work, with the reading that its list rests on; returns whether it was suspected until now. */
    boolean told(RoutingMessage.RoutingState state, ListReading reading, long nowMillis) {
        listReading = reading;
        ownReadStoreMillis = state.ownReadMillis();
        if (state.scope().leads()) {
            ledAtMillis = nowMillis;
        } else {
            memberAtMillis = nowMillis;
        }
        return heard(nowMillis);
    }

    /** Notes any sign of life; returns whether it was suspected until now. */
    boolean heard(long nowMillis) {
        boolean news = suspected;
        heardAtMillis = nowMillis;
        mentionedAtMillis = nowMillis;
        askedAtMillis = NEVER;
        suspected = false;
        probePauseMillis = FIRST_PROBE_MILLIS;
        return news;
    }

    /** Notes that something was sent to which it answers if it lives. */
    void asked(long nowMillis) {
        if (askedAtMillis == NEVER) {
            askedAtMillis = nowMillis;
        }
    }

    /** Notes that it cannot be reached; returns whether that is news. */
    boolean suspect(long nowMillis) {
        boolean news = !suspected;
        suspected = true;
        askedAtMillis = NEVER;
        suspectedAtMillis = nowMillis;
        probeAtMillis = nowMillis + probePauseMillis;
        probePauseMillis = Math.min(LONGEST_PROBE_MILLIS, 2 * probePauseMillis);
        return news;
    }

    boolean suspected() {
        return suspected;
    }

    /** Tells whether it has owed an answer for too long. */
    boolean silent(long nowMillis) {
        return askedAtMillis != NEVER && nowMillis - askedAtMillis > SILENT_MILLIS;
    }

    /**
     * Tries it soon if it is suspected, since there are signs that a cut has ended; at most once in {@link #FIRST_PROBE_MILLIS}. By the
     * pauses alone two sides of a cut heard nothing of each other for up to 8 s after it.
     */
    void probeSoon(long nowMillis) {
        probeAtMillis = Math.min(probeAtMillis, Math.max(nowMillis, suspectedAtMillis + FIRST_PROBE_MILLIS));
    }

    /** Tells whether it is to be tried now, although it is suspected. */
    boolean probeDue(long nowMillis) {
        return suspected && nowMillis >= probeAtMillis;
    }

    /** Tells whether it spoke for a group lately. */
    boolean leads(long nowMillis) {
        return nowMillis - ledAtMillis <= PRESENT_MILLIS;
    }

    /** Tells whether it told its own work lately, for this router to gather. */
    boolean member(long nowMillis) {
        return nowMillis - memberAtMillis <= PRESENT_MILLIS;
    }

    /** Returns when it was seen last, by itself or in what others told. */
    long mentionedAtMillis() {
        return mentionedAtMillis;
    }

    /** Returns when it was heard itself. */
    long heardAtMillis() {
        return heardAtMillis;
    }

    /** Returns the reading that its list of endpoints rests on. */
    ListReading listReading() {
        return listReading;
    }

    /** Returns when it read the store itself, on the store's clock in milliseconds. */
    long ownReadStoreMillis() {
        return ownReadStoreMillis;
    }
}
