package org.radishpass.load.internal.drive;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.radishpass.runtime.http.HttpJson;

/**
 * Base URLs of the processes of a run.
 *
 * @param routers the routers' base URLs for callers
 * @param faultServer the base URL of the stand-ins' server for faults, audit and load samples
 * @param platform the platform's base URL
 * @since 0.1.0
 */
public record FleetAddresses(List<String> routers, String faultServer, String platform) {
    private static final String ROUTER_PORTS_FILE_SUFFIX = ".vm.json";

    /**
     * Reads the ports files of a run.
     *
     * @param runDirectory the directory of the ports files
     * @throws IOException if a ports file cannot be read
     */
    public static FleetAddresses read(Path runDirectory) throws IOException {
        JsonNode standIn = HttpJson.parse(Files.readAllBytes(runDirectory.resolve("standin.json")));
        List<String> routers = new ArrayList<>();
        try (Stream<Path> files = Files.list(runDirectory)) {
            for (Path file : files.filter(path -> path.toString().endsWith(ROUTER_PORTS_FILE_SUFFIX))
                    .sorted()
                    .toList()) {
                JsonNode router = HttpJson.parse(Files.readAllBytes(file));
                routers.add("http://" + router.path("host").asText() + ':'
                        + router.path("httpPort").asInt());
            }
        }
        return new FleetAddresses(
                List.copyOf(routers),
                standIn.path("faults").asText(),
                standIn.path("platform").asText());
    }
}
