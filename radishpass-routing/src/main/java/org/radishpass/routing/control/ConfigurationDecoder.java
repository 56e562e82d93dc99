package org.radishpass.routing.control;

import org.radishpass.routing.config.RoutingConfiguration;

/**
 * Reads the document that a deployment's operator publishes.
 *
 * @since 0.2.0
 */
@FunctionalInterface
public interface ConfigurationDecoder {
    /**
     * Reads it.
     *
     * @param content the document; it is not changed any more, by anyone
     * @throws MalformedDocumentException if it cannot be read
     */
    RoutingConfiguration decode(byte[] content);
}
