package io.oleandermoor.command;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.Architectures.layeredArchitecture;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;

/** Guards against dependencies that run against the layers, and against cycles between packages. */
@AnalyzeClasses(packages = "io.oleandermoor", importOptions = ImportOption.DoNotIncludeTests.class)
class ArchitectureTest {

    @ArchTest
    void dependenciesFollowTheLayers(JavaClasses classes) {
        layeredArchitecture()
                .consideringOnlyDependenciesInLayers()
                .layer("state")
                .definedBy("io.oleandermoor.state..")
                .layer("coordination")
                .definedBy("io.oleandermoor.coordination..")
                .layer("protocol")
                .definedBy("io.oleandermoor.protocol..")
                .layer("transport")
                .definedBy("io.oleandermoor.transport..")
                .layer("daemon")
                .definedBy("io.oleandermoor.daemon..")
                .whereLayer("daemon")
                .mayNotBeAccessedByAnyLayer()
                .whereLayer("transport")
                .mayOnlyBeAccessedByLayers("daemon")
                .whereLayer("protocol")
                .mayOnlyBeAccessedByLayers("transport", "daemon")
                .whereLayer("coordination")
                .mayOnlyBeAccessedByLayers("protocol", "transport", "daemon")
                .check(classes);
    }

    @ArchTest
    void packagesHaveNoCycles(JavaClasses classes) {
        slices().matching("io.oleandermoor.(*).(*)..").should().beFreeOfCycles().check(classes);
    }

    @ArchTest
    void decisionsUseNoClockSocketOrLog(JavaClasses classes) {
        noClasses()
                .that()
                .resideInAPackage("io.oleandermoor.state..")
                .should()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .orShould()
                .dependOnClassesThat()
                .resideInAnyPackage("java.net..", "java.util.concurrent.locks..", "org.apache.logging..")
                .because("decisions are replayed, so time, sockets and logs stay outside")
                .check(classes);
    }
}
