package org.radishpass.records;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the parser for record files and its error messages. */
final class RecordFilesTest {
    private static final String KEYS = "{keys: [{salt: s, sha256: h}]";

    @Test
    void readsSeveralDocumentsOfOneText() {
        RecordFiles.ReadResult result = RecordFiles.read(
                "f",
                workspace("radishpass/v2", KEYS + "}") + "\n---\n"
                        + workspace("radishpass/v1", KEYS + ", maxInFlight: 3}"));

        assertThat(result.faults()).isEmpty();
        assertThat(result.documents()).hasSize(2);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "radishpass/v3 | " + KEYS + "} | apiVersion is \"radishpass/v3\"",
                "radishpass/v2 | {} | spec.keys is missing",
                "radishpass/v2 | " + KEYS
                        + ", limits: {inFlight: many}} | spec.limits.inFlight is \"many\"; write a whole",
                "radishpass/v2 | " + KEYS + ", limits: {inFlght: 3}} | spec.limits.inFlght is not known",
                "radishpass/v2 | " + KEYS + ", placement: {loadBound: 0.9}} | write a number above 1",
                "radishpass/v1 | " + KEYS + ", placement: {loadBound: 1.5}} | spec.placement is not known",
                "radishpass/v2 | {keys: [{salt: s}]} | spec.keys[0].sha256 is missing",
                "radishpass/v2 | " + KEYS + ", defaultClass: urgent} | write interactive, check or batch",
            })
    void invalidRecordIsReportedWithSourceAndExpectedValue(String version, String spec, String expected) {
        RecordFiles.ReadResult result = RecordFiles.read("file.yaml", workspace(version, spec));

        assertThat(result.faults()).hasSize(1);
        assertThat(result.faults().get(0)).contains(expected);
        assertThat(result.faults().get(0)).startsWith("file.yaml");
    }

    @Test
    void malformedYamlIsReportedWithSource() {
        List<String> errors = RecordFiles.read("file.yaml", "a: 1\nb: [\n").faults();

        assertThat(errors).hasSize(1);
        assertThat(errors.get(0)).startsWith("file.yaml:");
    }

    @Property(tries = 500, seed = "51")
    void arbitraryTextYieldsRecordsOrErrorsButNoException(@ForAll String text) {
        RecordFiles.ReadResult result = RecordFiles.read("f", text);

        assertThat(result.documents().isEmpty() || result.faults().isEmpty()).isTrue();
    }

    private static String workspace(String version, String spec) {
        return "apiVersion: " + version + "\nkind: Workspace\nname: desk\nspec: " + spec + "\n";
    }
}
