package org.radishpass.routing.control;

import org.radishpass.core.fleet.Vm;
import org.radishpass.core.placement.Rendezvous;
import org.radishpass.peer.message.RoutingMessage;
import org.radishpass.routing.fleet.FleetRouter;

/**
 * Holds what this router knows of one other router. Times are in milliseconds on the monotonic clock, or {@link #NEVER}
 * if the event has not happened. Confined to the control thread.
 */
final class Peer {
    static final long NEVER = Long.MIN_VALUE / 2;

    /** Milliseconds without a reply after which a peer is suspected to be down: seven message intervals. */
    static final long REPLY_TIMEOUT_MILLIS = 1_500;

    /**
     * Milliseconds after its last message for which a peer counts as active, and as a gatherer or member: the same
     * seven intervals.
     */
    static final long ACTIVE_MILLIS = REPLY_TIMEOUT_MILLIS;

    /** Pause in milliseconds until the first probe of a suspected peer. It doubles with each probe. */
    private static final long MIN_PROBE_PAUSE_MILLIS = 1_000;

    /**
     * Longest pause between probes in milliseconds. At this pace, probing registered routers that are gone for good
     * costs little.
     */
    private static final long MAX_PROBE_PAUSE_MILLIS = 8_000;

    private final long hash;
    private FleetRouter router;
    private long lastContactAtMillis = NEVER;
    private long lastMentionedAtMillis;
    private long gathererAtMillis = NEVER;
    private long memberAtMillis = NEVER;
    private long replyExpectedSinceMillis = NEVER;
    private EndpointListVersion listVersion = EndpointListVersion.NONE;
    private long ownReadStoreMillis = StoreClock.UNKNOWN_MILLIS;
    private long suspectedAtMillis = NEVER;
    private long probeAtMillis = NEVER;
    private long probePauseMillis = MIN_PROBE_PAUSE_MILLIS;
    private boolean suspected;

    Peer(FleetRouter router, long nowMillis) {
        this.hash = Rendezvous.hash(router.id());
        this.router = router;
        this.lastMentionedAtMillis = nowMillis;
    }

    FleetRouter router() {
        return router;
    }

    String id() {
        return router.id();
    }

    /** Returns the hash of the id for rendezvous hashing. */
    long hash() {
        return hash;
    }

    Vm vm() {
        return new Vm(id(), router.dataCentre(), router.address(), false);
    }

    /**
     * Records that another router mentioned this peer. An entry without a data centre does not replace one that has a
     * data centre.
     */
    void recordMention(FleetRouter entry, long nowMillis) {
        lastMentionedAtMillis = nowMillis;
        if (entry.located()) {
            router = entry.withMissingFrom(router);
        }
    }

    /**
     * Records a state message of this peer and the store read on which the peer's endpoint list is based. Returns
     * whether the peer was suspected until now.
     */
    boolean recordState(RoutingMessage.RoutingState state, EndpointListVersion newListVersion, long nowMillis) {
        listVersion = newListVersion;
        ownReadStoreMillis = state.ownReadMillis();
        if (state.scope().sentByGatherer()) {
            gathererAtMillis = nowMillis;
        } else {
            memberAtMillis = nowMillis;
        }
        return recordContact(nowMillis);
    }

    /** Records any message of this peer. Returns whether the peer was suspected until now. */
    boolean recordContact(long nowMillis) {
        boolean wasSuspected = suspected;
        lastContactAtMillis = nowMillis;
        lastMentionedAtMillis = nowMillis;
        replyExpectedSinceMillis = NEVER;
        suspected = false;
        probePauseMillis = MIN_PROBE_PAUSE_MILLIS;
        return wasSuspected;
    }

    /** Records that this peer was sent a message that a live peer answers. */
    void expectReply(long nowMillis) {
        if (replyExpectedSinceMillis == NEVER) {
            replyExpectedSinceMillis = nowMillis;
        }
    }

    /**
     * Marks this peer as suspected to be down, and schedules the next probe. Returns whether the peer was not suspected
     * until now.
     */
    boolean markSuspected(long nowMillis) {
        boolean newlySuspected = !suspected;
        suspected = true;
        replyExpectedSinceMillis = NEVER;
        suspectedAtMillis = nowMillis;
        probeAtMillis = nowMillis + probePauseMillis;
        probePauseMillis = Math.min(MAX_PROBE_PAUSE_MILLIS, 2 * probePauseMillis);
        return newlySuspected;
    }

    boolean suspected() {
        return suspected;
    }

    /** Tells whether this peer has not replied in time. */
    boolean replyOverdue(long nowMillis) {
        return replyExpectedSinceMillis != NEVER && nowMillis - replyExpectedSinceMillis > REPLY_TIMEOUT_MILLIS;
    }

    /**
     * Brings the next probe forward because a network partition seems to have ended, but keeps at least {@link
     * #MIN_PROBE_PAUSE_MILLIS} between probes. With the regular pauses alone, the two sides of a partition did not find
     * each other for up to 8 s after its end.
     */
    void probeSoon(long nowMillis) {
        probeAtMillis = Math.min(probeAtMillis, Math.max(nowMillis, suspectedAtMillis + MIN_PROBE_PAUSE_MILLIS));
    }

    /** Tells whether this peer is suspected and its next probe is due. */
    boolean probeDue(long nowMillis) {
        return suspected && nowMillis >= probeAtMillis;
    }

    /** Tells whether this peer has recently reported the work of a group. */
    boolean isGatherer(long nowMillis) {
        return nowMillis - gathererAtMillis <= ACTIVE_MILLIS;
    }

    /** Tells whether this peer has recently reported its own work for this router to gather. */
    boolean isMember(long nowMillis) {
        return nowMillis - memberAtMillis <= ACTIVE_MILLIS;
    }

    /** Returns when this peer last sent a message or was mentioned by another router. */
    long lastMentionedAtMillis() {
        return lastMentionedAtMillis;
    }

    /** Returns when this peer itself last sent a message. */
    long lastContactAtMillis() {
        return lastContactAtMillis;
    }

    /** Returns the store read on which the peer's endpoint list is based. */
    EndpointListVersion listVersion() {
        return listVersion;
    }

    /** Returns when this peer itself last read the store, in milliseconds on the store's clock. */
    long ownReadStoreMillis() {
        return ownReadStoreMillis;
    }
}
