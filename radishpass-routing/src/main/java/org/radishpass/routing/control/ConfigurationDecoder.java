package org.radishpass.routing.control;

import org.radishpass.routing.config.RoutingConfiguration;

/**
 * Decodes the configuration document that the operator of a deployment publishes.
 *
 * @since 0.2.0
 */
@FunctionalInterface
public interface ConfigurationDecoder {
    /**
     * Decodes a configuration document.
     *
     * @param content the document; nobody modifies the array after this call
     * @throws MalformedDocumentException if the document cannot be decoded
     */
    RoutingConfiguration decode(byte[] content);
}
