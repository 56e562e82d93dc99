package org.radishpass.routing.control;

import static net.logstash.logback.argument.StructuredArguments.kv;

import java.time.Duration;
import java.util.concurrent.ThreadLocalRandom;
import org.radishpass.routing.event.LogEvent;
import org.radishpass.routing.traffic.MonotonicClock;
import org.radishpass.runtime.thread.ControlThread;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.core.Disposable;
import reactor.core.Disposables;

/**
 * Keeps the configuration and the endpoint list in step with the store. Runs on the control thread.
 *
 * <p>The configuration is waited for: the store answers when there is a newer one. The list of endpoints changes with
 * every heartbeat, so it is read at a fixed pace; a read that fails also ends the wait for the configuration, which may
 * hang on a connection that nobody serves any more.
 */
final class StoreFollower {
    private static final Logger LOG = LoggerFactory.getLogger(StoreFollower.class);

    /** Milliseconds between readings of the list; an endpoint that leaves must get nothing new after two seconds. */
    private static final long LIST_MILLIS = 900;

    /** Milliseconds between looks at whether another router still reads the list for all. */
    private static final long LOOK_AGAIN_MILLIS = 300;

    /** Milliseconds between tries while the store does not answer. */
    private static final long RETRY_MILLIS = 350;

    /** How long the store may hold a question for a newer configuration; most end earlier. */
    private static final Duration WAIT = Duration.ofSeconds(20);

    private final ControlThread thread;
    private final MonotonicClock clock;
    private final ControlSource source;
    private final ConfigurationTracker configuration;
    private final DirectoryTracker directory;
    private final Listener listener;
    private final Disposable.Swap waiting = Disposables.swap();
    private boolean reading;

    StoreFollower(
            ControlThread thread,
            MonotonicClock clock,
            ControlSource source,
            ConfigurationTracker configuration,
            DirectoryTracker directory,
            Listener listener) {
        this.thread = thread;
        this.clock = clock;
        this.source = source;
        this.configuration = configuration;
        this.directory = directory;
        this.listener = listener;
    }

    void start() {
        thread.run(this::readConfiguration);
        thread.run(this::readDirectory);
    }

    /** Reads the configuration as a whole, and then waits for the next one. */
    private void readConfiguration() {
        if (reading) {
            return;
        }
        reading = true;
        waiting.update(source.configuration().publishOn(thread.scheduler()).subscribe(this::configurationRead));
    }

    private void awaitConfiguration(long revision) {
        waiting.update(source.configurationAfter(revision, WAIT)
                .publishOn(thread.scheduler())
                .subscribe(this::configurationRead));
    }

    private void configurationRead(ConfigurationReading result) {
        reading = false;
        if (result instanceof ConfigurationReading.Published published) {
            offer(published.content(), "store");
            awaitConfiguration(published.revision());
        } else if (result instanceof ConfigurationReading.Unchanged unchanged) {
            awaitConfiguration(unchanged.revision());
        } else if (result instanceof ConfigurationReading.HistoryLost) {
            LOG.info("the store has lost its history; the configuration is read anew", LogEvent.STORE_HISTORY.field());
            readConfiguration();
        } else if (result instanceof ConfigurationReading.Unavailable unavailable) {
            LOG.debug("the configuration cannot be read: {}", unavailable.reason());
            thread.after(jittered(RETRY_MILLIS), this::readConfiguration);
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

    private void readDirectory() {
        if (listener.anotherReadsDirectory()) {
            thread.after(jittered(LOOK_AGAIN_MILLIS), this::readDirectory);
            return;
        }
        source.directory().publishOn(thread.scheduler()).subscribe(this::directoryRead);
    }

    private void directoryRead(DirectoryReading result) {
        if (result instanceof DirectoryReading.Listed listed) {
            listed(listed);
            thread.after(Duration.ofMillis(LIST_MILLIS), this::readDirectory);
        } else if (result instanceof DirectoryReading.Unavailable unavailable) {
            if (directory.failed()) {
                LOG.warn("the store does not answer: {}", unavailable.reason(), LogEvent.STORE_LOST.field());
            }
            restartWait();
            thread.after(jittered(RETRY_MILLIS), this::readDirectory);
        }
    }

    private void listed(DirectoryReading.Listed listed) {
        if (directory.trouble()) {
            LOG.info("the store answers again", LogEvent.STORE_BACK.field());
        }
        if (directory.listed(listed.revision(), listed.endpoints(), clock.millis())) {
            LOG.info(
                    "{} endpoints are listed",
                    listed.endpoints().size(),
                    LogEvent.ENDPOINTS.field(),
                    kv("revision", listed.revision()));
        }
        listener.directoryRead();
    }

    private void restartWait() {
        if (!reading) {
            readConfiguration();
        }
    }

    /** Spreads the calls of routers that started together. */
    private static Duration jittered(long millis) {
        return Duration.ofMillis(millis + ThreadLocalRandom.current().nextLong(millis / 8 + 1));
    }

    /** Hears of what was read; called on the control thread. */
    interface Listener {
        /** There is a newer configuration. */
        void configurationChanged();

        /** The endpoints have been read. */
        void directoryRead();

        /** Tells whether another router reads the endpoints for all. */
        boolean anotherReadsDirectory();
    }
}
