package frostrelay;

import static com.tngtech.archunit.base.DescribedPredicate.not;
import static com.tngtech.archunit.core.domain.JavaClass.Predicates.resideInAnyPackage;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;

import org.junit.jupiter.api.Test;

/** What may use what. A reader sees it from the tree, and this keeps the tree true. */
class ArchitectureTest {
    private static final JavaClasses PRODUCTION_CLASSES =
            new ClassFileImporter()
                    .withImportOption(new ImportOption.DoNotIncludeTests())
                    .importPackages("frostrelay");

    /**
     * Decisions read no clock and know no thread, socket or file: they run alike on sockets and in
     * simulated time.
     */
    @Test
    void decisionsDoNoInputOrOutput() {
        classes()
                .that()
                .resideInAnyPackage("frostrelay.policy..", "frostrelay.settings..")
                .should()
                .onlyDependOnClassesThat()
                .resideInAnyPackage(
                        "frostrelay.policy..",
                        "frostrelay.settings..",
                        "java.lang",
                        "java.lang.invoke",
                        "java.util",
                        "java.util.function",
                        "java.util.stream",
                        "com.tdunning.math.stats..")
                .check(PRODUCTION_CLASSES);
        noClasses()
                .that()
                .resideInAnyPackage("frostrelay.policy..", "frostrelay.settings..")
                .should()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .orShould()
                .dependOnClassesThat()
                .areAssignableTo(Thread.class)
                .check(PRODUCTION_CLASSES);
    }

    /** Likewise who is there and what each acts on; only the audit's store touches files. */
    @Test
    void gossipAndAuditDoNoInputOrOutput() {
        classes()
                .that()
                .resideInAPackage("frostrelay.peers..")
                .should()
                .onlyDependOnClassesThat()
                .resideInAnyPackage(
                        "frostrelay.peers..",
                        "java.lang",
                        "java.lang.invoke",
                        "java.lang.runtime",
                        "java.util",
                        "java.util.function",
                        "java.util.stream",
                        "java.util.zip",
                        "java.nio")
                .check(PRODUCTION_CLASSES);
        noClasses()
                .that()
                .resideInAnyPackage(
                        "frostrelay.peers..",
                        "frostrelay.stragglers..",
                        "frostrelay.judgements..",
                        "frostrelay.audit",
                        "frostrelay.audit.fleet")
                .should()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .orShould()
                .dependOnClassesThat()
                .areAssignableTo(Thread.class)
                .orShould()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "java.nio.file..", "java.nio.channels..", "java.net..", "io.netty..")
                .check(PRODUCTION_CLASSES);
    }

    @Test
    void theBalancerKnowsNothingOfStandInsAndCommands() {
        noClasses()
                .that()
                .resideInAnyPackage(
                        "frostrelay.node..",
                        "frostrelay.console..",
                        "frostrelay.lifecycle..",
                        "frostrelay.log..",
                        "frostrelay.peers..",
                        "frostrelay.audit..",
                        "frostrelay.stragglers..",
                        "frostrelay.judgements..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "frostrelay.rig..",
                        "frostrelay.start..",
                        "frostrelay.cli..",
                        "frostrelay.config..",
                        "frostrelay.adapter..",
                        "picocli..",
                        "org.tomlj..",
                        "org.HdrHistogram..",
                        "org.apache.commons..")
                .check(PRODUCTION_CLASSES);
    }

    /**
     * What watches and plays the balancer's peers shares no code with it: a fault of both would not
     * be seen.
     */
    @Test
    void standInsAndInvariantCheckerShareNothingWithTheBalancer() {
        noClasses()
                .that()
                .resideInAPackage("frostrelay.rig..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "frostrelay.node..",
                        "frostrelay.policy..",
                        "frostrelay.console..",
                        "frostrelay.lifecycle..",
                        "frostrelay.cli..",
                        "frostrelay.peers..",
                        "frostrelay.audit..",
                        "frostrelay.stragglers..",
                        "frostrelay.judgements..",
                        "frostrelay.start..")
                .check(PRODUCTION_CLASSES);
    }

    @Test
    void theInvariantCheckerDoesNoInputOrOutput() {
        noClasses()
                .that()
                .resideInAnyPackage("frostrelay.rig.referee..")
                .should()
                .dependOnClassesThat(
                        resideInAnyPackage("io.netty..", "java.net..", "java.io..", "java.nio.."))
                .check(PRODUCTION_CLASSES);
    }

    /**
     * Days are the same each time: no clock of the machine, and nothing of the outside, gets into
     * them.
     */
    @Test
    void theEmulatorLivesInItsOwnTime() {
        noClasses()
                .that()
                .resideInAPackage("frostrelay.emulator..")
                .and()
                .doNotHaveFullyQualifiedName("frostrelay.emulator.Emulation")
                .should()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .check(PRODUCTION_CLASSES);
        noClasses()
                .that()
                .resideInAPackage("frostrelay.emulator..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "io.netty..",
                        "java.net..",
                        "java.nio.file..",
                        "java.nio.channels..",
                        "frostrelay.node..",
                        "frostrelay.rig..")
                .check(PRODUCTION_CLASSES);
    }

    /** So that a second front and a second back can join. */
    @Test
    void requestHandlingNamesNoProtocol() {
        noClasses()
                .that()
                .haveNameMatching(
                        "frostrelay\\.node\\.(Balancer|Exchange|Attempt|Ask|Reply|Backend|ValueStream)"
                                + "(\\$.*)?")
                .should()
                .dependOnClassesThat()
                .haveNameMatching(
                        "frostrelay\\.node\\.(Meta.*|Command|ClientServer|HostPool)(\\$.*)?")
                .check(PRODUCTION_CLASSES);
    }

    @Test
    void noCyclesBetweenPackages() {
        slices().matching("frostrelay.(**)").should().beFreeOfCycles().check(PRODUCTION_CLASSES);
    }

    @Test
    void onlyTheCommandLinePrints() {
        noClasses()
                .that(not(resideInAnyPackage("frostrelay.cli..", "frostrelay.adapter..")))
                .should()
                .accessField(System.class, "out")
                .orShould()
                .accessField(System.class, "err")
                .check(PRODUCTION_CLASSES);
    }
}
