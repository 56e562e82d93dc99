package org.radishpass.routing.connection;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.function.IntUnaryOperator;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Checks that all routers together stay within the cap of an endpoint. In the simulated fleets each router holds all
 * connections that it may, and a probe.
 */
final class ConnectionCapTest {
    private static final int STEP_MILLIS = 100;
    private static final int CLEANUP_MILLIS = 500;

    /** Time after which routers know of a router that has started, and that router knows them. */
    private static final int NEWS_MILLIS = 1_000;

    /** Time after which a lost router is forgotten. */
    private static final int FORGOTTEN_MILLIS = 60_000;

    private final List<Router> routers = new ArrayList<>();
    private long nowMillis;

    /** Guards against more connections than the cap in a fleet whose routers all know each other. */
    @ParameterizedTest
    @CsvSource({"69, 730", "69, 470", "134, 989", "134, 893"})
    void theFleetStaysWithinTheCap(int count, int maxConnections) {
        start(count);
        run(10_000, maxConnections, time -> count);
        assertWithMessage("share")
                .that(new ConnectionCap(maxConnections, count).share())
                .isAtLeast(4);
    }

    /** Guards against resets after a loss of power, when all routers start before they know each other. */
    @ParameterizedTest
    @CsvSource({"69, 730", "69, 470", "134, 989", "134, 893"})
    void routersThatAllStartAtOnceStayWithinTheCap(int count, int maxConnections) {
        start(count);
        run(10_000, maxConnections, time -> time < NEWS_MILLIS ? 0 : count);
    }

    /** Guards against resets while a fleet grows: the routers that run must hand over connections in time. */
    @ParameterizedTest
    @CsvSource({"69, 730", "69, 893", "67, 989"})
    void aFleetThatDoublesRouterByRouterStaysWithinTheCap(int count, int maxConnections) {
        start(count);
        run(3_000, maxConnections, time -> count);
        for (int started = 1; started <= count; started++) {
            start(1);
            int total = count + started;
            run(500, maxConnections, time -> total - NEWS_MILLIS / 500);
        }
        run(5_000, maxConnections, time -> 2 * count);
    }

    /** Guards against resets when a lost part of the fleet starts again long after the others have forgotten it. */
    @ParameterizedTest
    @CsvSource({"69, 730", "69, 470", "134, 989", "134, 893"})
    void aPartOfTheFleetThatIsLostForMinutesReturnsWithinTheCap(int count, int maxConnections) {
        start(count);
        run(5_000, maxConnections, time -> count);
        int lost = count / 2;
        routers.subList(0, lost).clear();
        run(3 * FORGOTTEN_MILLIS, maxConnections, time -> time < FORGOTTEN_MILLIS ? count : count - lost);
        start(lost);
        run(5_000, maxConnections, time -> time < NEWS_MILLIS ? count - lost : count);
    }

    /** Guards against routers on both sides of a partition that take over each other's shares. */
    @ParameterizedTest
    @CsvSource({"69, 730", "69, 470", "134, 989", "134, 893"})
    void bothSidesOfAPartitionStayWithinTheCapTogether(int count, int maxConnections) {
        start(count);
        run(5_000, maxConnections, time -> count);
        run(3 * FORGOTTEN_MILLIS, maxConnections, time -> time < FORGOTTEN_MILLIS ? count : (count + 1) / 2);
    }

    /** Guards against a share of no connections where the cap is smaller than the fleet. */
    @Test
    void everyRouterMayHoldAConnection() {
        assertWithMessage("share").that(new ConnectionCap(50, 134).share()).isEqualTo(1);
        assertWithMessage("share").that(new ConnectionCap(2, 0).share()).isEqualTo(2);
        assertWithMessage("share").that(new ConnectionCap(100, 1).share()).isEqualTo(100);
    }

    private void start(int count) {
        for (int number = 0; number < count; number++) {
            routers.add(new Router(nowMillis));
        }
    }

    /**
     * Runs the fleet for some time.
     *
     * @param knownRouters maps the milliseconds since the start of this run to the number of routers that the routers
     *     know which have been running for {@link #NEWS_MILLIS}
     */
    private void run(long millis, int maxConnections, IntUnaryOperator knownRouters) {
        for (int time = 0; time < millis; time += STEP_MILLIS) {
            nowMillis += STEP_MILLIS;
            int held = 0;
            for (Router router : routers) {
                int known = nowMillis - router.startedAtMillis <= NEWS_MILLIS ? 0 : knownRouters.applyAsInt(time);
                held += router.step(maxConnections, known, nowMillis) + 1;
            }
            assertWithMessage("connections at %s", nowMillis).that(held).isAtMost(maxConnections);
        }
    }

    /** A router that holds as many connections as it may, and closes surplus ones in each cleanup. */
    private static final class Router {
        private final ConnectionShare share = new ConnectionShare();
        private final RouterCount count = new RouterCount();
        private final long startedAtMillis;

        private Router(long startedAtMillis) {
            this.startedAtMillis = startedAtMillis;
        }

        private int step(int maxConnections, int known, long nowMillis) {
            ConnectionCap cap = new ConnectionCap(maxConnections, count.update(known, nowMillis));
            if ((nowMillis - startedAtMillis) % CLEANUP_MILLIS == 0) {
                for (int surplus = share.surplus(cap, nowMillis); surplus > 0; surplus--) {
                    share.closed();
                }
            }
            boolean opened = true;
            while (opened) {
                opened = share.tryOpen(cap, nowMillis);
            }
            return share.held();
        }
    }
}
