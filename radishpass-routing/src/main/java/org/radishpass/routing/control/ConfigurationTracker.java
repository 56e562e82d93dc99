package org.radishpass.routing.control;

import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.radishpass.routing.config.RoutingConfiguration;

/**
 * The configuration in force. It only ever goes to a higher version, whoever offers one. Belongs to the control thread.
 *
 * @since 0.2.0
 */
public final class ConfigurationTracker {
    private final ConfigurationDecoder decoder;
    private @Nullable RoutingConfiguration current;
    private byte[] content = {};

    /**
     * Creates a tracker that knows nothing.
     *
     * @param decoder reads documents
     */
    public ConfigurationTracker(ConfigurationDecoder decoder) {
        this.decoder = decoder;
    }

    /** Returns the version in force; -1 before the first. */
    public long version() {
        return current == null ? -1 : current.version();
    }

    /** Returns the configuration in force. */
    public Optional<RoutingConfiguration> current() {
        return Optional.ofNullable(current);
    }

    /** Returns the document in force, for peers. */
    public byte[] content() {
        return content.clone();
    }

    /**
     * Takes a document.
     *
     * @param offered the document
     * @return whether it is in force from now on
     * @throws MalformedDocumentException if it cannot be read; the one in force stays
     */
    public boolean offer(byte[] offered) {
        RoutingConfiguration configuration = decoder.decode(offered);
        if (configuration.version() <= version()) {
            return false;
        }
        current = configuration;
        content = offered.clone();
        return true;
    }
}
