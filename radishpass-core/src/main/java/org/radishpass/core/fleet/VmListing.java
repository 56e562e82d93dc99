package org.radishpass.core.fleet;

/**
 * One machine in the platform's list.
 *
 * @param id its identity
 * @param incarnation which start of it this is
 * @param kind what it is for
 * @param dataCentre where it stands
 * @param address where it answers, as seen from the data centre that asked
 * @param leaving whether the platform is about to stop it
 * @since 0.1.0
 */
public record VmListing(
        String id, String incarnation, VmKind kind, DataCentre dataCentre, Address address, boolean leaving) {}
