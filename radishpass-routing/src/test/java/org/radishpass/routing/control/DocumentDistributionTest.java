package org.radishpass.routing.control;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.util.Objects;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Checks how soon configurations are in force in large fleets with narrow links.
 *
 * <p>Guards against slow distribution: with a configuration of 1,500 routes and links of 10 Mbit/s, versions came into
 * force 3 to 12 s after they were published, and after a loss of power the fleet had none for 4 s or longer. There were
 * three causes. A gatherer sent the whole document to each member of its group over its own link. Each transfer was
 * given up after 0.8 s, whether it made progress or not, and started again. A router that was behind got all versions
 * that it had missed.
 */
final class DocumentDistributionTest {
    private static final Duration SETTLING = Duration.ofSeconds(3);
    private static final Duration ALL_STARTED = Duration.ofMillis(VirtualFleet.START_SPREAD_MILLIS);
    private static final Duration POLL_INTERVAL = Duration.ofMillis(100);
    private static final long TIMEOUT_MILLIS = 12_000;

    @ParameterizedTest
    @CsvSource({
        // bytes, routers, data centres, megabits per second, maximum milliseconds until in force
        "10000, 370, 9, 7, 1000",
        "500000, 23, 6, 10, 1500",
        "500000, 95, 6, 14, 1500",
        "500000, 370, 9, 20, 1500",
        "4194304, 95, 6, 140, 2000",
    })
    void anUpdateReachesAllRoutersInTime(int bytes, int routers, int dataCentres, double megabits, long withinMillis) {
        VirtualFleet fleet = new VirtualFleet(routers, dataCentres, 65, megabits);
        fleet.publish(1, bytes);
        fleet.startAll();
        fleet.advance(SETTLING);
        long publishedAtMillis = fleet.scheduler().millis();

        fleet.publish(2, bytes);

        assertThat(awaitInForce(fleet, 2) - publishedAtMillis).isAtMost(withinMillis);
    }

    /**
     * After the settling time only three routers wait at the store for configurations. The others get them from peers.
     */
    @ParameterizedTest
    @CsvSource({"23, 6, 10, 1500", "95, 6, 14, 1500", "95, 2, 14, 1500"})
    void routersThatDoNotReadTheStoreAreUpdatedInTime(
            int routers, int dataCentres, double megabits, long withinMillis) {
        VirtualFleet fleet = new VirtualFleet(routers, dataCentres, 65, megabits);
        fleet.publish(1, 500_000);
        fleet.startAll();
        fleet.advance(ConfigurationFollower.MAX_LONG_POLL_DURATION.plus(SETTLING));
        long publishedAtMillis = fleet.scheduler().millis();

        fleet.publish(2, 500_000);

        assertThat(awaitInForce(fleet, 2) - publishedAtMillis).isAtMost(withinMillis);
    }

    /** A failure of a router that is serving a document to its whole group. */
    private enum GathererFailure {
        KILLED {
            @Override
            void applyTo(VirtualFleet fleet, String router) {
                fleet.kill(router);
            }
        },
        FROZEN {
            @Override
            void applyTo(VirtualFleet fleet, String router) {
                Objects.requireNonNull(fleet.find(router)).setFrozen(true);
            }
        },
        PARTITIONED {
            @Override
            void applyTo(VirtualFleet fleet, String router) {
                fleet.network().setCutOff(router, true);
            }
        };

        abstract void applyTo(VirtualFleet fleet, String router);
    }

    @ParameterizedTest
    @EnumSource(GathererFailure.class)
    void membersAreUpdatedAlthoughTheirGathererFails(GathererFailure failure) {
        VirtualFleet fleet = new VirtualFleet(23, 3, 65, 14);
        String gatherer = "10.0.0.1:7640";
        fleet.publish(1, 500_000);
        fleet.startAll();
        fleet.advance(ConfigurationFollower.MAX_LONG_POLL_DURATION.plus(SETTLING));
        long publishedAtMillis = fleet.scheduler().millis();
        fleet.publish(2, 500_000);
        fleet.advance(Duration.ofMillis(300));

        failure.applyTo(fleet, gatherer);
        fleet.advance(Duration.ofMillis(TIMEOUT_MILLIS));

        long lastMillis = fleet.routers().stream()
                .filter(router -> !router.self().id().equals(gatherer))
                .mapToLong(router -> router.inForceAtMillis(2))
                .max()
                .orElseThrow();
        assertThat(lastMillis - publishedAtMillis).isAtMost(3_000);
    }

    /** The router must get only the newest version: all five versions would take 2 s on its link. */
    @ParameterizedTest
    @CsvSource({"10.0.0.1:7640", "10.1.0.3:7640", "10.2.0.7:7640"})
    void aRouterGetsTheNewestVersionInTimeAfterAPartition(String router) {
        VirtualFleet fleet = new VirtualFleet(23, 3, 65, 14);
        fleet.publish(1, 500_000);
        fleet.startAll();
        fleet.advance(ConfigurationFollower.MAX_LONG_POLL_DURATION.plus(SETTLING));
        fleet.network().setCutOff(router, true);
        int versions = 6;
        for (int version = 2; version <= versions; version++) {
            fleet.publish(version, 500_000);
            fleet.advance(Duration.ofMillis(800));
        }
        fleet.network().setCutOff(router, false);
        long reconnectedAtMillis = fleet.scheduler().millis();

        assertThat(awaitInForce(fleet, versions) - reconnectedAtMillis).isAtMost(2_000);
    }

    @Test
    void theLastOfManyRapidUpdatesReachesAllRoutersInTime() {
        VirtualFleet fleet = new VirtualFleet(95, 6, 65, 14);
        int bytes = 500_000;
        fleet.publish(1, bytes);
        fleet.startAll();
        fleet.advance(SETTLING);
        int versions = 25;
        for (int version = 2; version <= versions; version++) {
            fleet.publish(version, bytes);
            fleet.advance(Duration.ofMillis(80));
        }
        long publishedAtMillis = fleet.scheduler().millis() - 80;

        assertThat(awaitInForce(fleet, versions) - publishedAtMillis).isAtMost(2_500);
    }

    @ParameterizedTest
    @CsvSource({"23, 6, 10, 1500", "95, 6, 20, 1500", "370, 9, 20, 1500"})
    void aFleetThatStartsAllAtOnceServesInTime(int routers, int dataCentres, double megabits, long withinMillis) {
        VirtualFleet fleet = new VirtualFleet(routers, dataCentres, 65, megabits);
        fleet.publish(1, 500_000);
        fleet.startAll();

        fleet.advance(ALL_STARTED);
        assertThat(awaitInForce(fleet, 1)).isAtMost(withinMillis);
        for (VirtualRouter router : fleet.routers()) {
            assertWithMessage(router.self().id()).that(router.serves()).isTrue();
        }
    }

    /** Returns when the last router put a version in force, or {@link Long#MAX_VALUE} if that took too long. */
    private static long awaitInForce(VirtualFleet fleet, long version) {
        long endMillis = fleet.scheduler().millis() + TIMEOUT_MILLIS;
        while (fleet.scheduler().millis() < endMillis && lastInForceMillis(fleet, version) == Long.MAX_VALUE) {
            fleet.advance(POLL_INTERVAL);
        }
        return lastInForceMillis(fleet, version);
    }

    private static long lastInForceMillis(VirtualFleet fleet, long version) {
        return fleet.routers().stream()
                .mapToLong(router -> router.inForceAtMillis(version))
                .max()
                .orElseThrow();
    }
}
