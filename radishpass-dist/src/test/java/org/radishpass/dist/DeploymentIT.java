package org.radishpass.dist;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Runs the smoke experiments with real processes on the loopback interface and checks the counts of the audit. */
final class DeploymentIT {
    private static final Path DISTRIBUTION = Path.of("target", "radishpass-dist", "radishpass");

    @TempDir
    private Path directory;

    @ParameterizedTest
    @ValueSource(strings = {"smoke-authority", "smoke-granite-trough"})
    void theAuditFindsNoLostDoubledCrossedOrCutRequest(String experiment) throws IOException, InterruptedException {
        Path json = directory.resolve("report.json");
        Path log = directory.resolve("log");

        int code = run(log, "run", DISTRIBUTION + "/experiments/" + experiment + ".yaml", "--json", json.toString());

        assertWithMessage(Files.readString(log)).that(code).isEqualTo(0);
        JsonNode report = new ObjectMapper().readTree(json.toFile());
        for (String count : new String[] {"lost", "doubled", "crossed", "cut", "falseNotRun"}) {
            assertWithMessage(count).that(report.path(count).asInt(-1)).isEqualTo(0);
        }
        assertThat(report.path("answered").asInt()).isGreaterThan(0);
        assertThat(report.path("requests").asInt())
                .isEqualTo(report.path("answered").asInt()
                        + report.path("refusals").asInt());
    }

    private static int run(Path log, String... arguments) throws IOException, InterruptedException {
        String[] command = new String[arguments.length + 2];
        command[0] = "bash";
        command[1] = DISTRIBUTION.resolve("bin/radishpass-load").toString();
        System.arraycopy(arguments, 0, command, 2, arguments.length);
        return new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(log.toFile())
                .start()
                .waitFor();
    }
}
