package org.radishpass.routing.control;

import static net.logstash.logback.argument.StructuredArguments.kv;

import java.time.Duration;
import org.radishpass.routing.event.LogEvent;
import org.radishpass.routing.traffic.MonotonicClock;
import org.radishpass.runtime.thread.ControlThread;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps the configuration and the endpoint list in step with the store, as far as this router's {@link ReadingDuty} goes. Runs
 * on the control thread.
 *
 * <p>The configuration is waited for ({@link ConfigurationFollower}), the list of endpoints is read at a fixed pace ({@link
 * ListFollower}). Each reading also tells the store's newest revision; if the wait has not come as far, it is checked apart.
 */
final class StoreFollower {
    private static final Logger LOG = LoggerFactory.getLogger(StoreFollower.class);

    /** Milliseconds between looks at this router's duty: a fraction of the time after which a list is stale. */
    private static final long LOOK_MILLIS = 150;

    private final ControlThread thread;
    private final MonotonicClock clock;
    private final ConfigurationTracker configuration;
    private final DirectoryTracker directory;
    private final StoreClock storeClock;
    private final UnusableEntries unusable;
    private final StoreReadings readings;
    private final Listener listener;
    private final ConfigurationFollower configurations;
    private final ListFollower list;

    StoreFollower(
            ControlThread thread,
            MonotonicClock clock,
            ControlSource source,
            FleetView fleet,
            UnusableEntries unusable,
            StoreReadings readings,
            Listener listener) {
        this.thread = thread;
        this.clock = clock;
        this.configuration = fleet.configuration();
        this.directory = fleet.directory();
        this.storeClock = fleet.storeClock();
        this.unusable = unusable;
        this.readings = readings;
        this.listener = listener;
        this.configurations = new ConfigurationFollower(thread, clock, source, new ConfigurationNews());
        this.list = new ListFollower(thread, clock, source, new ListNews());
    }

    void start() {
        configurations.start();
        list.start();
        thread.every(Duration.ofMillis(LOOK_MILLIS), configurations::followIfDue);
    }

    /**
     * The store was restored from a snapshot: what is known of it is read anew.
     *
     * @param turn how long this router lets others read first
     */
    void storeRestored(Duration turn) {
        configurations.storeRestored(turn);
        if (turn.isZero()) {
            list.readSoon();
        }
    }

    /** Tells whether the configuration and the list of endpoints are known, or on their way from the store. */
    boolean arriving() {
        boolean configurationComes = configuration.version() >= 0 || configurations.receiving();
        return configurationComes && (directory.known() || !directory.trouble());
    }

    /** Takes a document from the store or from a peer. */
    void offer(byte[] content, String origin) {
        long before = configuration.version();
        try {
            if (configuration.offer(content)) {
                LOG.info(
                        "configuration {} is in force instead of {}, from {}",
                        configuration.version(),
                        before,
                        origin,
                        LogEvent.CONFIGURATION.field(),
                        kv("version", configuration.version()));
                listener.configurationChanged();
            }
        } catch (MalformedDocumentException e) {
            LOG.error("a configuration from {} cannot be read; {} stays in force", origin, before, e);
        }
    }

    private void take(DirectoryReading.Listed listed, long askedAtMillis) {
        storeClock.observed(askedAtMillis, clock.millis(), listed.storeMillis());
        listener.eraRead(listed.position().era());
        if (directory.trouble()) {
            LOG.info("the store answers again", LogEvent.STORE_BACK.field());
            listener.storeBack();
        }
        readings.read(
                directory.useOf(listed.position()),
                listed.position(),
                directory.reading().position());
        if (directory.listed(listed, askedAtMillis)) {
            LOG.info(
                    "{} endpoints are listed",
                    listed.endpoints().size(),
                    LogEvent.ENDPOINTS.field(),
                    kv("position", listed.position().toString()),
                    kv("settled", directory.reading().settled()));
        }
        unusable.read(listed.unusable());
        listener.directoryRead();
    }

    /** Hears what the store has. */
    private final class ConfigurationNews implements ConfigurationFollower.Listener {
        @Override
        public boolean readsConfiguration() {
            return listener.duty().readsConfiguration();
        }

        @Override
        public void drains(DrainReading reading) {
            listener.drains(reading);
        }

        @Override
        public void published(byte[] content) {
            offer(content, "store");
        }

        @Override
        public void arrivalChanged() {
            if (configuration.version() < 0) {
                listener.arrivalChanged();
            }
        }
    }

    /** Hears what came of readings of the list. */
    private final class ListNews implements ListFollower.Listener {
        @Override
        public boolean readsList() {
            return !directory.known() || listener.duty().readsDirectory();
        }

        @Override
        public void listed(DirectoryReading.Listed listed, long askedAtMillis) {
            take(listed, askedAtMillis);
            configurations.check(listed.position());
        }

        @Override
        public void listUnavailable(String reason) {
            if (directory.failed()) {
                LOG.warn("the store does not answer: {}", reason, LogEvent.STORE_LOST.field());
            }
            configurations.restartWait();
        }
    }

    /** Hears of what was read; called on the control thread. */
    interface Listener {
        /** The first configuration is on its way, or is not any more. */
        void arrivalChanged();

        /** The store says this of data centres that are to get nothing new. */
        void drains(DrainReading reading);

        /** There is a newer configuration. */
        void configurationChanged();

        /** The endpoints have been read. */
        void directoryRead();

        /** The store answers again. */
        void storeBack();

        /** The store has answered in this era. */
        void eraRead(long era);

        /** Tells what this router has to read now. */
        ReadingDuty duty();
    }
}
