package org.radishpass.routing.connection;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Checks how many connections to one endpoint a router holds, and what a reset by the endpoint changes. */
final class ConnectionShareTest {
    private static final ConnectionCap CAP = new ConnectionCap(730, 69);

    private final ConnectionShare share = new ConnectionShare();
    private long nowMillis = 50_000;

    /** Guards against connections beyond the share, each of which an endpoint at its cap would reset. */
    @Test
    void opensNoMoreConnectionsThanTheShare() {
        assertThat(openAll()).isEqualTo(CAP.share());
        share.closed();
        assertThat(share.tryOpen(CAP, nowMillis)).isTrue();
    }

    /** Guards against a limit where the configuration sets none. */
    @Test
    void doesNotLimitConnectionsWithoutACap() {
        for (int opened = 0; opened < 10_000; opened++) {
            assertThat(share.tryOpen(ConnectionCap.NONE, nowMillis)).isTrue();
        }
    }

    /** Guards against further resets while the queue of the endpoint is long, and against a share that stays small. */
    @Test
    void aResetHalvesTheShareWhichThenGrowsBack() {
        openAll();
        share.reset(CAP, nowMillis);
        share.closed();
        assertThat(share.limit(CAP, nowMillis)).isEqualTo(CAP.share() / 2);
        assertThat(share.surplus(CAP, nowMillis)).isEqualTo(CAP.share() - 1 - CAP.share() / 2);
        assertThat(share.tryOpen(CAP, nowMillis)).isFalse();
        nowMillis += CAP.share() * ConnectionShare.GROWTH_MILLIS;
        assertThat(share.limit(CAP, nowMillis)).isEqualTo(CAP.share());
    }

    /** Guards against requests that are lost one after the other on connections that the endpoint resets at once. */
    @Test
    void pausesIfEvenASingleConnectionIsReset() {
        for (long pauseMillis = ConnectionShare.INITIAL_PAUSE_MILLIS;
                pauseMillis <= ConnectionShare.MAX_PAUSE_MILLIS;
                pauseMillis *= 2) {
            assertThat(share.tryOpen(CAP, nowMillis)).isTrue();
            share.reset(CAP, nowMillis);
            share.closed();
            nowMillis += pauseMillis - 1;
            assertThat(share.tryOpen(CAP, nowMillis)).isFalse();
            nowMillis += 1;
        }
        share.openProbe();
        assertThat(share.held()).isEqualTo(1);
    }

    /** Guards against a long pause for a single reset after the endpoint has accepted connections again. */
    @Test
    void anAcceptedConnectionEndsTheDoublingOfThePause() {
        pausesIfEvenASingleConnectionIsReset();
        share.accepted();
        share.reset(CAP, nowMillis);
        share.closed();
        assertThat(share.paused(nowMillis + ConnectionShare.INITIAL_PAUSE_MILLIS))
                .isFalse();
    }

    /** Guards against counting surplus connections as faults, and faults as surplus connections. */
    @Test
    void attributesToTheCapOnlyResetsThatItExplains() {
        assertThat(new ConnectionReset(true, 3, 2).byCap(CAP)).isTrue();
        assertThat(new ConnectionReset(true, 400, 3).byCap(CAP)).isTrue();
        assertThat(new ConnectionReset(true, 400, 2).byCap(CAP)).isFalse();
        assertThat(new ConnectionReset(false, 3, 5).byCap(CAP)).isFalse();
        assertThat(new ConnectionReset(true, 3, 5).byCap(ConnectionCap.NONE)).isFalse();
    }

    /** Guards against ignoring the faults of an endpoint to which the fleet holds few connections. */
    @Test
    void attributesNoResetToACapThatTheFleetIsFarFrom() {
        assertThat(new ConnectionReset(true, 3, 1).byCap(CAP)).isFalse();
        assertThat(new ConnectionReset(true, 3, 10).byCap(new ConnectionCap(730, 1)))
                .isFalse();
        assertThat(new ConnectionReset(true, 3, 100).byCap(new ConnectionCap(730, 0)))
                .isFalse();
    }

    private int openAll() {
        int opened = 0;
        while (share.tryOpen(CAP, nowMillis)) {
            opened++;
        }
        return opened;
    }
}
