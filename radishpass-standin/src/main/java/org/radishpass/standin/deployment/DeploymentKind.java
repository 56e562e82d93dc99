package org.radishpass.standin.deployment;

import java.util.List;
import java.util.Locale;
import java.util.Optional;

/**
 * The deployments that can be simulated, with their data centres and engine counts.
 *
 * @since 0.1.0
 */
public enum DeploymentKind {
    /** The deployment of the Jamaica Orbital Access Authority. */
    AUTHORITY("booking", "liguanea:2", "papine:2", "harbour:2", "portmore:2"),
    /** The deployment of the Granite Trough Feed Exchange. */
    GRANITE_TROUGH("orders", "rutland:4", "concord:3", "bangor:3", "worcester:3");

    private final String serviceName;

    /** The entries have the form NAME:COUNT, with the name of a data centre and its number of engines. */
    @SuppressWarnings("ImmutableEnumChecker") // always created by List.of
    private final List<String> dataCentresWithEngineCounts;

    DeploymentKind(String serviceName, String... dataCentresWithEngineCounts) {
        this.serviceName = serviceName;
        this.dataCentresWithEngineCounts = List.of(dataCentresWithEngineCounts);
    }

    /** Returns the name of the plain service. Each data centre has one runner of this service. */
    public String serviceName() {
        return serviceName;
    }

    /** Returns the names of the data centres. */
    public List<String> dataCentres() {
        return dataCentresWithEngineCounts.stream()
                .map(entry -> entry.substring(0, entry.indexOf(':')))
                .toList();
    }

    /**
     * Returns the number of engines in a data centre; 0 for an unknown name.
     *
     * @param dataCentre the name of the data centre
     */
    public int engineCount(String dataCentre) {
        return dataCentresWithEngineCounts.stream()
                .filter(entry -> entry.startsWith(dataCentre + ':'))
                .mapToInt(entry -> Integer.parseInt(entry.substring(entry.indexOf(':') + 1)))
                .findFirst()
                .orElse(0);
    }

    /** Returns the name that is used in command-line flags and experiment files. */
    public String flagName() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /**
     * Finds a deployment by the name that is used in command-line flags.
     *
     * @param name the name, such as {@code granite-trough}
     */
    public static Optional<DeploymentKind> byFlagName(String name) {
        for (DeploymentKind kind : values()) {
            if (kind.flagName().equals(name)) {
                return Optional.of(kind);
            }
        }
        return Optional.empty();
    }
}
