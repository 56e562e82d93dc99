package org.radishpass.standin.deployment;

import java.util.List;
import java.util.Locale;
import java.util.Optional;

/**
 * The deployments of the users, at today's size.
 *
 * @since 0.1.0
 */
public enum DeploymentKind {
    /** Jamaica Orbital Access Authority. */
    AUTHORITY("booking", "liguanea:2", "papine:2", "harbour:2", "portmore:2"),
    /** Granite Trough Feed Exchange. */
    GRANITE_TROUGH("orders", "rutland:4", "concord:3", "bangor:3", "worcester:3");

    private final String service;

    @SuppressWarnings("ImmutableEnumChecker") // made by List.of alone
    private final List<String> places;

    DeploymentKind(String service, String... places) {
        this.service = service;
        this.places = List.of(places);
    }

    /** Returns the name of the plain service; one runner of it stands in each data centre. */
    public String service() {
        return service;
    }

    /** Returns the data centres. */
    public List<String> dataCentres() {
        return places.stream()
                .map(place -> place.substring(0, place.indexOf(':')))
                .toList();
    }

    /**
     * Returns the number of engines in a data centre.
     *
     * @param dataCentre the data centre
     */
    public int engines(String dataCentre) {
        return places.stream()
                .filter(place -> place.startsWith(dataCentre + ':'))
                .mapToInt(place -> Integer.parseInt(place.substring(place.indexOf(':') + 1)))
                .findFirst()
                .orElse(0);
    }

    /** Returns the name used in flags and files. */
    public String flagName() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /**
     * Finds a deployment by its name in flags.
     *
     * @param name the name
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
