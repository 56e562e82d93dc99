package org.radishpass.routing.control;

import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.radishpass.routing.stream.StreamVersionRecord;

/**
 * Checks in virtual time, over random histories of starts, kills, releases, store outages, cuts, restores and damage to
 * what is stored, that a stream never goes on at another software version than the one that began it.
 */
final class StreamVersionInvariantTest {
    private static final int ROUTERS = 5;
    private static final int STEPS = 60;
    private static final int DEFAULT_HISTORIES = 40;
    private static final String[] VERSIONS = {"v1", "v2", "v3"};

    /** The number of histories; more are run by hand. */
    private static final int HISTORIES = Integer.getInteger("histories", DEFAULT_HISTORIES);

    /** Guards against streams joined from two versions, whatever happens to the routers and the store. */
    @Test
    void noStreamGoesOnAtAnotherVersion() {
        for (int seed = 1; seed <= HISTORIES; seed++) {
            new History(seed).run();
        }
    }

    /** One random history. */
    private static final class History {
        private final int seed;
        private final Random random;
        private final VirtualFleet fleet = new VirtualFleet(ROUTERS, 2, 4, 1_000);
        private final VirtualStreams streams = new VirtualStreams(fleet);
        private final List<String> events = new ArrayList<>();
        private VirtualStore.Snapshot snapshot = fleet.store().snapshot();

        private History(int seed) {
            this.seed = seed;
            this.random = new Random(seed);
        }

        private void run() {
            streams.list("v1", "v1");
            fleet.publish(1, 400);
            fleet.startAll();
            fleet.advance(Duration.ofSeconds(3));
            for (int step = 0; step < STEPS; step++) {
                change();
                streams.begin();
                fleet.advance(Duration.ofMillis(20 + random.nextInt(1_500)));
                streams.begin();
                if (random.nextInt(4) == 0 && !fleet.routers().isEmpty()) {
                    takeUp();
                }
            }
            fleet.store().setDown(false);
            fleet.store().refuseStreamVersions(false);
            startMissing();
            fleet.advance(Duration.ofSeconds(3));
            takeUp();
        }

        private void takeUp() {
            assertWithMessage("seed %s after %s", seed, events)
                    .that(streams.takeUp().wrong())
                    .isEmpty();
        }

        private void change() {
            int kind = random.nextInt(15);
            events.add(Integer.toString(kind));
            switch (kind) {
                case 0 -> fleet.killAll();
                case 1 -> fleet.kill(routerId(random.nextInt(ROUTERS)));
                case 2, 3 -> startMissing();
                case 4 -> listSome();
                case 5 -> listSome();
                case 6 -> fleet.store().setDown(random.nextBoolean());
                case 7 -> snapshot = fleet.store().snapshot();
                case 8 -> restoreSometimes();
                case 9 -> damageSometimes();
                case 10, 11 -> fleet.network().setCutOff(routerId(random.nextInt(ROUTERS)), random.nextBoolean());
                case 12, 13 -> fleet.store().refuseStreamVersions(random.nextBoolean());
                default -> restartSome();
            }
        }

        private void restoreSometimes() {
            if (random.nextInt(3) == 0) {
                fleet.store().restore(snapshot);
            }
        }

        private void damageSometimes() {
            if (random.nextInt(4) == 0) {
                fleet.store().replaceStreamVersions(StreamVersionRecord.UNREADABLE);
            }
        }

        private void restartSome() {
            for (int number = 0; number < ROUTERS; number++) {
                if (random.nextBoolean()) {
                    fleet.restart(number);
                }
            }
        }

        private void startMissing() {
            for (int number = 0; number < ROUTERS; number++) {
                if (fleet.find(routerId(number)) == null) {
                    fleet.start(number);
                }
            }
        }

        private void listSome() {
            List<String> listed = new ArrayList<>();
            for (String version : VERSIONS) {
                if (random.nextInt(3) > 0) {
                    listed.add(version);
                    listed.add(version);
                }
            }
            streams.list(listed.toArray(new String[0]));
        }

        private String routerId(int number) {
            return fleet.id(number);
        }
    }
}
