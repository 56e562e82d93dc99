package org.radishpass.core.fleet;

/**
 * An entry of the platform's VM list.
 *
 * @param id the id of the machine
 * @param incarnation the incarnation of the machine, which changes with each restart
 * @param kind the purpose of the machine
 * @param dataCentre the data centre in which the machine runs
 * @param address the address of the machine, as seen from the data centre that requested the list
 * @param leaving whether the platform is about to stop the machine
 * @since 0.1.0
 */
public record VmListing(
        String id, String incarnation, VmKind kind, DataCentre dataCentre, Address address, boolean leaving) {}
