package org.radishpass.routing.control;

/**
 * A router's view of its deployment; each part belongs to the control thread.
 *
 * @param configuration the configuration in force
 * @param directory the endpoints
 * @param drains the data centres that get nothing new
 * @param storeClock how the store's clock relates to this router's
 * @param era the era of the store
 */
record FleetView(
        ConfigurationTracker configuration,
        DirectoryTracker directory,
        DrainTracker drains,
        StoreClock storeClock,
        StoreEra era) {}
