package org.radishpass.standin.platform;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A machine of the stand-in deployment.
 *
 * @param id its identity
 * @param incarnation which start of it this is
 * @param kind router, engine or runner
 * @param dataCentre where it stands
 * @param host its address
 * @param port its port
 * @since 0.1.0
 */
public record VmEntry(String id, String incarnation, String kind, String dataCentre, String host, int port) {
    /**
     * Returns the entry as the list shows it.
     *
     * @param shownHost the address as the observer sees it
     * @param shownPort the port as the observer sees it
     * @param leaving whether the platform is about to stop it
     */
    Map<String, Object> json(String shownHost, int shownPort, boolean leaving) {
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
