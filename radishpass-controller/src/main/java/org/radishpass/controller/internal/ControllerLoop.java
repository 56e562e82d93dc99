package org.radishpass.controller.internal;

import io.micrometer.core.instrument.MeterRegistry;
import java.time.Clock;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.radishpass.controller.ControllerSettings;
import org.radishpass.core.fleet.VmListing;
import org.radishpass.core.lease.LeaseRules;
import org.radishpass.records.Configuration;
import org.radishpass.runtime.http.HttpRuntime;
import org.radishpass.runtime.thread.ControlThread;
import org.radishpass.tables.configuration.ConfigurationStore;
import org.radishpass.tables.table.HttpTableService;
import org.radishpass.tables.vmlist.VmListClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.core.publisher.Mono;

/**
 * The rounds of a controller: configuration, list, leases, engines.
 *
 * @since 0.1.0
 */
public final class ControllerLoop implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(ControllerLoop.class);
    private static final Duration PLATFORM_PATIENCE = Duration.ofSeconds(2);

    private final ControlThread control = new ControlThread("control");
    private final ControllerSettings settings;
    private final ConfigurationStore store;
    private final VmListClient vmList;
    private final ShareLeases leases;
    private final Convergence convergence;
    private Configuration configuration = Configuration.empty();
    private List<VmListing> listings = List.of();
    private boolean stopping;

    /**
     * Creates the loop.
     *
     * @param settings the controller's settings
     * @param runtime event loops and clients
     * @param metrics where metrics are kept
     * @param clock tells the time
     */
    public ControllerLoop(ControllerSettings settings, HttpRuntime runtime, MeterRegistry metrics, Clock clock) {
        this.settings = settings;
        HttpTableService tables = new HttpTableService(runtime.client(), settings.platform(), PLATFORM_PATIENCE);
        this.store = new ConfigurationStore(tables);
        this.vmList = new VmListClient(runtime.client(), settings.platform(), settings.dataCentre(), PLATFORM_PATIENCE);
        String holder = settings.id() + '.' + Long.toString(clock.millis(), Character.MAX_RADIX);
        this.leases = new ShareLeases(
                holder,
                settings.dataCentre(),
                transaction -> tables.transact(transaction).publishOn(control.scheduler()),
                LeaseRules.DEFAULT,
                clock,
                System::nanoTime);
        this.convergence = new Convergence(
                settings.dataCentre(), leases, new EngineClient(runtime.client()), control, metrics, clock);
    }

    /** Starts the rounds. */
    public void start() {
        control.run(this::round);
        control.every(Duration.ofMillis(settings.roundMillis()), this::round);
    }

    /** Returns what the controller holds and what differs from the records. */
    public Mono<Map<String, Object>> status() {
        return control.call(() -> {
            Map<String, Object> status = new LinkedHashMap<>();
            status.put("id", settings.id());
            status.put("dataCentre", settings.dataCentre().name());
            status.put("revision", configuration.revision());
            status.put("shares", leases.heldShares());
            status.put("divergences", convergence.divergences());
            return status;
        });
    }

    /** Returns the newest orders. */
    public Mono<List<Map<String, Object>>> history() {
        return control.call(convergence::history);
    }

    /** Stops ordering and gives the leases back. */
    public Mono<Void> giveBack() {
        return control.call(() -> {
                    stopping = true;
                    return true;
                })
                .then(leases.giveBack());
    }

    @Override
    public void close() {
        control.close();
    }

    private void round() {
        if (stopping) {
            return;
        }
        refreshConfiguration();
        vmList.list()
                .publishOn(control.scheduler())
                .subscribe(
                        newer -> listings = newer.isEmpty() ? listings : newer,
                        error -> LOG.debug("the VM list did not answer: {}", error.getMessage()));
        leases.round()
                .publishOn(control.scheduler())
                .subscribe(
                        done -> {},
                        error -> LOG.warn("the leases could not be kept: {}", error.getMessage()),
                        () -> convergence.round(configuration, listings));
    }

    private void refreshConfiguration() {
        Mono<Configuration> newer = configuration.revision() == 0
                ? store.snapshot()
                : store.changesAfter(configuration.revision()).map(configuration::after);
        newer.publishOn(control.scheduler())
                .subscribe(
                        found -> configuration = found.revision() > configuration.revision() ? found : configuration,
                        error -> LOG.debug("the store did not answer: {}", error.getMessage()));
    }
}
