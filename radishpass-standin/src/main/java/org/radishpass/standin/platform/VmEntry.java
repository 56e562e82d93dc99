package org.radishpass.standin.platform;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A machine of the simulated deployment.
 *
 * @param id the machine's identifier
 * @param incarnation the identifier of this start of the machine
 * @param kind the kind: router, engine or runner
 * @param dataCentre the data centre in which the machine runs
 * @param host the host on which the machine listens
 * @param port the port on which the machine listens
 * @since 0.1.0
 */
public record VmEntry(String id, String incarnation, String kind, String dataCentre, String host, int port) {
    /**
     * Returns the entry as JSON for the VM list.
     *
     * @param shownHost the host under which the observer reaches the machine
     * @param shownPort the port under which the observer reaches the machine
     * @param leaving whether the platform is about to stop the machine
     */
    Map<String, Object> toJson(String shownHost, int shownPort, boolean leaving) {
        Map<String, Object> json = new LinkedHashMap<>();
        json.put("id", id);
        json.put("incarnation", incarnation);
        json.put("kind", kind);
        json.put("dataCentre", dataCentre);
        json.put("host", shownHost);
        json.put("port", shownPort);
        json.put("leaving", leaving);
        return json;
    }
}
