package org.radishpass.routing.fleet;

/**
 * The version of the software that an endpoint runs, which is not the version of the model weights that it has loaded. What
 * two software versions write into one stream does not fit together.
 *
 * @param name the name of the version, which has no order; empty if unknown
 * @since 0.10.0
 */
public record SoftwareVersion(String name) {
    /** The version of an endpoint of which none is known, such as one learned from a router of an earlier release. */
    public static final SoftwareVersion UNKNOWN = new SoftwareVersion("");

    /** Tells whether the version is known. */
    public boolean known() {
        return !name.isEmpty();
    }

    /** Tells whether both versions are known and equal. An unknown version equals none, also not another unknown one. */
    public boolean sameAs(SoftwareVersion other) {
        return known() && name.equals(other.name);
    }

    @Override
    public String toString() {
        return known() ? name : "unknown";
    }
}
