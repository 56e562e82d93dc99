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

/** A deployment with stand-in engines, services and platform, and with routers that run in the test's own process. */
final class TestFleet implements AutoCloseable {
    private static final Duration TIMEOUT = Duration.ofSeconds(60);
    private static final EngineSettings ENGINE_SETTINGS = new EngineSettings(32, 20, 20_000, 4_000, 200, true);
    private static final long POLL_INTERVAL_MILLIS = 20;
    private static final int DRAIN_SECONDS = 600;

    private final List<Router> routers = new ArrayList<>();
    private final HttpRuntime runtime = new HttpRuntime("test", 2);
    private final StandInDeployment deployment;

    TestFleet(Path directory, int routerCount) throws IOException {
        this(directory, routerCount, DRAIN_SECONDS);
    }

    TestFleet(Path directory, int routerCount, int drainSeconds) throws IOException {
        this.deployment = new StandInDeployment(DeploymentKind.AUTHORITY, directory, ENGINE_SETTINGS, 5);
        for (int i = 0; i < routerCount; i++) {
            routers.add(new Router(settings(directory, i, drainSeconds), Clock.systemUTC()));
        }
        deployment.engines().forEach(this::loadPools);
        applyRecords(exampleRecords());
        await(() -> routers.stream().allMatch(this::isReady));
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

    WriteResult applyRecords(List<RecordDocument> documents) {
        HttpTableService tables =
                new HttpTableService(runtime.client(), deployment.platformAddress(), Duration.ofSeconds(5));
        return new ConfigurationWriter(
                        tables, Clock.systemUTC(), () -> UUID.randomUUID().toString())
                .apply(documents, "test", OptionalLong.empty())
                .blockOptional(TIMEOUT)
                .orElseThrow();
    }

    JsonNode status(int index) {
        return getJson(address(index) + "/v1/status");
    }

    /**
     * Waits until a condition holds. The long timeout only ends a test that hangs; tests must not depend on how long
     * the wait takes.
     */
    static void await(BooleanSupplier condition) {
        long deadline = System.nanoTime() + TIMEOUT.toNanos();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - deadline > 0) {
                throw new AssertionError("the fleet did not reach the expected state before the timeout");
            }
            Mono.delay(Duration.ofMillis(POLL_INTERVAL_MILLIS)).block();
        }
    }

    @Override
    public void close() {
        routers.forEach(Router::close);
        deployment.close();
        runtime.close();
    }

    private JsonNode getJson(String address) {
        return runtime.client()
                .get()
                .uri(address)
                .responseSingle((response, content) -> content.asByteArray())
                .map(HttpJson::parse)
                .blockOptional(TIMEOUT)
                .orElseThrow();
    }

    private void loadPools(EngineStandIn engine) {
        for (String pool : List.of("atlas@1", "atlas:passbook@1")) {
            byte[] order = HttpJson.serialize(Map.of("type", "load", "pool", pool, "epoch", 1, "revision", 0));
            runtime.client()
                    .post()
                    .uri("http://127.0.0.1:" + engine.port() + "/v1/orders")
                    .send((request, outbound) -> outbound.sendByteArray(Mono.just(order)))
                    .responseSingle((response, content) -> content.asByteArray())
                    .block(TIMEOUT);
        }
    }

    private boolean isReady(Router router) {
        JsonNode status = getJson("http://127.0.0.1:" + router.port() + "/v1/status");
        boolean all = status.path("ready").asBoolean()
                && status.path("revision").asLong() > 0
                && status.path("routers").size() == routers.size();
        for (JsonNode endpoint : status.path("endpoints")) {
            all &= "READY".equals(endpoint.path("state").asText())
                    && !endpoint.path("pools").isEmpty();
        }
        return all && status.path("endpoints").size() > 0;
    }

    private RouterSettings settings(Path directory, int index, int drainSeconds) {
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
                                "--drain-seconds",
                                Integer.toString(drainSeconds),
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

    private static List<RecordDocument> exampleRecords() throws IOException {
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
