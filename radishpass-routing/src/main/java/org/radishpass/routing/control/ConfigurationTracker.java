package org.radishpass.routing.control;

import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.radishpass.peer.document.DocumentHistory;
import org.radishpass.peer.document.SharedDocument;
import org.radishpass.routing.config.RoutingConfiguration;

/**
 * The configuration in force. It only ever goes to a higher version, whoever offers one. Belongs to the control thread.
 *
 * @since 0.2.0
 */
public final class ConfigurationTracker {
    /** Milliseconds within which a version comes that a router has heard of; one that has not cannot be read here. */
    private static final long COMES_WITHIN_MILLIS = 10_000;

    private final ConfigurationDecoder decoder;
    private long newestHeardOf = -1;
    private long newerExpectedUntilMillis = Long.MIN_VALUE;
    private @Nullable RoutingConfiguration current;
    private final DocumentHistory documents = new DocumentHistory();

    /**
     * Creates a tracker that knows nothing.
     *
     * @param decoder reads documents
     */
    public ConfigurationTracker(ConfigurationDecoder decoder) {
        this.decoder = decoder;
    }

    /**
     * Notes that a version exists.
     *
     * @param existing the version
     * @param nowMillis the time on the monotonic clock, in milliseconds
     * @return whether that is news, and the version is newer than the one in force
     */
    boolean heardOf(long existing, long nowMillis) {
        if (current == null || existing <= Math.max(newestHeardOf, version())) {
            return false;
        }
        newestHeardOf = existing;
        newerExpectedUntilMillis = nowMillis + COMES_WITHIN_MILLIS;
        return true;
    }

    /**
     * Returns until when a newer configuration is expected to come, on the monotonic clock in milliseconds; long ago if there is none that
     * this router has heard of.
     */
    long newerExpectedUntilMillis() {
        return newestHeardOf > version() ? newerExpectedUntilMillis : Long.MIN_VALUE;
    }

    /** Returns the version in force; -1 before the first. */
    public long version() {
        return current == null ? -1 : current.version();
    }

    /** Returns the configuration in force. */
    public Optional<RoutingConfiguration> current() {
        return Optional.ofNullable(current);
    }

    /** Returns the documents that were in force lately, for peers; the newest is in force. */
    DocumentHistory documents() {
        return documents;
    }

    /**
     * Takes a document.
     *
     * @param offered the document
     * @return whether it is in force from now on
     * @throws MalformedDocumentException if it cannot be read; the one in force stays
     */
    public boolean offer(byte[] offered) {
        SharedDocument document = SharedDocument.of(offered.clone());
        if (current != null && document.hash().equals(documents.newest().hash())) {
            return false; // several peers give the same; decoding it takes 10 ms and more for 1,500 routes
        }
        RoutingConfiguration configuration = decoder.decode(document.bytes());
        if (configuration.version() <= version()) {
            return false;
        }
        current = configuration;
        documents.add(document);
        return true;
    }
}
