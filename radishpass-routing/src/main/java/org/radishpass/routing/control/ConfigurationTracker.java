package org.radishpass.routing.control;

import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.radishpass.peer.document.DocumentHistory;
import org.radishpass.peer.document.SharedDocument;
import org.radishpass.routing.config.RoutingConfiguration;

/**
 * Holds the configuration in force. The version in force only increases, whichever source offers a document. Confined
 * to the control thread.
 *
 * @since 0.2.0
 */
public final class ConfigurationTracker {
    /**
     * Milliseconds within which an announced version should arrive. If it has not arrived by then, this router cannot
     * read it.
     */
    private static final long ANNOUNCED_VERSION_TIMEOUT_MILLIS = 10_000;

    private final ConfigurationDecoder decoder;
    private long newestAnnouncedVersion = -1;
    private long newerExpectedUntilMillis = Long.MIN_VALUE;
    private long unconfirmedUntilMillis = Long.MIN_VALUE;
    private @Nullable RoutingConfiguration current;
    private final DocumentHistory documents = new DocumentHistory();

    /**
     * Creates a tracker without a configuration.
     *
     * @param decoder decodes offered documents
     */
    public ConfigurationTracker(ConfigurationDecoder decoder) {
        this.decoder = decoder;
    }

    /**
     * Records that a peer has announced a configuration version.
     *
     * @param announcedVersion the version
     * @param nowMillis the current time on the monotonic clock, in milliseconds
     * @return whether the version is newer than the one in force and had not been announced before; always false before
     *     the first configuration
     */
    boolean noteAnnouncedVersion(long announcedVersion, long nowMillis) {
        if (current == null || announcedVersion <= Math.max(newestAnnouncedVersion, version())) {
            return false;
        }
        newestAnnouncedVersion = announcedVersion;
        newerExpectedUntilMillis = nowMillis + ANNOUNCED_VERSION_TIMEOUT_MILLIS;
        return true;
    }

    /**
     * Records that a configuration is about to come into force that was read so slowly that newer versions may have been
     * accepted meanwhile.
     *
     * @param nowMillis the current time on the monotonic clock, in milliseconds
     */
    void noteUnconfirmed(long nowMillis) {
        unconfirmedUntilMillis = nowMillis + ANNOUNCED_VERSION_TIMEOUT_MILLIS;
    }

    /**
     * Records that the store has confirmed that no newer configuration exists.
     *
     * @return whether this was unknown before
     */
    boolean noteConfirmed() {
        boolean unconfirmed = unconfirmedUntilMillis != Long.MIN_VALUE;
        unconfirmedUntilMillis = Long.MIN_VALUE;
        return unconfirmed;
    }

    /**
     * Returns until when a newer configuration is expected to arrive, because a peer has announced it or because the
     * configuration in force has not been confirmed, on the monotonic clock in milliseconds; {@link Long#MIN_VALUE} if
     * none is expected.
     */
    long newerExpectedUntilMillis() {
        long announced = newestAnnouncedVersion > version() ? newerExpectedUntilMillis : Long.MIN_VALUE;
        return Math.max(announced, unconfirmedUntilMillis);
    }

    /** Returns the version in force; -1 before the first configuration. */
    public long version() {
        return current == null ? -1 : current.version();
    }

    /** Returns the configuration in force; empty before the first one. */
    public Optional<RoutingConfiguration> current() {
        return Optional.ofNullable(current);
    }

    /** Returns the recent configuration documents, from which peers are served; the newest one is in force. */
    DocumentHistory documents() {
        return documents;
    }

    /**
     * Decodes an offered document and puts its configuration in force if its version is higher.
     *
     * @param offered the encoded document
     * @return whether the offered configuration was put in force
     * @throws MalformedDocumentException if the document cannot be decoded; the configuration in force stays unchanged
     */
    public boolean offer(byte[] offered) {
        SharedDocument document = SharedDocument.of(offered.clone());
        if (current != null && document.hash().equals(documents.newest().hash())) {
            return false; // Several peers offer the same document, and decoding 1,500 routes takes at least 10 ms.
        }
        RoutingConfiguration configuration = decode(document.bytes());
        if (configuration.version() <= version()) {
            return false;
        }
        current = configuration;
        documents.add(document);
        return true;
    }

    private RoutingConfiguration decode(byte[] content) {
        try {
            return decoder.decode(content);
        } catch (MalformedDocumentException e) {
            throw e;
        } catch (RuntimeException | Error e) {
            // the process goes on after an error of the decoder, so the document is rejected like any other
            throw new MalformedDocumentException("the decoder of configurations failed: " + e, e);
        }
    }
}
