package dapplequay.lab;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static org.assertj.core.api.Assertions.assertThat;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/** Checks which packages may depend on which; docs/ARCHITECTURE.md describes these rules. */
class ArchitectureTest {
    private static final String[] CORE = {"dapplequay", "dapplequay.settings", "dapplequay.facade",
        "dapplequay.lifecycle", "dapplequay.state", "dapplequay.recovery", "dapplequay.membership", "dapplequay.limits",
        "dapplequay.fairness", "dapplequay.discovery"};
    private static JavaClasses all;

    @BeforeAll
    static void read() {
        all = new ClassFileImporter().withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
                .importPackages("dapplequay");
        assertThat(all.contain("dapplequay.Balance")).isTrue();
        assertThat(all.contain("dapplequay.net.Sidecar")).isTrue();
        assertThat(all.contain("dapplequay.lab.cli.LabMain")).isTrue();
    }

    @Test
    void coreUsesNoSocketsFilesThreadsOrClocks() {
        noClasses().that().resideInAnyPackage(CORE).should().dependOnClassesThat()
                .resideInAnyPackage("java.net..", "java.nio.file..", "java.nio.channels..", "java.util.logging..",
                        "java.time..")
                .orShould().dependOnClassesThat().haveFullyQualifiedName("java.lang.Thread")
                .orShould().dependOnClassesThat().haveFullyQualifiedName("java.util.concurrent.Executor")
                .orShould().callMethod(System.class, "currentTimeMillis")
                .orShould().callMethod(System.class, "nanoTime").check(all);
    }

    @Test
    void coreDependsOnNoOtherModule() {
        noClasses().that().resideInAnyPackage(CORE).should().dependOnClassesThat()
                .resideInAnyPackage("dapplequay.net..", "dapplequay.benchlink..", "dapplequay.cli..",
                        "dapplequay.lab..").check(all);
    }

    @Test
    void networkCodeUsesTheFacadeAndNotTheDecisionModule() {
        noClasses().that().resideInAPackage("dapplequay.net..").should().dependOnClassesThat()
                .haveFullyQualifiedName("dapplequay.Balance")
                .orShould().dependOnClassesThat().haveFullyQualifiedName("dapplequay.BalancerApi$Actions").check(all);
    }

    @Test
    void managementDependsOnNoClientOrHostCode() {
        noClasses().that().resideInAPackage("dapplequay.management..").should().dependOnClassesThat()
                .resideInAnyPackage("dapplequay", "dapplequay.net..", "dapplequay.facade..", "dapplequay.cli..").check(all);
        noClasses().that().resideInAnyPackage("dapplequay.http..", "dapplequay.time..").should().dependOnClassesThat()
                .resideInAnyPackage("dapplequay", "dapplequay.net..", "dapplequay.facade..", "dapplequay.cli..",
                        "dapplequay.management..").check(all);
    }

    @Test
    void laboratoryDependsOnNoSidecarCode() {
        noClasses().that().resideInAPackage("dapplequay.lab..").should().dependOnClassesThat()
                .resideInAnyPackage("dapplequay", "dapplequay.settings..", "dapplequay.facade..", "dapplequay.net..",
                        "dapplequay.benchlink..", "dapplequay.cli..").check(all);
    }

    @Test
    void hostModelUsesNoClockThreadOrIo() {
        noClasses().that().resideInAPackage("dapplequay.lab.model..").should().dependOnClassesThat()
                .resideInAnyPackage("java.net..", "java.nio..", "java.io..", "java.time..", "dapplequay.lab.loop..",
                        "dapplequay.lab.fleet..")
                .orShould().dependOnClassesThat().haveFullyQualifiedName("java.lang.Thread")
                .orShould().callMethod(System.class, "currentTimeMillis")
                .orShould().callMethod(System.class, "nanoTime").check(all);
    }

    @Test
    void laboratoryPackagesDependInOneDirection() {
        classes().that().resideInAPackage("dapplequay.lab.model..").should().onlyBeAccessed()
                .byAnyPackage("dapplequay.lab.model..", "dapplequay.lab.fleet..", "dapplequay.lab.experiment..")
                .check(all);
        noClasses().that().resideInAPackage("dapplequay.lab.fleet..").should().dependOnClassesThat()
                .resideInAnyPackage("dapplequay.lab.load..", "dapplequay.lab.experiment..", "dapplequay.lab.report..")
                .check(all);
        noClasses().that().resideInAPackage("dapplequay.lab.load..").should().dependOnClassesThat()
                .resideInAnyPackage("dapplequay.lab.fleet..", "dapplequay.lab.experiment..", "dapplequay.lab.report..")
                .check(all);
        noClasses().that().resideInAPackage("dapplequay.lab.experiment..").should().dependOnClassesThat()
                .resideInAnyPackage("dapplequay.lab.report..", "dapplequay.lab.cli..").check(all);
    }
}
