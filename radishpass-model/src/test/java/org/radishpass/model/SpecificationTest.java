package org.radishpass.model;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import edu.mit.csail.sdg.alloy4.A4Reporter;
import edu.mit.csail.sdg.ast.Command;
import edu.mit.csail.sdg.parser.CompModule;
import edu.mit.csail.sdg.parser.CompUtil;
import edu.mit.csail.sdg.translator.A4Options;
import edu.mit.csail.sdg.translator.TranslateAlloyToKodkod;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import kodkod.engine.satlab.SATFactory;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Checks each Alloy specification. The invariant must hold, the model must have at least one behaviour, and a mutant in
 * which the rule is weakened must violate the invariant.
 */
final class SpecificationTest {
    private static final Path SPECIFICATIONS = Path.of("src", "main", "alloy");

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "at-most-once | pred maySend[a: Attempt] { a in Knows } | pred maySend[a: Attempt] { a in Asked }",
                "lease-orders | plus[Times.heldFrom[h], minus[term, orderLife]] | plus[Times.heldFrom[h], term]",
                "configuration | { no r.inForce or gt[offered, r.inForce] } | { some offered }",
            })
    void theInvariantHoldsOnlyWithTheRule(String name, String rule, String mutant) throws IOException {
        String specification = Files.readString(SPECIFICATIONS.resolve(name + ".als"));
        assertThat(specification).contains(rule);

        assertWithMessage("a counterexample to the invariant")
                .that(satisfiable(specification, true))
                .isFalse();
        assertWithMessage("an example of a behaviour of the model")
                .that(satisfiable(specification, false))
                .isTrue();
        assertWithMessage("a counterexample to the invariant once the rule is weakened")
                .that(satisfiable(specification.replace(rule, mutant), true))
                .isTrue();
    }

    private static boolean satisfiable(String specification, boolean check) {
        CompModule module = CompUtil.parseEverything_fromString(A4Reporter.NOP, specification);
        A4Options options = new A4Options();
        options.solver = SATFactory.get("sat4j");
        Command command = module.getAllCommands().stream()
                .filter(candidate -> candidate.check == check)
                .findFirst()
                .orElseThrow();
        return TranslateAlloyToKodkod.execute_command(A4Reporter.NOP, module.getAllReachableSigs(), command, options)
                .satisfiable();
    }
}
