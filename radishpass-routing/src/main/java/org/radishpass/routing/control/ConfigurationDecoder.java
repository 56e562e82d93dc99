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
     * @param content the document
     * @throws MalformedDocumentException if it cannot be read
     */
    RoutingConfiguration decode(byte[] content);
}
