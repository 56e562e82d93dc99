package org.radishpass.routing.control;

import static net.logstash.logback.argument.StructuredArguments.kv;

import java.time.Duration;
import org.radishpass.routing.event.LogEvent;
import org.radishpass.routing.traffic.MonotonicClock;
import org.radishpass.runtime.thread.ControlThread;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.core.Disposable;
import reactor.core.Disposables;

/**
 * Keeps the configuration and the endpoint list in step with the store, as far as this router's {@link ReadingDuty} goes. Runs
 * on the control thread.
 *
 * <p>The configuration is waited for: the store answers when there is a newer one. The list of endpoints is read at a fixed
 * pace. Each reading also tells the store's newest revision; if the wait for the configuration has not come as far, it is
 * checked apart, because that wait may hang on a connection that nobody serves any more.
 */
final class StoreFollower {
    private static final Logger LOG = LoggerFactory.getLogger(StoreFollower.class);

    /** Milliseconds between looks at this router's duty: a fraction of the time after which a list is stale. */
    private static final long LOOK_MILLIS = 150;

    /** How long the store may hold a question for a newer configuration; most end earlier. */
    private static final Duration WAIT = Duration.ofSeconds(20);

    private final ControlThread thread;
    private final MonotonicClock clock;
    private final ControlSource source;
    private final ConfigurationTracker configuration;
    private final DirectoryTracker directory;
    private final StoreClock storeClock;
    private final UnusableEntries unusable;
    private final Listener listener;
    private final RetryPause configurationPause = new RetryPause();
    private final ListFollower list;
    private final Disposable.Swap waiting = Disposables.swap();
    private boolean waitingNow;
    private boolean reading;
    private long configurationRevision = -1;

    StoreFollower(
            ControlThread thread,
            MonotonicClock clock,
            ControlSource source,
            ConfigurationTracker configuration,
            DirectoryTracker directory,
            StoreClock storeClock,
            UnusableEntries unusable,
            Listener listener) {
        this.thread = thread;
        this.clock = clock;
        this.source = source;
        this.configuration = configuration;
        this.directory = directory;
        this.storeClock = storeClock;
        this.unusable = unusable;
        this.listener = listener;
        this.list = new ListFollower(thread, clock, source, new ListNews());
    }

    void start() {
        thread.run(this::readConfiguration);
        list.start();
        thread.every(Duration.ofMillis(LOOK_MILLIS), this::followIfDue);
    }

    /** Waits for configurations if that is this router's duty now and it does not yet. */
    private void followIfDue() {
        if (reading || waitingNow || !listener.duty().readsConfiguration()) {
            return;
        }
        if (configurationRevision < 0) {
            readConfiguration();
        } else {
            awaitConfiguration();
        }
    }

    /** Reads the configuration as a whole. */
    private void readConfiguration() {
        reading = true;
        waiting.update(source.configuration().publishOn(thread.scheduler()).subscribe(this::configurationRead));
    }

    private void awaitConfiguration() {
        waitingNow = true;
        waiting.update(source.configurationAfter(configurationRevision, WAIT)
                .publishOn(thread.scheduler())
                .subscribe(this::configurationRead));
    }

    private void configurationRead(ConfigurationReading result) {
        reading = false;
        waitingNow = false;
        if (result instanceof ConfigurationReading.Unavailable unavailable) {
            LOG.debug("the configuration cannot be read: {}", unavailable.reason());
            reading = true;
            thread.after(configurationPause.next(), () -> {
                reading = false;
                followIfDue();
            });
            return;
        }
        configurationPause.reset();
        take(result);
        followIfDue();
    }

    private void take(ConfigurationReading result) {
        if (result instanceof ConfigurationReading.Published published) {
            configurationRevision = Math.max(configurationRevision, published.revision());
            offer(published.content(), "store");
        } else if (result instanceof ConfigurationReading.Unchanged unchanged) {
            configurationRevision = Math.max(configurationRevision, unchanged.revision());
        } else if (result instanceof ConfigurationReading.HistoryLost) {
            LOG.info("the store has lost its history; the configuration is read anew", LogEvent.STORE_HISTORY.field());
            configurationRevision = -1;
        }
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
        if (directory.trouble()) {
            LOG.info("the store answers again", LogEvent.STORE_BACK.field());
            listener.storeBack();
        }
        if (directory.listed(listed, askedAtMillis)) {
            LOG.info(
                    "{} endpoints are listed",
                    listed.endpoints().size(),
                    LogEvent.ENDPOINTS.field(),
                    kv("revision", listed.revision()),
                    kv("settled", directory.reading().settled()));
        }
        unusable.read(listed.unusable());
        listener.directoryRead();
    }

    /** Asks for a newer configuration without waiting, if the store's revision has risen beyond what is known of it. */
    private void checkConfiguration(long revision) {
        if (!waitingNow || revision <= configurationRevision) {
            return;
        }
        source.configurationAfter(configurationRevision, Duration.ZERO)
                .publishOn(thread.scheduler())
                .subscribe(this::take);
    }

    /** The wait for a configuration may hang as well: it is begun anew. */
    private void restartWait() {
        if (waitingNow) {
            waitingNow = false;
            awaitConfiguration();
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
            checkConfiguration(listed.revision());
        }

        @Override
        public void listUnavailable(String reason) {
            if (directory.failed()) {
                LOG.warn("the store does not answer: {}", reason, LogEvent.STORE_LOST.field());
            }
            restartWait();
        }
    }

    /** Hears of what was read; called on the control thread. */
    interface Listener {
        /** There is a newer configuration. */
        void configurationChanged();

        /** The endpoints have been read. */
        void directoryRead();

        /** The store answers again. */
        void storeBack();

        /** Tells what this router has to read now. */
        ReadingDuty duty();
    }
}
