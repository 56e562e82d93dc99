package org.radishpass.core.placement;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.radishpass.core.fleet.Endpoint;
import org.radishpass.core.testing.Endpoints;

/** Checks properties of the order in which endpoints are tried. */
final class RankingPropertyTest {
    @Property(tries = 200, seed = "41")
    void theRankingDoesNotDependOnTheOrderOfTheEndpoints(
            @ForAll String workspace, @ForAll String chat, @ForAll @IntRange(min = 1, max = 40) int count) {
        List<Endpoint> endpoints = Endpoints.engines(count);
        List<Endpoint> reversed = new ArrayList<>(endpoints);
        java.util.Collections.reverse(reversed);

        assertThat(Ranking.of(reversed, workspace, chat, 0, 100))
                .isEqualTo(Ranking.of(endpoints, workspace, chat, 0, 100));
    }

    @Property(tries = 200, seed = "42")
    void removingAnEndpointMovesOnlyItsOwnChats(
            @ForAll String chat,
            @ForAll @IntRange(min = 2, max = 40) int count,
            @ForAll @IntRange(min = 0, max = 39) int removedIndex) {
        List<Endpoint> endpoints = Endpoints.engines(count);
        Endpoint removed = endpoints.get(removedIndex % count);
        List<Endpoint> remaining = new ArrayList<>(endpoints);
        remaining.remove(removed);

        Endpoint before = Ranking.of(endpoints, "workspace", chat, 0, 100).get(0);
        Endpoint after = Ranking.of(remaining, "workspace", chat, 0, 100).get(0);

        if (!before.equals(removed)) {
            assertThat(after).isEqualTo(before);
        }
    }

    @Property(tries = 100, seed = "43")
    void theChatsOfAWorkspaceUseNoMoreEndpointsThanItsSpread(
            @ForAll String workspace,
            @ForAll @Size(min = 20, max = 60) Set<String> chats,
            @ForAll @IntRange(min = 1, max = 5) int spread) {
        List<Endpoint> endpoints = Endpoints.engines(12);
        Set<String> used = new HashSet<>();
        chats.forEach(chat -> used.add(
                Ranking.of(endpoints, workspace, chat, spread, 100).get(0).id()));

        assertThat(used.size()).isAtMost(spread);
    }

    @Property(tries = 50, seed = "44")
    void everyEndpointIsRankedExactlyOnce(@ForAll String chat, @ForAll @IntRange(min = 0, max = 12) int spread) {
        List<Endpoint> endpoints = Endpoints.engines(12);

        assertThat(Ranking.of(endpoints, "workspace", chat, spread, 100)).containsExactlyElementsIn(endpoints);
    }
}
