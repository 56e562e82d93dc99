package org.radishpass.core.fleet;

/**
 * A virtual machine that runs a router.
 *
 * @param id the identity in the platform's VM list
 * @param dataCentre where it stands
 * @param peer the address for messages between routers
 * @param leaving whether it has said, or the list has said, that it is stopping
 * @since 0.1.0
 */
public record Vm(String id, DataCentre dataCentre, Address peer, boolean leaving) {}
