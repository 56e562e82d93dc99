package org.radishpass.runtime.settings;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.kohsuke.args4j.Option;

/** Checks the parsing of flags and their environment variables, and the messages about invalid settings. */
final class SettingsParserTest {
    private static final List<String> VALID_ARGUMENTS =
            List.of("--id", "vm-1", "--data-centre", "papine", "--platform", "http://10.0.0.9:80");

    private final Example settings = new Example();
    private final SettingsParser parser = new SettingsParser(settings);

    @Test
    void flagsAreParsed() {
        assertThat(parser.parse(VALID_ARGUMENTS, Map.of())).isEmpty();
        assertThat(settings.id()).isEqualTo("vm-1");
        assertThat(settings.limit).isEqualTo(7);
    }

    @Test
    void aFlagOverridesItsEnvironmentVariable() {
        Map<String, String> environment = Map.of("RADISHPASS_LIMIT", "3", "RADISHPASS_ID", "other");

        assertThat(parser.parse(VALID_ARGUMENTS, environment)).isEmpty();
        assertThat(settings.limit).isEqualTo(3);
        assertThat(settings.id()).isEqualTo("vm-1");
    }

    @Test
    void everyInvalidSettingIsReportedOnItsOwnLine() {
        List<String> faults =
                parser.parse(List.of("--listen", "localhost", "--limit", "99", "--port", "70000"), Map.of());

        assertThat(faults)
                .containsExactly(
                        "--id is missing (or RADISHPASS_ID)",
                        "--data-centre is missing (or RADISHPASS_DATA_CENTRE)",
                        "--listen is 'localhost'; write an IP literal such as 10.1.2.3, not a name",
                        "--port is 70000; write 0 to 65535",
                        "--platform is missing (or RADISHPASS_PLATFORM)",
                        "--limit is 99; write 1 to 9");
    }

    @Test
    void aPlatformAddressWithAHostNameIsRejected() {
        List<String> faults =
                parser.parse(List.of("--id", "a", "--data-centre", "b", "--platform", "http://platform:80"), Map.of());

        assertThat(faults).hasSize(1);
        assertThat(faults.get(0)).contains("with an IP literal");
    }

    @Test
    void anUnknownFlagIsRejected() {
        assertThat(parser.parse(List.of("--lmit", "3"), Map.of())).hasSize(1);
    }

    @Test
    void helpNeedsNoOtherFlag() {
        assertThat(parser.parse(List.of("--help"), Map.of())).isEmpty();
        assertThat(parser.usage()).contains("--data-centre");
    }

    private static final class Example extends VmSettings {
        @Option(name = "--limit", usage = "a number")
        private int limit = 7;

        @Override
        protected void addFaults(List<String> faults) {
            SettingChecks.range("--limit", limit, 1, 9, faults);
        }
    }
}
