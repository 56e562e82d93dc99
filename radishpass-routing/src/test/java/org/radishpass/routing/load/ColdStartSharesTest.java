package org.radishpass.routing.load;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.radishpass.core.fleet.Address;
import org.radishpass.core.fleet.DataCentre;
import org.radishpass.routing.config.ColdStart;
import org.radishpass.routing.fleet.FleetMembers;
import org.radishpass.routing.fleet.ServiceEndpoint;

/**
 * Guards against overload of endpoints that are warming up: when a data centre returns, many endpoints start at once,
 * and every router of the fleet would send them as many requests as possible. In this test an endpoint that is warming
 * up handles 13 requests per second, and the allowance permits 24.5 requests per second from all routers together.
 */
final class ColdStartSharesTest {
    private static final ColdStart COLD = new ColdStart(3_000, 13);
    private static final ColdStartAllowance ALLOWANCE = new ColdStartAllowance(1.5, 5);
    private static final double LIMIT = 1.5 * 13 + 5;
    private static final ServiceEndpoint ENDPOINT =
            new ServiceEndpoint("e-1", "s", new Address("10.0.0.9", 80), new DataCentre("here"), 64, false);
    private static final long LENGTH_MILLIS = 6_000;
    private static final long SECOND_MILLIS = 1_000;

    /** Splits the fleet into disconnected parts. Every router tries to send a request every 5 ms. */
    @ParameterizedTest
    @CsvSource({"1, 1", "7, 1", "7, 2", "63, 1", "63, 2", "370, 1", "370, 2"})
    void allRoutersTogetherStayWithinTheLimitInEverySecond(int routers, int parts) {
        List<Long> sent = simulate(routers, parts);
        assertThat(maxInOneSecond(sent)).isAtMost((int) LIMIT);
    }

    @ParameterizedTest
    @CsvSource({"7", "63", "370"})
    void connectedRoutersSendAboutHalfOfTheLimit(int routers) {
        List<Long> sent = simulate(routers, 1);
        assertThat(sent.size()).isAtLeast((int) (LENGTH_MILLIS / SECOND_MILLIS * LIMIT / 2 * 0.8));
    }

    @Test
    void aRouterThatDoesNotKnowTheFleetMembersSendsNothing() {
        assertThat(new ColdStartShares().admits(ENDPOINT, COLD, FleetMembers.UNKNOWN, 0))
                .isFalse();
    }

    @Test
    void anEndpointWithoutCapacityDuringItsWarmUpIsSentNothing() {
        ColdStartShares shares = new ColdStartShares();
        assertThat(shares.admits(ENDPOINT, new ColdStart(3_000, 0), member(0, 7, 1), 0))
                .isFalse();
    }

    private static List<Long> simulate(int routers, int parts) {
        List<ColdStartShares> shares = new ArrayList<>();
        for (int router = 0; router < routers; router++) {
            ColdStartShares share = new ColdStartShares();
            share.allowance(ALLOWANCE);
            shares.add(share);
        }
        List<FleetMembers> members = IntStream.range(0, routers)
                .mapToObj(router -> member(router, routers, parts))
                .toList();
        Random random = new Random(routers * 31L + parts);
        List<Long> sent = new ArrayList<>();
        for (long nowMillis = 0; nowMillis < LENGTH_MILLIS; nowMillis += 5) {
            for (int router = 0; router < routers; router++) {
                if (shares.get(router).admits(ENDPOINT, COLD, members.get(router), nowMillis)) {
                    shares.get(router).sent(ENDPOINT, nowMillis);
                    sent.add(nowMillis + random.nextInt(20)); // transit time
                }
            }
        }
        sent.sort(Long::compare);
        return sent;
    }

    private static FleetMembers member(int router, int routers, int parts) {
        return FleetMembers.of(
                id(router),
                IntStream.range(0, routers)
                        .filter(other -> other != router && other % parts == router % parts)
                        .mapToObj(ColdStartSharesTest::id)
                        .toList());
    }

    private static String id(int router) {
        return "10.0." + router % 4 + "." + router + ":7020";
    }

    private static int maxInOneSecond(List<Long> sent) {
        int max = 0;
        int first = 0;
        for (int last = 0; last < sent.size(); last++) {
            while (sent.get(last) - sent.get(first) >= SECOND_MILLIS) {
                first++;
            }
            max = Math.max(max, last - first + 1);
        }
        assertWithMessage("times of the requests sent").that(sent).isNotEmpty();
        return max;
    }
}
