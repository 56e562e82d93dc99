package org.radishpass.routing.control;

import static net.logstash.logback.argument.StructuredArguments.kv;

import java.time.Duration;
import org.radishpass.routing.event.LogEvent;
import org.radishpass.routing.traffic.MonotonicClock;
import org.radishpass.runtime.thread.ControlThread;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps the configuration and the endpoint list up to date with the store, as far as this router's {@link StoreReadScope}
 * requires. Runs on the control thread.
 *
 * <p>The configuration is long-polled ({@link ConfigurationFollower}), and the endpoint list is read at a fixed
 * interval ({@link EndpointListFollower}). Each read of the list also reveals the store's newest revision. If the long
 * poll has not reached that revision, the configuration is requested separately.
 */
final class StoreFollower {
    private static final Logger LOG = LoggerFactory.getLogger(StoreFollower.class);

    /** Milliseconds between checks of this router's read scope; a fraction of the time after which a list is stale. */
    private static final long DUTY_CHECK_INTERVAL_MILLIS = 150;

    private final ControlThread thread;
    private final MonotonicClock clock;
    private final ConfigurationTracker configuration;
    private final DirectoryTracker directory;
    private final StoreClock storeClock;
    private final UnusableEntries unusableEntries;
    private final StoreReadMonitor readMonitor;
    private final Listener listener;
    private final ConfigurationFollower configurationFollower;
    private final EndpointListFollower endpointListFollower;

    StoreFollower(
            ControlThread thread,
            MonotonicClock clock,
            ControlSource source,
            ControlState state,
            UnusableEntries unusableEntries,
            StoreReadMonitor readMonitor,
            Listener listener) {
        this.thread = thread;
        this.clock = clock;
        this.configuration = state.configuration();
        this.directory = state.directory();
        this.storeClock = state.storeClock();
        this.unusableEntries = unusableEntries;
        this.readMonitor = readMonitor;
        this.listener = listener;
        this.configurationFollower = new ConfigurationFollower(thread, clock, source, new ConfigurationListener());
        this.endpointListFollower = new EndpointListFollower(thread, clock, source, new EndpointListListener());
    }

    void start() {
        configurationFollower.start();
        endpointListFollower.start();
        thread.schedulePeriodically(
                Duration.ofMillis(DUTY_CHECK_INTERVAL_MILLIS), configurationFollower::pollIfResponsible);
    }

    /**
     * Handles a restore of the store from a snapshot by reading the store again.
     *
     * @param turn how long this router waits so that other routers can read first
     */
    void storeRestored(Duration turn) {
        configurationFollower.storeRestored(turn);
        if (turn.isZero()) {
            endpointListFollower.readNowIfDue();
        }
    }

    /** Tells whether the configuration and the endpoint list are known, or are being read from the store. */
    boolean knownOrReceiving() {
        boolean configurationArriving = configuration.version() >= 0 || configurationFollower.receiving();
        return configurationArriving && (directory.known() || !directory.lastReadFailed());
    }

    /** Applies a configuration document from the store or from a peer. */
    void offer(byte[] content, String origin) {
        long versionBefore = configuration.version();
        try {
            if (configuration.offer(content)) {
                LOG.info(
                        "configuration {} is in force instead of {}, from {}",
                        configuration.version(),
                        versionBefore,
                        origin,
                        LogEvent.CONFIGURATION.field(),
                        kv("version", configuration.version()));
                listener.configurationChanged();
            }
        } catch (MalformedDocumentException e) {
            LOG.error("cannot decode the configuration from {}; version {} stays in force", origin, versionBefore, e);
        }
    }

    private void applyEndpointList(DirectoryReadResult.Listed listed, long askedAtMillis) {
        storeClock.observed(askedAtMillis, clock.millis(), listed.storeMillis());
        listener.eraRead(listed.position().era());
        if (directory.lastReadFailed()) {
            LOG.info("the endpoint list can be read from the store again", LogEvent.STORE_BACK.field());
            listener.storeBack();
        }
        readMonitor.read(
                directory.useOfRead(listed.position()),
                listed.position(),
                directory.listVersion().position());
        if (directory.applyOwnRead(listed, askedAtMillis)) {
            LOG.info(
                    "the endpoint list has changed: the store lists {} endpoints",
                    listed.endpoints().size(),
                    LogEvent.ENDPOINTS.field(),
                    kv("position", listed.position().toString()),
                    kv("settled", directory.listVersion().settled()));
        }
        unusableEntries.read(listed.unusable());
        listener.directoryRead();
    }

    /** Forwards results of configuration requests. */
    private final class ConfigurationListener implements ConfigurationFollower.Listener {
        @Override
        public boolean readsConfiguration() {
            return listener.storeReadScope().readsConfiguration();
        }

        @Override
        public void drainsRead(DrainReport report) {
            listener.drains(report);
        }

        @Override
        public void configurationRead(byte[] content) {
            offer(content, "store");
        }

        @Override
        public void configurationUnconfirmed() {
            configuration.noteUnconfirmed(clock.millis());
        }

        @Override
        public void configurationConfirmed() {
            if (configuration.noteConfirmed()) {
                listener.receivingChanged();
            }
        }

        @Override
        public void receivingChanged() {
            if (configuration.version() < 0) {
                listener.receivingChanged();
            }
        }
    }

    /** Applies the results of endpoint-list reads. */
    private final class EndpointListListener implements EndpointListFollower.Listener {
        @Override
        public boolean readsList() {
            return !directory.known() || listener.storeReadScope().readsDirectory();
        }

        @Override
        public void listed(DirectoryReadResult.Listed listed, long askedAtMillis) {
            applyEndpointList(listed, askedAtMillis);
            configurationFollower.checkForNewer(listed.position());
        }

        @Override
        public void listUnavailable(DirectoryReadResult.Unavailable result, long askedAtMillis) {
            readMonitor.readFailed(result.failure());
            if (directory.noteReadFailure(result.failure(), askedAtMillis)) {
                LOG.warn(
                        "cannot read the endpoint list from the store, retrying: {}",
                        result.reason(),
                        result.failure().event().field(),
                        kv("failure", result.failure().label()));
            }
            configurationFollower.restartLongPoll();
        }
    }

    /** Receives changes of what was read from the store; called on the control thread. */
    interface Listener {
        /**
         * Called when the first configuration starts to arrive from the store, when a request for it fails, and when a
         * configuration has been confirmed.
         */
        void receivingChanged();

        /** Called with the data-centre drains that a response of the store reports. */
        void drains(DrainReport report);

        /** Called when a newer configuration is in force. */
        void configurationChanged();

        /** Called after the endpoints have been read. */
        void directoryRead();

        /** Called when the store responds again after a failed read. */
        void storeBack();

        /** Called with the era in which the store has responded. */
        void eraRead(long era);

        /** Returns what this router currently has to read from the store. */
        StoreReadScope storeReadScope();
    }
}
