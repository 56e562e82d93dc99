package org.radishpass.routing.control;

/**
 * Bundles the trackers of what a router knows of its deployment. All of them belong to the control thread.
 *
 * @param configuration tracks the configuration in force
 * @param directory tracks the endpoints
 * @param drains tracks the drained data centres, whose endpoints get no new requests
 * @param storeClock relates the store's clock to this router's clock
 * @param era the era of the store
 * @param streamVersions tracks the software versions at which streams may have begun
 */
record ControlState(
        ConfigurationTracker configuration,
        DirectoryTracker directory,
        DrainTracker drains,
        StoreClock storeClock,
        StoreEra era,
        StreamVersionTracker streamVersions) {}
