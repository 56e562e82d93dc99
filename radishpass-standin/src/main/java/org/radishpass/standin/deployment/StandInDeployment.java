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
 * One deployment's platform, engines and services in one process, with faults that are switched over HTTP.
 *
 * @since 0.1.0
 */
public final class StandInDeployment implements AutoCloseable {
    private static final String HOST = "127.0.0.1";
    private static final int OK = 200;
    private static final int BAD = 400;
    private static final Duration LIST_PERIOD = Duration.ofMillis(300);
    private static final Duration SAMPLE_PERIOD = Duration.ofMillis(100);

    private final ConcurrentHashMap<String, EngineStandIn> engines = new ConcurrentHashMap<>();
    private final ConcurrentHashMap<String, ServiceStandIn> services = new ConcurrentHashMap<>();
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
    private final HttpRuntime runtime;
    private final TableStandIn table;
    private final VmListStandIn vms;
    private final Network network;
    private final PlatformServer platform;
    private final LoadSampler sampler = new LoadSampler(engines.values());
    private final DisposableServer faultServer;

    /**
     * Starts a deployment.
     *
     * @param kind which one
     * @param runDirectory where routers write their ports
     * @param engineSettings how its engines behave
     * @param seed the seed of its chance
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
        this.faultServer = runtime.server(HOST, 0).route(this::routes).bindNow();
        var listing = timer.scheduleAtFixedRate(vms::refresh, 0, LIST_PERIOD.toMillis(), TimeUnit.MILLISECONDS);
        var sampling = timer.scheduleAtFixedRate(
                sampler::sample, SAMPLE_PERIOD.toMillis(), SAMPLE_PERIOD.toMillis(), TimeUnit.MILLISECONDS);
        if (listing.isCancelled() || sampling.isCancelled()) {
            throw new IllegalStateException("the timer did not start");
        }
        writePorts(kind, runDirectory);
    }

    /** Returns the platform's address. */
    public String platformAddress() {
        return "http://" + HOST + ':' + platform.port();
    }

    /** Returns the engines. */
    public Collection<EngineStandIn> engines() {
        return engines.values();
    }

    /** Returns the plain services. */
    public Collection<ServiceStandIn> services() {
        return services.values();
    }

    /** Returns the table service. */
    public TableStandIn table() {
        return table;
    }

    /** Returns the VM list. */
    public VmListStandIn vms() {
        return vms;
    }

    /** Returns the network between data centres. */
    public Network network() {
        return network;
    }

    /**
     * Returns the platform's address as a data centre sees it.
     *
     * @param dataCentre the data centre
     */
    public String platformAddress(String dataCentre) {
        return "http://" + HOST + ':' + network.port(dataCentre, Network.PLATFORM, platform.port());
    }

    @Override
    public void close() {
        timer.shutdownNow();
        faultServer.disposeNow(Duration.ofSeconds(1));
        platform.close();
        engines.values().forEach(EngineStandIn::close);
        services.values().forEach(ServiceStandIn::close);
        network.close();
        runtime.close();
    }

    private void startEndpoints(DeploymentKind kind, EngineSettings engineSettings, long seed) {
        WeightStoreStandIn weights = new WeightStoreStandIn(Duration.ofMillis(60));
        String incarnation = Long.toString(Clock.systemUTC().millis(), Character.MAX_RADIX);
        long nextSeed = seed;
        for (String dataCentre : kind.dataCentres()) {
            for (int i = 1; i <= kind.engines(dataCentre); i++) {
                String id = "engine-" + dataCentre + '-' + i;
                EngineSettings own = engineSettings.checkingOrders(i % 2 == 1);
                EngineStandIn engine = new EngineStandIn(id, incarnation, own, runtime, weights, ++nextSeed);
                engines.put(id, engine);
                vms.add(new VmEntry(id, incarnation, "engine", dataCentre, HOST, engine.port()));
            }
            String id = kind.service() + '-' + dataCentre;
            ServiceStandIn service = new ServiceStandIn(id, incarnation, kind.service(), runtime, ++nextSeed);
            services.put(id, service);
            vms.add(new VmEntry(id, incarnation, "runner", dataCentre, HOST, service.port()));
        }
    }

    private void writePorts(DeploymentKind kind, Path runDirectory) throws IOException {
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

    private void routes(HttpServerRoutes routes) {
        routes.put("/faults/table", json(json -> table.faults(TableFaults.of(json))))
                .put("/faults/list", json(json -> vms.lag(json.path("lagMillis").asLong())))
                .put("/faults/links", json(this::cutLink))
                .put("/faults/leaving/{id}", this::leaving)
                .put("/faults/engines/{id}", this::engineFaults)
                .put("/faults/services/{id}", this::serviceFaults)
                .get("/audit", (request, response) -> HttpJson.send(response, OK, audit()))
                .get("/load", (request, response) -> HttpJson.send(response, OK, sampler.view()))
                .put("/load/reset", json(json -> sampler.reset()));
    }

    private static java.util.function.BiFunction<HttpServerRequest, HttpServerResponse, Publisher<Void>> json(
            java.util.function.Consumer<JsonNode> action) {
        return (request, response) -> HttpJson.read(request).flatMap(json -> {
            action.accept(json);
            return Mono.from(HttpJson.send(response, OK, Map.of("done", true)));
        });
    }

    private void cutLink(JsonNode json) {
        network.cut(
                json.path("one").asText(),
                json.path("other").asText(),
                json.path("cut").asBoolean());
    }

    private Publisher<Void> leaving(HttpServerRequest request, HttpServerResponse response) {
        String id = String.valueOf(request.param("id"));
        return HttpJson.read(request).flatMap(json -> {
            vms.leaving(id, json.path("leaving").asBoolean(true));
            return Mono.from(HttpJson.send(response, OK, Map.of("done", true)));
        });
    }

    private Publisher<Void> engineFaults(HttpServerRequest request, HttpServerResponse response) {
        EngineStandIn engine = engines.get(String.valueOf(request.param("id")));
        return HttpJson.read(request).flatMap(json -> {
            if (engine == null) {
                return Mono.from(HttpJson.send(response, BAD, Map.of("error", "no such engine")));
            }
            engine.faults(EngineFaults.of(json));
            return Mono.from(HttpJson.send(response, OK, Map.of("done", true)));
        });
    }

    private Publisher<Void> serviceFaults(HttpServerRequest request, HttpServerResponse response) {
        ServiceStandIn service = services.get(String.valueOf(request.param("id")));
        return HttpJson.read(request).flatMap(json -> {
            if (service == null) {
                return Mono.from(HttpJson.send(response, BAD, Map.of("error", "no such service")));
            }
            service.faults(ServiceFaults.of(json));
            service.leaving(json.path("leaving").asBoolean(false));
            return Mono.from(HttpJson.send(response, OK, Map.of("done", true)));
        });
    }

    private Map<String, Object> audit() {
        Map<String, Object> byEngine = new LinkedHashMap<>();
        engines.forEach((id, engine) -> byEngine.put(id, engine.audit().counts()));
        Map<String, Integer> runs = new LinkedHashMap<>();
        services.values()
                .forEach(service -> service.runs().forEach((order, count) -> runs.merge(order, count, Integer::sum)));
        Map<String, Object> orders = new LinkedHashMap<>();
        engines.forEach((id, engine) -> orders.put(id, engine.orders()));
        return Map.of("engines", byEngine, "orders", runs, "engineOrders", orders, "table", table.counts());
    }
}
