package frostrelay;

import static com.tngtech.archunit.base.DescribedPredicate.not;
import static com.tngtech.archunit.core.domain.JavaClass.Predicates.resideInAnyPackage;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;

import org.junit.jupiter.api.Test;

import java.util.List;
import java.util.stream.Stream;

/** The allowed dependencies between packages. */
class ArchitectureTest {
    private static final String POLICY = "frostrelay.policy..";
    private static final String POLICY_SETTINGS = "frostrelay.settings..";
    private static final String GOSSIP = "frostrelay.gossip..";
    private static final String STALENESS = "frostrelay.staleness..";
    private static final String HEALTH_REPORTS = "frostrelay.healthreports..";
    private static final String CLUSTER_COUNTERS = "frostrelay.counters..";
    private static final String AUDIT = "frostrelay.audit..";
    private static final String AUDIT_MODEL = "frostrelay.audit";
    private static final String AUDIT_FLEET = "frostrelay.audit.fleet";
    private static final String NODE = "frostrelay.node..";
    private static final String NODE_CLIENT = "frostrelay.node.client..";
    private static final String NODE_PROXY = "frostrelay.node.proxy..";
    private static final String NODE_MEMCACHE = "frostrelay.node.memcache..";
    private static final String NODE_UPSTREAM = "frostrelay.node.upstream..";
    private static final String ADAPTER = "frostrelay.adapter..";
    private static final String OPERATOR_CONFIG = "frostrelay.config..";
    private static final String TESTBED = "frostrelay.testbed..";
    private static final String INVARIANTS = "frostrelay.testbed.invariants..";
    private static final String DEFECTS = "frostrelay.defects..";
    private static final String EMULATOR = "frostrelay.emulator..";
    private static final String COMMAND_LINE = "frostrelay.cli..";

    private static final List<String> NAMED_PACKAGES =
            List.of(
                    POLICY,
                    POLICY_SETTINGS,
                    GOSSIP,
                    STALENESS,
                    HEALTH_REPORTS,
                    CLUSTER_COUNTERS,
                    AUDIT,
                    AUDIT_MODEL,
                    AUDIT_FLEET,
                    NODE,
                    NODE_CLIENT,
                    NODE_PROXY,
                    NODE_MEMCACHE,
                    NODE_UPSTREAM,
                    ADAPTER,
                    OPERATOR_CONFIG,
                    TESTBED,
                    INVARIANTS,
                    DEFECTS,
                    EMULATOR,
                    COMMAND_LINE);
    private static final String[] DECISIONS = {POLICY, POLICY_SETTINGS};
    private static final String[] BALANCER = {
        NODE, GOSSIP, AUDIT, STALENESS, HEALTH_REPORTS, CLUSTER_COUNTERS
    };
    private static final String[] WITHOUT_INPUT_OR_OUTPUT = {
        GOSSIP, STALENESS, HEALTH_REPORTS, CLUSTER_COUNTERS, AUDIT_MODEL, AUDIT_FLEET
    };

    private static final JavaClasses ALL =
            new ClassFileImporter()
                    .withImportOption(new ImportOption.DoNotIncludeTests())
                    .importPackages("frostrelay");

    private static String[] with(String[] packages, String... more) {
        return Stream.concat(Stream.of(packages), Stream.of(more)).toArray(String[]::new);
    }

    /** A rule about a package that does not exist would check nothing. */
    @Test
    void everyNamedPackageExists() {
        List<String> missing =
                NAMED_PACKAGES.stream()
                        .filter(name -> ALL.stream().noneMatch(resideInAnyPackage(name)))
                        .toList();
        assertEquals(List.of(), missing);
    }

    /** Decisions run alike on sockets and in simulated time. */
    @Test
    void decisionsDoNoInputOrOutput() {
        classes()
                .that()
                .resideInAnyPackage(DECISIONS)
                .should()
                .onlyDependOnClassesThat()
                .resideInAnyPackage(
                        with(
                                DECISIONS,
                                "java.lang",
                                "java.lang.invoke",
                                "java.util",
                                "java.util.function",
                                "java.util.stream",
                                "com.tdunning.math.stats.."))
                .check(ALL);
        noClasses()
                .that()
                .resideInAnyPackage(DECISIONS)
                .should()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .orShould()
                .dependOnClassesThat()
                .areAssignableTo(Thread.class)
                .check(ALL);
    }

    /** Of the audit only its store touches files. */
    @Test
    void clusterStateDoesNoInputOrOutput() {
        classes()
                .that()
                .resideInAPackage(GOSSIP)
                .should()
                .onlyDependOnClassesThat()
                .resideInAnyPackage(
                        GOSSIP,
                        "java.lang",
                        "java.lang.invoke",
                        "java.lang.runtime",
                        "java.util",
                        "java.util.function",
                        "java.util.stream",
                        "java.util.zip",
                        "java.nio")
                .check(ALL);
        noClasses()
                .that()
                .resideInAnyPackage(WITHOUT_INPUT_OR_OUTPUT)
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
                .check(ALL);
    }

    @Test
    void theBalancerDoesNotDependOnTestbedOrCommandLine() {
        noClasses()
                .that()
                .resideInAnyPackage(BALANCER)
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        TESTBED,
                        DEFECTS,
                        COMMAND_LINE,
                        OPERATOR_CONFIG,
                        ADAPTER,
                        "picocli..",
                        "org.tomlj..",
                        "org.HdrHistogram..",
                        "org.apache.commons..")
                .check(ALL);
    }

    /** A fault in code that both used would not be seen by the checkers. */
    @Test
    void testbedSharesNoCodeWithTheBalancer() {
        noClasses()
                .that()
                .resideInAPackage(TESTBED)
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(with(BALANCER, POLICY, COMMAND_LINE, DEFECTS))
                .check(ALL);
    }

    @Test
    void theInvariantCheckerDoesNoInputOrOutput() {
        noClasses()
                .that()
                .resideInAnyPackage(INVARIANTS)
                .should()
                .dependOnClassesThat(
                        resideInAnyPackage("io.netty..", "java.net..", "java.io..", "java.nio.."))
                .check(ALL);
    }

    /** Runs are reproducible: nothing of the machine gets into them. */
    @Test
    void theEmulatorReadsNoClockOfTheMachine() {
        noClasses()
                .that()
                .resideInAPackage(EMULATOR)
                .and()
                .doNotHaveFullyQualifiedName("frostrelay.emulator.Emulation")
                .should()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .check(ALL);
        noClasses()
                .that()
                .resideInAPackage(EMULATOR)
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "io.netty..",
                        "java.net..",
                        "java.nio.file..",
                        "java.nio.channels..",
                        NODE,
                        TESTBED)
                .check(ALL);
    }

    /** So that a second protocol can be added. */
    @Test
    void theRequestLifeCycleNamesNoProtocol() {
        noClasses()
                .that()
                .resideInAPackage(NODE_PROXY)
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(NODE_MEMCACHE, NODE_CLIENT, NODE_UPSTREAM)
                .check(ALL);
    }

    @Test
    void noCyclesBetweenPackages() {
        slices().matching("frostrelay.(**)").should().beFreeOfCycles().check(ALL);
    }

    @Test
    void onlyTheCommandLinePrints() {
        noClasses()
                .that(not(resideInAnyPackage(COMMAND_LINE, ADAPTER)))
                .should()
                .accessField(System.class, "out")
                .orShould()
                .accessField(System.class, "err")
                .check(ALL);
    }
}
