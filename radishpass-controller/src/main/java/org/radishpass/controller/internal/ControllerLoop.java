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
 * The reconciliation loop of a controller.
 *
 * <p>Each round starts to refresh the configuration and the VM list, renews the leases, and then reconciles the engines
 * with the newest configuration and list received so far.
 *
 * @since 0.1.0
 */
public final class ControllerLoop implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(ControllerLoop.class);
    private static final Duration PLATFORM_TIMEOUT = Duration.ofSeconds(2);

    private final ControlThread control = new ControlThread("control");
    private final ControllerSettings settings;
    private final ConfigurationStore store;
    private final VmListClient vmList;
    private final ShareLeases leases;
    private final EngineReconciler reconciler;
    private Configuration configuration = Configuration.empty();
    private List<VmListing> listings = List.of();
    private boolean stopping;

    /**
     * Creates the loop without starting it.
     *
     * @param settings the settings of the controller
     * @param runtime the event loops and HTTP clients
     * @param metrics the registry that metrics are added to
     * @param clock the source of the wall-clock time
     */
    public ControllerLoop(ControllerSettings settings, HttpRuntime runtime, MeterRegistry metrics, Clock clock) {
        this.settings = settings;
        HttpTableService tables = new HttpTableService(runtime.client(), settings.platform(), PLATFORM_TIMEOUT);
        this.store = new ConfigurationStore(tables);
        this.vmList = new VmListClient(runtime.client(), settings.platform(), settings.dataCentre(), PLATFORM_TIMEOUT);
        String holder = settings.id() + '.' + Long.toString(clock.millis(), Character.MAX_RADIX);
        this.leases = new ShareLeases(
                holder,
                settings.dataCentre(),
                transaction -> tables.transact(transaction).publishOn(control.scheduler()),
                LeaseRules.DEFAULT,
                clock,
                System::nanoTime);
        this.reconciler = new EngineReconciler(
                settings.dataCentre(), leases, new EngineClient(runtime.client()), control, metrics, clock);
    }

    /** Runs the first round and schedules the following ones. */
    public void start() {
        control.run(this::runRound);
        control.schedulePeriodically(Duration.ofMillis(settings.roundMillis()), this::runRound);
    }

    /** Returns the held shares and the engines that diverge from the configuration records, for the status response. */
    public Mono<Map<String, Object>> status() {
        return control.call(() -> {
            Map<String, Object> status = new LinkedHashMap<>();
            status.put("id", settings.id());
            status.put("dataCentre", settings.dataCentre().name());
            status.put("revision", configuration.revision());
            status.put("shares", leases.heldShares());
            status.put("divergences", reconciler.divergences());
            return status;
        });
    }

    /** Returns the most recent orders, newest first. */
    public Mono<List<Map<String, Object>>> history() {
        return control.call(reconciler::history);
    }

    /** Stops the rounds and releases the leases. */
    public Mono<Void> releaseLeases() {
        return control.call(() -> {
                    stopping = true;
                    return true;
                })
                .then(leases.releaseAll());
    }

    @Override
    public void close() {
        control.close();
    }

    private void runRound() {
        if (stopping) {
            return;
        }
        refreshConfiguration();
        vmList.list()
                .publishOn(control.scheduler())
                .subscribe(
                        fetched -> listings = fetched.isEmpty() ? listings : fetched,
                        error -> LOG.debug(
                                "the VM list could not be fetched, the previous one stays in use: {}",
                                error.getMessage()));
        leases.runRound()
                .publishOn(control.scheduler())
                .subscribe(
                        ignored -> {},
                        error -> LOG.warn(
                                "the leases could not be renewed, no engine is reconciled in this round: {}",
                                error.getMessage()),
                        () -> reconciler.reconcile(configuration, listings));
    }

    private void refreshConfiguration() {
        Mono<Configuration> fetched = configuration.revision() == 0
                ? store.snapshot()
                : store.changesAfter(configuration.revision()).map(configuration::after);
        fetched.publishOn(control.scheduler())
                .subscribe(
                        received -> configuration =
                                received.revision() > configuration.revision() ? received : configuration,
                        error -> LOG.debug(
                                "the configuration could not be refreshed, the previous one stays in use: {}",
                                error.getMessage()));
    }
}
