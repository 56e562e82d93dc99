package org.radishpass.routing.traffic;

import static com.google.common.truth.Truth.assertThat;
import static org.radishpass.routing.testing.ResponseText.whole;
import static org.radishpass.routing.testing.ResponseText.write;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.radishpass.routing.testing.FakeEndpoint;
import org.radishpass.routing.testing.PlainDialect;
import org.radishpass.routing.testing.TestCaller;
import org.radishpass.routing.testing.TrafficFixture;

/** Checks over the loopback interface which requests are refused while one endpoint is offered more than it completes. */
final class ContendedServiceTest {
    private static final long TIMEOUT_MILLIS = 20_000;
    private static final int SLOTS = 6;
    private static final long SERVICE_MILLIS = 50;
    private static final long WARM_UP_MILLIS = 2_000;
    private static final long MEASURED_MILLIS = 3_000;
    private static final long PAUSE_MILLIS = 60;

    /** Callers with one request each at a time; 6 slots of 50 ms complete 120 requests/s of about 300. */
    private static final int URGENT_CALLERS = 4;

    private static final int OTHER_CALLERS = 24;

    /** More than callers, so that the number of connections limits nothing. */
    private static final int MAX_CONNECTIONS = 100;

    private final TrafficFixture fixture;
    private final Semaphore slots = new Semaphore(SLOTS);
    private final Set<String> reachedEndpoint = ConcurrentHashMap.newKeySet();
    private final Set<String> refused = ConcurrentHashMap.newKeySet();
    private final AtomicInteger beyondShare = new AtomicInteger();

    ContendedServiceTest() throws Exception {
        fixture = new TrafficFixture();
    }

    @AfterEach
    void close() {
        fixture.close();
    }

    /**
     * Guards against refusing urgent requests like others, and against a refusal of a request that was sent. Load
     * pattern: one endpoint of 6 slots left, callers that retry.
     */
    @Test
    void refusesTheLessUrgentRequestsBeforeTheyAreSent() throws Exception {
        try (FakeEndpoint endpoint = endpoint()) {
            fixture.cap(MAX_CONNECTIONS, 1).configure(TIMEOUT_MILLIS, endpoint);
            Load load = new Load().run();
            assertThat(beyondShare.get()).isGreaterThan(0);
            assertThat(load.urgent.servedFraction()).isGreaterThan(load.other.servedFraction() + 0.15);
            assertThat(load.other.served.get()).isGreaterThan(0);
            assertThat(refused).isNotEmpty();
            refused.forEach(id -> assertThat(reachedEndpoint).doesNotContain(id));
        }
    }

    /** Guards against shares that decide although the setting is off. */
    @Test
    void decidesByTheQueueLimitAloneIfSharesAreOff() throws Exception {
        try (FakeEndpoint endpoint = endpoint()) {
            fixture.cap(MAX_CONNECTIONS, 1)
                    .configure(TIMEOUT_MILLIS, endpoint)
                    .server()
                    .serviceShares(false);
            new Load().run();
            assertThat(refused).isNotEmpty();
            assertThat(beyondShare.get()).isEqualTo(0);
        }
    }

    private FakeEndpoint endpoint() throws java.io.IOException {
        return new FakeEndpoint("a", (request, out) -> {
            reachedEndpoint.add(request.header(PlainDialect.ID));
            slots.acquireUninterruptibly();
            try {
                Thread.sleep(SERVICE_MILLIS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            } finally {
                slots.release();
            }
            write(out, whole(request, 200, "answer"));
        });
    }

    private static final class Count {
        private final AtomicInteger served = new AtomicInteger();
        private final AtomicInteger all = new AtomicInteger();

        private double servedFraction() {
            return (double) served.get() / Math.max(1, all.get());
        }
    }

    /** The callers of one test, each on a thread and a connection of its own. */
    private final class Load {
        private final Count urgent = new Count();
        private final Count other = new Count();
        private final AtomicInteger failures = new AtomicInteger();
        private final long startMillis = MonotonicClock.SYSTEM.millis();

        private Load run() throws InterruptedException {
            List<Thread> callers = new ArrayList<>();
            for (int index = 0; index < URGENT_CALLERS + OTHER_CALLERS; index++) {
                String name = "caller" + index;
                boolean isUrgent = index < URGENT_CALLERS;
                callers.add(
                        new Thread(() -> call(name, isUrgent ? "/again/x" : "/later/x", isUrgent ? urgent : other)));
            }
            callers.forEach(Thread::start);
            for (Thread caller : callers) {
                caller.join();
            }
            assertThat(failures.get()).isEqualTo(0);
            return this;
        }

        private void call(String name, String path, Count count) {
            try {
                for (int number = 0; elapsedMillis() < WARM_UP_MILLIS + MEASURED_MILLIS; number++) {
                    boolean counted = elapsedMillis() > WARM_UP_MILLIS;
                    boolean served = request(path, name + "-" + number);
                    if (counted) {
                        count.all.incrementAndGet();
                        count.served.addAndGet(served ? 1 : 0);
                    }
                    Thread.sleep(PAUSE_MILLIS);
                }
            } catch (Exception e) {
                failures.incrementAndGet();
            }
        }

        private long elapsedMillis() {
            return MonotonicClock.SYSTEM.millis() - startMillis;
        }

        private boolean request(String path, String id) throws java.io.IOException {
            try (TestCaller caller = fixture.caller()) {
                String head = caller.request("GET", path, id, "").readUntil("\r\n\r\n");
                String body = caller.readBody(head);
                if (head.startsWith("HTTP/1.1 503")) {
                    assertThat(head.toLowerCase(java.util.Locale.ROOT)).contains("retry-after");
                    refused.add(id);
                    beyondShare.addAndGet(body.contains(ShareGuard.BEYOND_SHARE) ? 1 : 0);
                    return false;
                }
                return head.startsWith("HTTP/1.1 200");
            }
        }
    }
}
