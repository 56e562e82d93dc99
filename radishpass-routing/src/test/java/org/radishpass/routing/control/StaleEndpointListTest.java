package org.radishpass.routing.control;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against requests that reach endpoints 2.2 to 3.1 s after the store acknowledged that they are leaving,
 * although the sending routers could read the store throughout. The bound is 2 s.
 *
 * <p>One router reads the endpoint list for all others. They rely on its list while they assume that it was read within
 * the last 1.4 s. Two faults, each sufficient on its own, let a router that does not read the store itself keep an
 * endpoint beyond the bound:
 *
 * <ul>
 *   <li>A message counted as recent from its arrival, however long it had been held in a buffer or a frozen process.
 *   <li>A router that had lost its own connection to the store offered a list in which it retained missing endpoints.
 * </ul>
 */
final class StaleEndpointListTest {
    /** Number of reads after which all routers have a list that is based on continuous reads. */
    private static final int WARM_UP_READS = 6;

    private static final long READ_INTERVAL_MILLIS = 900;

    private final DirectoryFleet fleet = new DirectoryFleet();
    private final DirectoryFleet.Router first = fleet.router(1);
    private final DirectoryFleet.Router second = fleet.router(2);

    @BeforeEach
    void warmUp() {
        fleet.register("a");
        fleet.register("b");
        for (int read = 0; read < WARM_UP_READS; read++) {
            fleet.advance(READ_INTERVAL_MILLIS);
            first.readStore();
            second.readStore();
            second.receive(first.writeMessage());
            first.receive(second.writeMessage());
        }
    }

    @Test
    void delayedMessageDoesNotMakeAListAppearRecent() {
        fleet.advance(READ_INTERVAL_MILLIS);
        first.readStore();
        DirectoryFleet.Message delayedMessage = first.writeMessage();
        fleet.remove("b");

        fleet.advance(3_000);
        second.receive(delayedMessage);

        assertThat(second.mustReadStore()).isTrue();
    }

    @Test
    void routerThatReconnectsToTheStoreDoesNotBringBackGoneEndpoints() {
        first.failToReadStore();
        for (int read = 0; read < 4; read++) {
            fleet.advance(READ_INTERVAL_MILLIS);
            second.readStore();
        }
        first.readStore();
        fleet.remove("b");
        fleet.advance(READ_INTERVAL_MILLIS);
        second.readStore();
        assertThat(second.sendsTo("b")).isFalse();

        fleet.register("c");
        fleet.advance(10);
        first.readStore();
        second.receive(first.writeMessage());

        assertThat(second.sendsTo("b")).isFalse();
        assertThat(second.mustReadStore()).isTrue();
        fleet.advance(READ_INTERVAL_MILLIS);
        second.readStore();
        first.receive(second.writeMessage());
        assertThat(first.sendsTo("b")).isFalse();
    }
}
