package org.radishpass.dist;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

/** Checks that modules and packages depend only on the layers that the architecture permits. */
final class LayerTest {
    private static final String[] PROGRAMS = {
        "org.radishpass.router..",
        "org.radishpass.controller..",
        "org.radishpass.cli..",
        "org.radishpass.standin..",
        "org.radishpass.load.."
    };

    private final JavaClasses classes = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("org.radishpass");

    @Test
    void theCoreDependsOnNoOtherModuleAndDoesNoInputOrOutput() {
        noClasses()
                .that()
                .resideInAPackage("org.radishpass.core..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "org.radishpass.records..",
                        "org.radishpass.runtime..",
                        "org.radishpass.tables..",
                        "org.radishpass.peer..",
                        "reactor..",
                        "io.netty..",
                        "com.fasterxml..",
                        "org.slf4j..",
                        "java.net..",
                        "java.nio.file..")
                .check(classes);
    }

    @Test
    void theCoreReadsNoClockAndUsesNoThreads() {
        noClasses()
                .that()
                .resideInAPackage("org.radishpass.core..")
                .should()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .orShould()
                .callMethod(java.time.Instant.class, "now")
                .orShould()
                .dependOnClassesThat()
                .areAssignableTo(Thread.class)
                .check(classes);
    }

    @Test
    void programsDoNotDependOnEachOther() {
        slices().matching("org.radishpass.(router|controller|cli|standin|load)..")
                .should()
                .notDependOnEachOther()
                .check(classes);
    }

    @Test
    void librariesDoNotDependOnPrograms() {
        noClasses()
                .that()
                .resideInAnyPackage(
                        "org.radishpass.core..",
                        "org.radishpass.records..",
                        "org.radishpass.runtime..",
                        "org.radishpass.tables..",
                        "org.radishpass.peer..",
                        "org.radishpass.routing..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(PROGRAMS)
                .check(classes);
    }

    @Test
    void nothingDependsOnThePlatformAdapter() {
        noClasses()
                .that()
                .resideOutsideOfPackage("org.radishpass.platform..")
                .should()
                .dependOnClassesThat()
                .resideInAPackage("org.radishpass.platform..")
                .check(classes);
    }

    @Test
    void thePlatformAdapterDependsOnNoProgram() {
        noClasses()
                .that()
                .resideInAPackage("org.radishpass.platform..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(PROGRAMS)
                .check(classes);
    }

    @Test
    void routingDecisionsDoNotDependOnConnections() {
        noClasses()
                .that()
                .resideInAnyPackage(
                        "org.radishpass.routing.admission..",
                        "org.radishpass.routing.config..",
                        "org.radishpass.routing.connection..",
                        "org.radishpass.routing.fairness..",
                        "org.radishpass.routing.fleet..",
                        "org.radishpass.routing.handover..",
                        "org.radishpass.routing.health..",
                        "org.radishpass.routing.intake..",
                        "org.radishpass.routing.load..",
                        "org.radishpass.routing.memory..",
                        "org.radishpass.routing.performance..",
                        "org.radishpass.routing.placement..",
                        "org.radishpass.routing.report..",
                        "org.radishpass.routing.retry..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "org.radishpass.routing.traffic..",
                        "org.radishpass.routing.control..",
                        "io.netty..",
                        "reactor..",
                        "org.slf4j..")
                .check(classes);
    }

    @Test
    void routingClassesDoNotReadTheSystemClock() {
        noClasses()
                .that()
                .resideInAnyPackage("org.radishpass.routing..")
                .and()
                .doNotHaveSimpleName("MonotonicClock")
                .and()
                .doNotHaveSimpleName("StopSequence")
                .should()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .check(classes);
    }

    @Test
    void noProgramStartsProcesses() {
        noClasses()
                .should()
                .dependOnClassesThat()
                .areAssignableTo(ProcessBuilder.class)
                .orShould()
                .callMethod(Runtime.class, "exec", String[].class)
                .check(classes);
    }
}
