package frostrelay.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import frostrelay.emulator.SystemModel.Fault;
import frostrelay.emulator.SystemModel.FaultKind;
import frostrelay.policy.Router;
import frostrelay.policy.api.EndpointState;
import frostrelay.policy.api.Idempotency;
import frostrelay.policy.api.PolicyActions;
import frostrelay.policy.api.PolicyEvents;
import frostrelay.policy.api.Server;

import org.junit.jupiter.api.Test;

import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.UnaryOperator;
import java.util.stream.IntStream;

/** Tests of complete runs with the real decision module. */
class EmulationTest {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long NANOS_PER_SECOND = 1_000 * NANOS_PER_MILLI;

    private static SystemModel model(long seed, List<Fault> faults) {
        return new SystemModel(
                seed,
                0,
                30 * NANOS_PER_SECOND,
                3,
                12,
                1,
                new SystemModel.Cache(
                        1,
                        64,
                        0,
                        400,
                        SystemModel.Eviction.LRU,
                        0.15,
                        10 * NANOS_PER_SECOND,
                        false,
                        true),
                new SystemModel.Origin(12, 60 * NANOS_PER_MILLI, 100, 3, 3 * NANOS_PER_SECOND),
                new SystemModel.Network(NANOS_PER_MILLI, NANOS_PER_MILLI, 0, 0),
                new SystemModel.Connections(false, 0, 0, 1, 1, 1, 1),
                new SystemModel.Clients(
                        300,
                        0,
                        NANOS_PER_SECOND,
                        0,
                        2_000,
                        0.95,
                        0,
                        2,
                        200 * NANOS_PER_MILLI,
                        0.7,
                        true,
                        0),
                new SystemModel.Balancer(100_000, 4, true),
                new SystemModel.Discovery(NANOS_PER_SECOND, 0, 0),
                List.of(),
                List.of(
                        new SystemModel.RequestClass(
                                0.95,
                                15 * NANOS_PER_MILLI,
                                SystemModel.WorkDistribution.EXPONENTIAL,
                                300 * NANOS_PER_MILLI,
                                1_500 * NANOS_PER_MILLI,
                                1,
                                Idempotency.IDEMPOTENT),
                        new SystemModel.RequestClass(
                                0.05,
                                20 * NANOS_PER_MILLI,
                                SystemModel.WorkDistribution.FIXED,
                                600 * NANOS_PER_MILLI,
                                2_500 * NANOS_PER_MILLI,
                                3,
                                Idempotency.NOT_IDEMPOTENT)),
                faults);
    }

    private static String describe(Emulation.Result result) {
        RunStatistics statistics = result.statistics();
        return String.format(
                Locale.ROOT,
                "%d %d %d %d %d %d %.9f %.3f %.3f %d %d %d %d %d",
                statistics.asked(),
                statistics.attemptCount(),
                statistics.inTime(),
                statistics.late(),
                statistics.rejected(),
                statistics.failed(),
                statistics.inTimeFraction(),
                statistics.latencyMillis(50),
                statistics.latencyMillis(99),
                result.executedEvents(),
                result.attemptsSent(),
                result.additionalAttempts(),
                result.hits(),
                result.originCalls());
    }

    @Test
    void theSameSeedReproducesARunAloneAndInParallel() {
        List<Fault> faults =
                List.of(
                        new Fault(
                                10 * NANOS_PER_SECOND,
                                3 * NANOS_PER_SECOND,
                                FaultKind.CACHE_SLOW,
                                0.3,
                                6));
        String alone = describe(Emulation.simulate(model(5, faults)));
        List<String> together =
                IntStream.range(0, 8)
                        .parallel()
                        .mapToObj(i -> describe(Emulation.simulate(model(5 + i % 2, faults))))
                        .toList();
        for (int i = 0; i < 8; i++) {
            assertEquals(
                    i % 2 == 0, alone.equals(together.get(i)), alone + " / " + together.get(i));
        }
        assertNotEquals(alone, describe(Emulation.simulate(model(5, List.of()))));
    }

    /**
     * Through every fault, each client request ends exactly once, no request that is not idempotent
     * runs twice, and the decision module leaves no request open.
     */
    @Test
    void noFaultViolatesAnInvariant() {
        List<Fault> faults = new ArrayList<>();
        for (FaultKind kind : FaultKind.values()) {
            faults.add(
                    new Fault(
                            (1 + 2L * kind.ordinal()) * NANOS_PER_SECOND,
                            2 * NANOS_PER_SECOND,
                            kind,
                            0.3,
                            3));
        }
        for (long seed = 1; seed <= 6; seed++) {
            Emulation.Result result = Emulation.simulate(model(seed, faults));
            RunStatistics statistics = result.statistics();
            assertEquals(
                    statistics.asked(),
                    statistics.inTime()
                            + statistics.late()
                            + statistics.rejected()
                            + statistics.failed());
            assertEquals(Map.of(), result.violations(), "seed " + seed);
            assertTrue(
                    statistics.asked() > 8_000
                            && statistics.inTimeFraction() > 0.3
                            && statistics.inTimeFraction() < 1,
                    describe(result));
        }
    }

    /**
     * The policy that measures the emulator's own cost sends each attempt once, without hedged
     * requests, and each request ends once.
     */
    @Test
    void aSingleAttemptPolicySendsEachAttemptOnce() {
        Emulation.Result result = Emulation.simulateSingleAttempt(model(4, List.of()));
        // Sends are counted up to the end of the run, received attempts until the last has ended.
        assertTrue(
                result.attemptsSent() <= result.receivedRequests()
                        && result.attemptsSent() > 0.99 * result.receivedRequests(),
                describe(result));
        assertEquals(0, result.additionalAttempts());
        assertEquals(0, result.violations().getOrDefault("UNANSWERED", 0L));
        assertTrue(
                result.statistics().inTime() > 0.5 * result.statistics().asked(), describe(result));
    }

    /**
     * Almost all requests are served in time without faults, and each fault lowers that fraction:
     * guards against a fault that has no effect.
     */
    @Test
    void eachFaultLowersTheFractionInTime() {
        double baseline = Emulation.simulate(model(3, List.of())).statistics().inTimeFraction();
        assertTrue(baseline > 0.97, "fraction in time without faults: " + baseline);
        for (Fault fault :
                List.of(
                        new Fault(
                                10 * NANOS_PER_SECOND,
                                8 * NANOS_PER_SECOND,
                                FaultKind.CACHE_KILL,
                                0.8,
                                1),
                        new Fault(
                                10 * NANOS_PER_SECOND,
                                8 * NANOS_PER_SECOND,
                                FaultKind.CACHE_SLOW,
                                0.6,
                                20),
                        new Fault(
                                10 * NANOS_PER_SECOND,
                                5 * NANOS_PER_SECOND,
                                FaultKind.ORIGIN_OUTAGE,
                                1,
                                1),
                        new Fault(10 * NANOS_PER_SECOND, 0, FaultKind.COPIES_RELEASED, 1, 1),
                        new Fault(
                                10 * NANOS_PER_SECOND, 5 * NANOS_PER_SECOND, FaultKind.SURGE, 1, 4),
                        new Fault(
                                10 * NANOS_PER_SECOND,
                                5 * NANOS_PER_SECOND,
                                FaultKind.BALANCER_RESTART,
                                1,
                                1))) {
            double withFault =
                    Emulation.simulate(model(3, List.of(fault))).statistics().inTimeFraction();
            assertTrue(
                    withFault < baseline - 0.002,
                    fault.kind() + ": " + withFault + ", without faults " + baseline);
        }
    }

    /**
     * Returns the violations of the real decision module with altered actions or endpoint lists.
     */
    private static Map<String, Long> violations(
            SystemModel model,
            Class<?> apiType,
            UnaryOperator<PolicyActions> actionsWrapper,
            UnaryOperator<List<Server>> listFilter) {
        return Emulation.simulate(
                        model,
                        (settings, seed, actions) -> {
                            PolicyEvents router =
                                    new Router(settings, seed, actionsWrapper.apply(actions));
                            return (PolicyEvents)
                                    Proxy.newProxyInstance(
                                            apiType.getClassLoader(),
                                            new Class<?>[] {PolicyEvents.class},
                                            (proxy, method, arguments) -> {
                                                if (method.getName().equals("onEndpointUpdate")) {
                                                    arguments[2] =
                                                            listFilter.apply(servers(arguments[2]));
                                                }
                                                return method.invoke(router, arguments);
                                            });
                        })
                .violations();
    }

    private static List<Server> servers(Object list) {
        return ((List<?>) list).stream().map(Server.class::cast).toList();
    }

    private static UnaryOperator<PolicyActions> repeating(String method, int times) {
        return actions ->
                (PolicyActions)
                        Proxy.newProxyInstance(
                                PolicyActions.class.getClassLoader(),
                                new Class<?>[] {PolicyActions.class},
                                (proxy, called, arguments) -> {
                                    for (int i = called.getName().equals(method) ? times : 1;
                                            i > 0;
                                            i--) {
                                        called.invoke(actions, arguments);
                                    }
                                    return null;
                                });
    }

    /**
     * Each violation of a rule is reported under that rule, independently of the module's own
     * figures; the unaltered module has none.
     */
    @Test
    void theInvariantCheckerReportsEachRule() {
        List<Fault> faults =
                List.of(
                        new Fault(
                                3 * NANOS_PER_SECOND,
                                4 * NANOS_PER_SECOND,
                                FaultKind.ORIGIN_OUTAGE,
                                1,
                                1),
                        new Fault(
                                8 * NANOS_PER_SECOND,
                                6 * NANOS_PER_SECOND,
                                FaultKind.CACHE_DRAIN,
                                0.3,
                                1),
                        new Fault(
                                17 * NANOS_PER_SECOND,
                                NANOS_PER_SECOND,
                                FaultKind.CACHE_RESTART,
                                0.3,
                                1));
        SystemModel model = model(4, faults);
        assertEquals(
                Map.of(),
                violations(model, PolicyActions.class, repeating("", 1), UnaryOperator.identity()));
        assertTrue(
                violations(
                                        model,
                                        PolicyActions.class,
                                        repeating("reject", 2),
                                        UnaryOperator.identity())
                                .get("ANSWERED_TWICE")
                        > 0);
        assertTrue(
                violations(
                                        model,
                                        PolicyActions.class,
                                        repeating("send", 2),
                                        UnaryOperator.identity())
                                .get("RAN_TWICE")
                        > 0);
        assertTrue(
                violations(
                                        model,
                                        PolicyActions.class,
                                        repeating("reject", 0),
                                        UnaryOperator.identity())
                                .get("LEFT_OPEN")
                        > 0);
        Map<String, Long> violations =
                violations(
                        model,
                        PolicyActions.class,
                        repeating("", 1),
                        list ->
                                list.stream()
                                        .map(
                                                server ->
                                                        new Server(
                                                                server.id(),
                                                                server.zone(),
                                                                server.kind(),
                                                                server.cell(),
                                                                EndpointState.READY,
                                                                server.weight(),
                                                                0))
                                        .toList());
        assertTrue(violations.get("SENT_TO_DRAINING") > 0, violations.toString());
    }

    /**
     * A cache at 15% of its speed with a capacity of 10 requests a second withstands 39 of them in
     * one second, but not 41.
     */
    @Test
    void aCacheInSlowStartIsOverloadedByMoreThanItsMultiple() {
        for (int sent : new int[] {39, 41}) {
            SimInvariantChecker invariantChecker = new SimInvariantChecker();
            SlowStartGuard slowStartGuard =
                    new SlowStartGuard(
                            invariantChecker,
                            new SystemModel.Cache(
                                    1,
                                    64,
                                    0,
                                    400,
                                    SystemModel.Eviction.LRU,
                                    0.15,
                                    10 * NANOS_PER_SECOND,
                                    false,
                                    true),
                            15 * NANOS_PER_MILLI);
            for (int i = 0; i <= sent; i++) {
                slowStartGuard.onArrival(NANOS_PER_SECOND + i * NANOS_PER_SECOND / sent, 0.15);
            }
            assertEquals(
                    sent == 39 ? Map.of() : Map.of("COLD_PUSHED_OVER", 1L),
                    invariantChecker.violations());
        }
    }
}
