package org.radishpass.cli.internal;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.net.URISyntaxException;
import java.nio.file.Path;
import java.util.List;
import java.util.Objects;
import org.junit.jupiter.api.Test;

/** Tests how the lines of a request are collected from the logs of several routers. */
final class RequestHistoryTest {
    @Test
    void linesOfARequestAndItsEndpointsAreSortedByTime() throws Exception {
        RequestHistory history = read("9c41");
        assertThat(history.json().path("lines")).hasSize(2);
        assertThat(history.table())
                .containsExactly(
                        "2026-03-11T08:00:01.000Z  vm-1  request 9c41 the endpoint failed",
                        "    route chat of configuration 7, STREAM, service llm, workspace mill",
                        "    sent to i-7 rank 0 load 3/11 of 14 listAge 661 chosen 0 sent 1 head -1: "
                                + "connection failed: Connection reset",
                        "    status 502, verdict MAY_HAVE_RUN, after 9 ms",
                        "2026-03-11T08:00:01.100Z  vm-1  endpoint i-7 at 10.3.64.33:8766 cannot be reached: "
                                + "Connection refused")
                .inOrder();
    }

    @Test
    void historyOfAnUnknownRequestIsEmpty() throws Exception {
        assertThat(read("unknown").empty()).isTrue();
    }

    @Test
    void unreadableLinesAreCountedAndOtherLinesAreKept() throws Exception {
        assertThat(read("77aa").unreadableLines()).isEqualTo(1);
        assertThat(read("77aa").empty()).isFalse();
    }

    private static RequestHistory read(String id) throws IOException, URISyntaxException {
        Path log = Path.of(Objects.requireNonNull(RequestHistoryTest.class.getResource("/two-routers.log"))
                .toURI());
        return RequestHistory.read(id, List.of(log));
    }
}
