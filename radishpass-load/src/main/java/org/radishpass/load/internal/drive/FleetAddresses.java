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
 * Where the processes of a run answer.
 *
 * @param routers the routers' addresses for callers
 * @param faults where faults are switched and the audit is read
 * @param platform the platform's address
 * @since 0.1.0
 */
public record FleetAddresses(List<String> routers, String faults, String platform) {
    private static final String ROUTER_SUFFIX = ".vm.json";

    /**
     * Reads the ports files of a run.
     *
     * @param runDirectory where they are
     * @throws IOException if they cannot be read
     */
    public static FleetAddresses read(Path runDirectory) throws IOException {
        JsonNode standIn = HttpJson.parse(Files.readAllBytes(runDirectory.resolve("standin.json")));
        List<String> routers = new ArrayList<>();
        try (Stream<Path> files = Files.list(runDirectory)) {
            for (Path file : files.filter(path -> path.toString().endsWith(ROUTER_SUFFIX))
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
