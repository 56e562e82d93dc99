package org.radishpass.dist;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Clock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.UUID;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;
import org.radishpass.records.RecordDocument;
import org.radishpass.records.RecordFiles;
import org.radishpass.router.Router;
import org.radishpass.router.RouterSettings;
import org.radishpass.runtime.http.HttpJson;
import org.radishpass.runtime.http.HttpRuntime;
import org.radishpass.runtime.settings.SettingsParser;
import org.radishpass.standin.deployment.DeploymentKind;
import org.radishpass.standin.deployment.StandInDeployment;
import org.radishpass.standin.engine.EngineSettings;
import org.radishpass.standin.engine.EngineStandIn;
import org.radishpass.tables.configuration.ConfigurationWriter;
import org.radishpass.tables.configuration.WriteResult;
import org.radishpass.tables.table.HttpTableService;
import reactor.core.publisher.Mono;

/** A deployment of stand-ins with routers in this process, for tests of failures. */
final class TestFleet implements AutoCloseable {
    private static final Duration PATIENCE = Duration.ofSeconds(60);
    private static final EngineSettings ENGINES = new EngineSettings(32, 20, 20_000, 4_000, 200, true);
    private static final long POLL_MILLIS = 20;

    private final List<Router> routers = new ArrayList<>();
    private final HttpRuntime runtime = new HttpRuntime("test", 2);
    private final StandInDeployment deployment;

    TestFleet(Path directory, int routerCount) throws IOException {
        this.deployment = new StandInDeployment(DeploymentKind.AUTHORITY, directory, ENGINES, 5);
        for (int i = 0; i < routerCount; i++) {
            routers.add(new Router(settings(directory, i), Clock.systemUTC()));
        }
        deployment.engines().forEach(this::load);
        apply(records());
        await(() -> routers.stream().allMatch(this::ready));
    }

    StandInDeployment deployment() {
        return deployment;
    }

    Router router(int index) {
        return routers.get(index);
    }

    String address(int index) {
        return "http://127.0.0.1:" + routers.get(index).port();
    }

    HttpRuntime runtime() {
        return runtime;
    }

    WriteResult apply(List<RecordDocument> documents) {
        HttpTableService tables =
                new HttpTableService(runtime.client(), deployment.platformAddress(), Duration.ofSeconds(5));
        return new ConfigurationWriter(
                        tables, Clock.systemUTC(), () -> UUID.randomUUID().toString())
                .apply(documents, "test", OptionalLong.empty())
                .blockOptional(PATIENCE)
                .orElseThrow();
    }

    JsonNode status(int index) {
        return get(address(index) + "/v1/status");
    }

    /** Waits for a state of the fleet; the wait's length is no part of any verdict. */
    static void await(BooleanSupplier state) {
        long deadline = System.nanoTime() + PATIENCE.toNanos();
        while (!state.getAsBoolean()) {
            if (System.nanoTime() - deadline > 0) {
                throw new AssertionError("the fleet did not come to the state that was waited for");
            }
            Mono.delay(Duration.ofMillis(POLL_MILLIS)).block();
        }
    }

    @Override
    public void close() {
        routers.forEach(Router::close);
        deployment.close();
        runtime.close();
    }

    private JsonNode get(String address) {
        return runtime.client()
                .get()
                .uri(address)
                .responseSingle((response, content) -> content.asByteArray())
                .map(HttpJson::parse)
                .blockOptional(PATIENCE)
                .orElseThrow();
    }

    private void load(EngineStandIn engine) {
        for (String pool : List.of("atlas@1", "atlas:passbook@1")) {
            byte[] order = HttpJson.bytes(Map.of("type", "load", "pool", pool, "epoch", 1, "revision", 0));
            runtime.client()
                    .post()
                    .uri("http://127.0.0.1:" + engine.port() + "/v1/orders")
                    .send((request, outbound) -> outbound.sendByteArray(Mono.just(order)))
                    .responseSingle((response, content) -> content.asByteArray())
                    .block(PATIENCE);
        }
    }

    private boolean ready(Router router) {
        JsonNode status = get("http://127.0.0.1:" + router.port() + "/v1/status");
        boolean all = status.path("ready").asBoolean()
                && status.path("revision").asLong() > 0
                && status.path("routers").size() == routers.size();
        for (JsonNode endpoint : status.path("endpoints")) {
            all &= "READY".equals(endpoint.path("state").asText())
                    && !endpoint.path("pools").isEmpty();
        }
        return all && status.path("endpoints").size() > 0;
    }

    private RouterSettings settings(Path directory, int index) {
        String dataCentre = DeploymentKind.AUTHORITY.dataCentres().get(index % 4);
        RouterSettings settings = new RouterSettings();
        List<String> faults = new SettingsParser(settings)
                .parse(
                        List.of(
                                "--id",
                                "router-" + index,
                                "--data-centre",
                                dataCentre,
                                "--platform",
                                deployment.platformAddress(dataCentre),
                                "--head-poll-millis",
                                "200",
                                "--list-poll-millis",
                                "200",
                                "--probe-millis",
                                "200",
                                "--balancer-seconds",
                                "0",
                                "--ports-file",
                                directory
                                        .resolve("router-" + index + ".vm.json")
                                        .toString()),
                        Map.of());
        if (!faults.isEmpty()) {
            throw new IllegalStateException(faults.toString());
        }
        return settings;
    }

    private static List<RecordDocument> records() throws IOException {
        List<RecordDocument> documents = new ArrayList<>();
        try (Stream<Path> files = Files.list(Path.of("..", "examples", "authority"))) {
            files.sorted().forEach(file -> documents.addAll(read(file)));
        }
        return documents;
    }

    private static List<RecordDocument> read(Path file) {
        try {
            RecordFiles.ReadResult read = RecordFiles.read(file.toString(), Files.readString(file));
            if (!read.faults().isEmpty()) {
                throw new IllegalStateException(read.faults().toString());
            }
            return read.documents();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
