package org.radishpass.routing.control;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.radishpass.routing.stream.StreamVersionRecord;

/**
 * Checks in virtual time that streams are taken up after all routers have ended at once: none at another software version than
 * the one that began it, and those whose version serves go on.
 */
final class StreamsAfterRestartTest {
    private static final Duration WARM_UP = Duration.ofSeconds(12);
    private static final Duration STREAMING = Duration.ofSeconds(4);
    private static final Duration PAUSE = Duration.ofMillis(500);

    /** Time in which the last streams are stored; a batch of the largest fleet is written every two seconds. */
    private static final Duration STORED = Duration.ofMillis(2_500);

    private static final Duration DOWN = Duration.ofMillis(1_200);
    private static final Duration UP = Duration.ofMillis(3_800);

    /** Of streams older than a batch, whose version serves; the rule asks for half of the share of new ones that begin. */
    private static final double MIN_SHARE = 0.95;

    /** What happens around the end of all routers. */
    private enum Scenario {
        ONE_VERSION,
        TWO_VERSIONS {
            @Override
            void whileServing(VirtualStreams streams) {
                streams.list("v1", "v1", "v2", "v2");
            }
        },
        OLD_VERSION_GONE_BEFORE {
            @Override
            void whileServing(VirtualStreams streams) {
                streams.list("v1", "v1", "v2", "v2");
            }

            @Override
            void beforeTheEnd(VirtualFleet fleet, VirtualStreams streams) {
                streams.list("v2", "v2");
                fleet.advance(Duration.ofMillis(900));
            }
        },
        OLD_VERSION_GONE_WHILE_DOWN {
            @Override
            void whileServing(VirtualStreams streams) {
                streams.list("v1", "v1", "v2", "v2");
            }

            @Override
            void whileDown(VirtualFleet fleet, VirtualStreams streams) {
                streams.list("v2", "v2");
            }
        },
        OTHER_VERSION_BACK_AFTER_START {
            @Override
            void whileServing(VirtualStreams streams) {
                streams.list("v1", "v1", "v2", "v2");
            }

            @Override
            void whileDown(VirtualFleet fleet, VirtualStreams streams) {
                streams.list("v2", "v2");
            }

            @Override
            void afterStart(VirtualFleet fleet, VirtualStreams streams) {
                streams.list("v1", "v1", "v2", "v2");
            }
        },
        REPLACED_WHILE_DOWN {
            @Override
            void whileDown(VirtualFleet fleet, VirtualStreams streams) {
                streams.list("v2", "v2");
            }
        },
        STORE_DOWN_UNTIL_AFTER_START {
            @Override
            void whileServing(VirtualStreams streams) {
                streams.list("v1", "v1", "v2", "v2");
            }

            @Override
            void beforeTheEnd(VirtualFleet fleet, VirtualStreams streams) {
                fleet.store().setDown(true);
            }

            @Override
            void afterStart(VirtualFleet fleet, VirtualStreams streams) {
                fleet.store().setDown(false);
            }
        },
        KILLED_TWICE {
            @Override
            void whileServing(VirtualStreams streams) {
                streams.list("v1", "v1", "v2", "v2");
            }

            @Override
            void whileDown(VirtualFleet fleet, VirtualStreams streams) {
                fleet.startAll();
                fleet.advance(Duration.ofMillis(700));
                fleet.killAll();
                fleet.advance(DOWN);
            }
        };

        void whileServing(VirtualStreams streams) {
            // nothing changes
        }

        void beforeTheEnd(VirtualFleet fleet, VirtualStreams streams) {
            // nothing changes
        }

        void whileDown(VirtualFleet fleet, VirtualStreams streams) {
            // nothing changes
        }

        void afterStart(VirtualFleet fleet, VirtualStreams streams) {
            // nothing changes
        }
    }

    /** Guards against streams that are refused, or joined from two versions, after a start of all routers. */
    @ParameterizedTest
    @EnumSource
    void streamsGoOnAtTheirVersionAfterAStartOfAllRouters(Scenario scenario) {
        for (int count : new int[] {3, 9}) {
            check(scenario, count);
        }
    }

    /** Guards against a design that works for few routers only. */
    @ParameterizedTest
    @EnumSource(names = {"ONE_VERSION", "TWO_VERSIONS"})
    void streamsGoOnInALargeFleet(Scenario scenario) {
        check(scenario, 63);
    }

    private static void check(Scenario scenario, int count) {
        VirtualFleet fleet = started(count);
        VirtualStreams streams = new VirtualStreams(fleet);
        scenario.whileServing(streams);
        fleet.advance(Duration.ofSeconds(2));
        streams.beginFor(STREAMING, PAUSE);
        fleet.advance(STORED);
        scenario.beforeTheEnd(fleet, streams);
        fleet.killAll();
        fleet.advance(DOWN);
        scenario.whileDown(fleet, streams);
        fleet.startAll();
        fleet.advance(DOWN);
        scenario.afterStart(fleet, streams);
        fleet.advance(UP.minus(DOWN));
        VirtualStreams.Outcome outcome = streams.takeUp();
        assertThat(outcome.all()).isAtLeast(count);
        assertWithMessage("streams joined from two versions, %s routers", count)
                .that(outcome.wrong())
                .isEmpty();
        assertWithMessage("%s routers: %s", count, outcome)
                .that(outcome.share())
                .isAtLeast(MIN_SHARE);
        assertThat(streams.begin()).isEqualTo(count);
    }

    /** Guards against a sole version that is trusted although the store was restored from a snapshot without the second. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void noStreamIsJoinedFromTwoVersionsAfterARestoreOfTheStore(boolean restoredWhileDown) {
        VirtualFleet fleet = started(9);
        VirtualStreams streams = new VirtualStreams(fleet);
        VirtualStore.Snapshot snapshot = fleet.store().snapshot();
        streams.list("v2", "v2");
        fleet.advance(Duration.ofSeconds(3));
        streams.beginFor(STREAMING, PAUSE);
        if (!restoredWhileDown) {
            fleet.store().restore(snapshot);
        }
        fleet.killAll();
        if (restoredWhileDown) {
            fleet.store().restore(snapshot);
        }
        fleet.advance(DOWN);
        fleet.startAll();
        fleet.advance(UP);
        assertThat(streams.takeUp().wrong()).isEmpty();
    }

    /** Guards against a record that was lost or damaged and is taken for one that says that no stream has begun. */
    @ParameterizedTest
    @CsvSource({"true, true", "true, false", "false, true", "false, false"})
    void noStreamIsJoinedFromTwoVersionsAfterTheRecordIsLost(boolean dropped, boolean whileDown) {
        VirtualFleet fleet = started(9);
        VirtualStreams streams = new VirtualStreams(fleet);
        streams.list("v1", "v1", "v2", "v2");
        fleet.advance(Duration.ofSeconds(3));
        streams.beginFor(STREAMING, PAUSE);
        streams.list("v2", "v2");
        Runnable damage = () -> {
            if (dropped && !whileDown) {
                fleet.store().dropStreamVersions();
            } else {
                fleet.store().replaceStreamVersions(StreamVersionRecord.UNREADABLE);
            }
        };
        if (!whileDown) {
            damage.run();
            fleet.advance(Duration.ofSeconds(15));
        }
        fleet.killAll();
        fleet.advance(DOWN);
        if (whileDown) {
            damage.run();
        }
        fleet.startAll();
        fleet.advance(UP);
        assertThat(streams.takeUp().wrong()).isEmpty();
    }

    /** Guards against streams that begin at a version that is not recorded, of which no router knows after a start of all. */
    @Test
    void noStreamBeginsAtAVersionThatIsNotRecorded() {
        VirtualFleet fleet = started(3);
        VirtualStreams streams = new VirtualStreams(fleet);
        fleet.store().refuseStreamVersions(true);
        streams.list("v2", "v2");
        fleet.advance(Duration.ofSeconds(4));
        assertThat(streams.begin()).isEqualTo(0);
        fleet.store().refuseStreamVersions(false);
        fleet.advance(Duration.ofSeconds(1));
        assertThat(streams.begin()).isEqualTo(3);
    }

    /** Guards against a router that starts first and takes the only listed version for the only one there was. */
    @Test
    void noStreamIsJoinedFromTwoVersionsWhileRoutersStartOneByOne() {
        VirtualFleet fleet = started(9);
        VirtualStreams streams = new VirtualStreams(fleet);
        streams.list("v1", "v1", "v2", "v2");
        fleet.advance(Duration.ofSeconds(3));
        streams.beginFor(STREAMING, PAUSE);
        fleet.advance(STORED);
        fleet.killAll();
        streams.list("v2", "v2");
        fleet.advance(DOWN);
        for (int number = 0; number < 9; number++) {
            fleet.start(number);
            fleet.advance(Duration.ofMillis(400));
        }
        VirtualStreams.Outcome outcome = streams.takeUp();
        assertThat(outcome.wrong()).isEmpty();
        assertThat(outcome.share()).isAtLeast(MIN_SHARE);
    }

    /** Guards against routers that keep origins starting anew, which then know nothing that they can be asked for. */
    @Test
    void streamsGoOnAfterAStartOfHalfOfTheRouters() {
        VirtualFleet fleet = started(9);
        VirtualStreams streams = new VirtualStreams(fleet);
        streams.list("v1", "v1", "v2", "v2");
        fleet.advance(Duration.ofSeconds(3));
        streams.beginFor(STREAMING, PAUSE);
        fleet.advance(STORED);
        for (int number = 0; number < 9; number += 2) {
            fleet.restart(number);
        }
        fleet.advance(UP);
        VirtualStreams.Outcome outcome = streams.takeUp();
        assertThat(outcome.wrong()).isEmpty();
        assertThat(outcome.share()).isAtLeast(MIN_SHARE);
    }

    /** Guards against origins of streams that are stored for ever. */
    @Test
    void whatIsStoredIsRemovedWhenItsStreamsAreOver() {
        VirtualFleet fleet = started(9);
        VirtualStreams streams = new VirtualStreams(fleet);
        streams.list("v1", "v1", "v2", "v2");
        fleet.advance(Duration.ofSeconds(3));
        streams.beginFor(STREAMING, PAUSE);
        fleet.advance(STORED);
        assertThat(fleet.store().originBatches()).isGreaterThan(0);
        fleet.killAll();
        fleet.startAll();
        fleet.advance(Duration.ofSeconds(30));
        assertThat(fleet.store().originBatches()).isEqualTo(0);
    }

    /** Guards against calls to the store for each stream, and against any while one version serves. */
    @ParameterizedTest
    @ValueSource(ints = {9, 63, 370})
    void originsAreStoredInBatchesWhileVersionsAreMixedOnly(int count) {
        VirtualFleet fleet = started(count);
        VirtualStreams streams = new VirtualStreams(fleet);
        streams.beginFor(STREAMING, PAUSE);
        assertThat(fleet.store().originWrites()).isEqualTo(0);
        streams.list("v1", "v1", "v2", "v2");
        fleet.advance(Duration.ofSeconds(3));
        int before = fleet.store().originWrites();
        streams.beginFor(STREAMING, PAUSE);
        assertThat(fleet.store().originWrites() - before).isAtMost(WRITES_PER_SECOND * (int) STREAMING.toSeconds());
    }

    /** Of all routers together, with the removal of batches that have expired. */
    private static final int WRITES_PER_SECOND = 20;

    private static VirtualFleet started(int count) {
        VirtualFleet fleet = new VirtualFleet(count, Math.max(2, count / 60), 20, 1_000);
        new VirtualStreams(fleet).list("v1", "v1");
        fleet.publish(1, 400);
        fleet.startAll();
        fleet.advance(WARM_UP);
        return fleet;
    }
}
