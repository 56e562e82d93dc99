package org.radishpass.routing.config;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the lookup of routes and workspaces, and the distribution of requests by a traffic split. */
final class RoutingConfigurationTest {
    private final RoutingConfiguration configuration = RoutingConfiguration.builder(3)
            .route(route("all", "/"))
            .route(route("orders", "/orders/"))
            .route(route("new-orders", "/orders/new/"))
            .workspace(new Workspace("mill", OptionalInt.of(1)), List.of("key-1", "key-2"))
            .build();

    @ParameterizedTest
    @CsvSource({
        "/orders/new/7, new-orders",
        "/orders/new/, new-orders",
        "/orders/new, orders",
        "/orders/, orders",
        "/orders, all",
        "/, all",
        "/other/path, all"
    })
    void theRouteWithTheLongestMatchingPrefixIsFound(String path, String route) {
        assertThat(configuration.route("API.example", path).map(Route::name)).isEqualTo(Optional.of(route));
    }

    @Test
    void anUnknownHostHasNoRoute() {
        assertThat(configuration.route("other.example", "/orders/")).isEqualTo(Optional.empty());
    }

    @Test
    void eachKeyBelongsToItsWorkspace() {
        assertThat(configuration.workspace("key-2").map(Workspace::name)).isEqualTo(Optional.of("mill"));
        assertThat(configuration.workspace("key-3")).isEqualTo(Optional.empty());
        assertThat(configuration.keysRequired()).isTrue();
    }

    @Test
    void aSplitDistributesByWeightAndAlwaysMapsAHashToTheSameService() {
        TrafficSplit split =
                new TrafficSplit(List.of(new TrafficSplit.Share("old", 90), new TrafficSplit.Share("new", 10)));
        int old = 0;
        for (long hash = 0; hash < 10_000; hash++) {
            long mixed = hash * 0x9E3779B97F4A7C15L;
            assertThat(split.service(mixed)).isEqualTo(split.service(mixed));
            old += split.service(mixed).equals("old") ? 1 : 0;
        }
        assertThat(old).isAtLeast(8_800);
        assertThat(old).isAtMost(9_200);
    }

    @Test
    void aServiceWithWeightZeroGetsNoRequests() {
        TrafficSplit split =
                new TrafficSplit(List.of(new TrafficSplit.Share("on", 1), new TrafficSplit.Share("off", 0)));
        assertThat(split.service(-1)).isEqualTo("on");
        assertThat(split.service(0)).isEqualTo("on");
    }

    private static Route route(String name, String prefix) {
        return Route.builder(name)
                .match("api.example", prefix)
                .split(TrafficSplit.all("service"))
                .build();
    }
}
