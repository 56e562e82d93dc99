package org.radishpass.core.fleet;

/**
 * A virtual machine that runs a router.
 *
 * @param id the id of the machine in the platform's VM list
 * @param dataCentre the data centre in which the machine runs
 * @param peer the address at which the router accepts messages from other routers
 * @param leaving whether the router itself or the VM list has announced that the router is stopping
 * @since 0.1.0
 */
public record Vm(String id, DataCentre dataCentre, Address peer, boolean leaving) {}
