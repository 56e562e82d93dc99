package org.radishpass.routing.event;

import static com.google.common.truth.Truth.assertThat;

import io.micrometer.core.instrument.Meter;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.radishpass.core.fleet.DataCentre;
import org.radishpass.routing.control.EntryFault;
import org.radishpass.routing.testing.PlainDialect;
import org.radishpass.routing.traffic.EndpointListener;
import org.radishpass.routing.traffic.MonotonicClock;
import org.radishpass.routing.traffic.RoutingView;
import org.radishpass.routing.traffic.TrafficServer;
import reactor.netty.resources.LoopResources;

/** Tests that the tables in docs/OPERATIONS.md match the events, faults and metrics in the code. */
final class OperationsTablesTest {
    private final String page;

    OperationsTablesTest() throws IOException {
        page = Files.readString(Path.of("../docs/OPERATIONS.md"));
    }

    @ParameterizedTest
    @EnumSource
    void thePageListsEveryEvent(LogEvent event) {
        assertThat(page).contains("| `" + event.text() + "` | " + event.meaning() + " |");
    }

    @ParameterizedTest
    @EnumSource
    void thePageListsEveryFaultOfAnEntry(EntryFault fault) {
        assertThat(page).contains("| `" + fault.label() + "` | " + fault.meaning() + " |");
    }

    @Test
    void thePageListsNoUnknownEvent() {
        List<String> known =
                List.of(LogEvent.values()).stream().map(LogEvent::text).toList();
        page.substring(page.indexOf("## Events"), page.indexOf("## Metrics"))
                .lines()
                .filter(line -> line.startsWith("| `"))
                .forEach(line -> assertThat(known).contains(line.split("`", -1)[1]));
    }

    @Test
    void thePageListsEveryMetric() {
        LoopResources loops = LoopResources.create("test", 1, 1, true, false);
        PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
        new TrafficServer(
                loops.onServer(false).next(),
                MonotonicClock.SYSTEM,
                () -> RoutingView.UNKNOWN,
                new PlainDialect(),
                new DataCentre("here"),
                EndpointListener.NONE,
                registry);
        for (Meter meter : registry.getMeters()) {
            String name = meter.getId().getName().replace('.', '_').toLowerCase(Locale.ROOT);
            assertThat(page).contains("| `" + name);
        }
        loops.dispose();
    }
}
