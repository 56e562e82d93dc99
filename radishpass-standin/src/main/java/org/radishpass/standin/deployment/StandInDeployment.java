package org.radishpass.standin.deployment;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Clock;
import java.time.Duration;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.radishpass.runtime.http.HttpJson;
import org.radishpass.runtime.http.HttpRuntime;
import org.radishpass.runtime.http.Shutdown;
import org.radishpass.runtime.settings.PortsFile;
import org.radishpass.standin.engine.EngineFaults;
import org.radishpass.standin.engine.EngineSettings;
import org.radishpass.standin.engine.EngineStandIn;
import org.radishpass.standin.link.Network;
import org.radishpass.standin.platform.ObjectStoreStandIn;
import org.radishpass.standin.platform.PlatformServer;
import org.radishpass.standin.platform.TableFaults;
import org.radishpass.standin.platform.TableStandIn;
import org.radishpass.standin.platform.VmEntry;
import org.radishpass.standin.platform.VmListStandIn;
import org.radishpass.standin.platform.WeightStoreStandIn;
import org.radishpass.standin.service.ServiceFaults;
import org.radishpass.standin.service.ServiceStandIn;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.http.server.HttpServerRoutes;

/**
 * Platform, engines and services of one deployment in one process. Faults are injected over HTTP.
 *
 * @since 0.1.0
 */
public final class StandInDeployment implements AutoCloseable {
    private static final String HOST = "127.0.0.1";
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final Duration VM_LIST_REFRESH_PERIOD = Duration.ofMillis(300);
    private static final Duration LOAD_SAMPLE_PERIOD = Duration.ofMillis(100);

    private final ConcurrentHashMap<String, EngineStandIn> engines = new ConcurrentHashMap<>();
    private final ConcurrentHashMap<String, ServiceStandIn> services = new ConcurrentHashMap<>();
    private final ScheduledExecutorService scheduler = Executors.newSingleThreadScheduledExecutor();
    private final HttpRuntime runtime;
    private final TableStandIn table;
    private final VmListStandIn vms;
    private final Network network;
    private final PlatformServer platform;
    private final LoadSampler sampler = new LoadSampler(engines.values());
    private final DisposableServer faultServer;

    /**
     * Starts the stand-ins of a deployment and writes their ports file.
     *
     * @param kind the deployment
     * @param runDirectory the directory of the ports files
     * @param engineSettings the settings of the engines
     * @param seed the seed of the random generators
     * @throws IOException if the ports file cannot be written
     */
    public StandInDeployment(DeploymentKind kind, Path runDirectory, EngineSettings engineSettings, long seed)
            throws IOException {
        this.runtime = new HttpRuntime("standin", 3);
        this.table = new TableStandIn(seed);
        this.network = new Network(runtime.loops());
        this.vms = new VmListStandIn(kind.dataCentres(), runDirectory, network, Clock.systemUTC());
        this.platform = new PlatformServer(runtime, table, new ObjectStoreStandIn(), vms);
        startEndpoints(kind, engineSettings, seed);
        this.faultServer = runtime.server(HOST, 0).route(this::addRoutes).bindNow();
        var refreshTask = scheduler.scheduleAtFixedRate(
                vms::refresh, 0, VM_LIST_REFRESH_PERIOD.toMillis(), TimeUnit.MILLISECONDS);
        var samplingTask = scheduler.scheduleAtFixedRate(
                sampler::sample, LOAD_SAMPLE_PERIOD.toMillis(), LOAD_SAMPLE_PERIOD.toMillis(), TimeUnit.MILLISECONDS);
        if (refreshTask.isCancelled() || samplingTask.isCancelled()) {
            throw new IllegalStateException("could not schedule the VM list refresh and the load sampling");
        }
        writePortsFile(kind, runDirectory);
    }

    /** Returns the base URL of the platform. */
    public String platformAddress() {
        return "http://" + HOST + ':' + platform.port();
    }

    /** Returns the stand-in engines. */
    public Collection<EngineStandIn> engines() {
        return engines.values();
    }

    /** Returns the stand-in plain services. */
    public Collection<ServiceStandIn> services() {
        return services.values();
    }

    /** Returns the stand-in table service. */
    public TableStandIn table() {
        return table;
    }

    /** Returns the stand-in VM list. */
    public VmListStandIn vms() {
        return vms;
    }

    /** Returns the simulated network between the data centres. */
    public Network network() {
        return network;
    }

    /**
     * Returns the base URL under which a data centre reaches the platform.
     *
     * @param dataCentre the name of the data centre
     */
    public String platformAddress(String dataCentre) {
        return "http://" + HOST + ':' + network.observedPort(dataCentre, Network.PLATFORM, platform.port());
    }

    @Override
    public void close() {
        scheduler.shutdownNow();
        Shutdown.stop(faultServer, "the server of fault orders", Duration.ofSeconds(1));
        platform.close();
        engines.values().forEach(EngineStandIn::close);
        services.values().forEach(ServiceStandIn::close);
        network.close();
        runtime.close();
    }

    private void startEndpoints(DeploymentKind kind, EngineSettings engineSettings, long seed) {
        WeightStoreStandIn weights = new WeightStoreStandIn(Duration.ofMillis(60));
        String incarnation = Long.toString(Clock.systemUTC().millis(), Character.MAX_RADIX);
        long lastSeed = seed;
        for (String dataCentre : kind.dataCentres()) {
            for (int i = 1; i <= kind.engineCount(dataCentre); i++) {
                String id = "engine-" + dataCentre + '-' + i;
                EngineSettings settings = engineSettings.withRejectsStaleOrders(i % 2 == 1);
                EngineStandIn engine = new EngineStandIn(id, incarnation, settings, runtime, weights, ++lastSeed);
                engines.put(id, engine);
                vms.add(new VmEntry(id, incarnation, "engine", dataCentre, HOST, engine.port()));
            }
            String id = kind.serviceName() + '-' + dataCentre;
            ServiceStandIn service = new ServiceStandIn(id, incarnation, kind.serviceName(), runtime, ++lastSeed);
            services.put(id, service);
            vms.add(new VmEntry(id, incarnation, "runner", dataCentre, HOST, service.port()));
        }
    }

    private void writePortsFile(DeploymentKind kind, Path runDirectory) throws IOException {
        Map<String, String> platforms = new LinkedHashMap<>();
        kind.dataCentres().forEach(name -> platforms.put(name, platformAddress(name)));
        PortsFile.write(
                runDirectory.resolve("standin.json"),
                Map.of(
                        "platform",
                        platformAddress(),
                        "platforms",
                        platforms,
                        "faults",
                        "http://" + HOST + ':' + faultServer.port()));
    }

    private void addRoutes(HttpServerRoutes routes) {
        routes.put("/faults/table", jsonHandler(json -> table.faults(TableFaults.fromJson(json))))
                .put(
                        "/faults/list",
                        jsonHandler(json -> vms.lag(json.path("lagMillis").asLong())))
                .put("/faults/links", jsonHandler(this::updateLink))
                .put("/faults/leaving/{id}", this::updateLeaving)
                .put("/faults/engines/{id}", this::updateEngineFaults)
                .put("/faults/services/{id}", this::updateServiceFaults)
                .get("/audit", (request, response) -> HttpJson.send(response, OK, audit()))
                .get("/load", (request, response) -> HttpJson.send(response, OK, sampler.snapshot()))
                .put("/load/reset", jsonHandler(json -> sampler.reset()));
    }

    private static java.util.function.BiFunction<HttpServerRequest, HttpServerResponse, Publisher<Void>> jsonHandler(
            java.util.function.Consumer<JsonNode> action) {
        return (request, response) -> HttpJson.read(request).flatMap(json -> {
            action.accept(json);
            return Mono.from(HttpJson.send(response, OK, Map.of("done", true)));
        });
    }

    private void updateLink(JsonNode json) {
        network.setCut(
                json.path("one").asText(),
                json.path("other").asText(),
                json.path("cut").asBoolean());
    }

    private Publisher<Void> updateLeaving(HttpServerRequest request, HttpServerResponse response) {
        String id = String.valueOf(request.param("id"));
        return HttpJson.read(request).flatMap(json -> {
            vms.leaving(id, json.path("leaving").asBoolean(true));
            return Mono.from(HttpJson.send(response, OK, Map.of("done", true)));
        });
    }

    private Publisher<Void> updateEngineFaults(HttpServerRequest request, HttpServerResponse response) {
        EngineStandIn engine = engines.get(String.valueOf(request.param("id")));
        return HttpJson.read(request).flatMap(json -> {
            if (engine == null) {
                return Mono.from(HttpJson.send(response, BAD_REQUEST, Map.of("error", "no such engine")));
            }
            engine.faults(EngineFaults.fromJson(json));
            return Mono.from(HttpJson.send(response, OK, Map.of("done", true)));
        });
    }

    private Publisher<Void> updateServiceFaults(HttpServerRequest request, HttpServerResponse response) {
        ServiceStandIn service = services.get(String.valueOf(request.param("id")));
        return HttpJson.read(request).flatMap(json -> {
            if (service == null) {
                return Mono.from(HttpJson.send(response, BAD_REQUEST, Map.of("error", "no such service")));
            }
            service.faults(ServiceFaults.fromJson(json));
            service.leaving(json.path("leaving").asBoolean(false));
            return Mono.from(HttpJson.send(response, OK, Map.of("done", true)));
        });
    }

    private Map<String, Object> audit() {
        Map<String, Object> countsByEngine = new LinkedHashMap<>();
        engines.forEach((id, engine) -> countsByEngine.put(id, engine.audit().counts()));
        Map<String, Integer> runsByOrder = new LinkedHashMap<>();
        services.values()
                .forEach(service ->
                        service.runs().forEach((order, count) -> runsByOrder.merge(order, count, Integer::sum)));
        Map<String, Object> ordersByEngine = new LinkedHashMap<>();
        engines.forEach((id, engine) -> ordersByEngine.put(id, engine.orders()));
        return Map.of(
                "engines",
                countsByEngine,
                "orders",
                runsByOrder,
                "engineOrders",
                ordersByEngine,
                "table",
                table.counts());
    }
}
