package frostrelay.cli;

import frostrelay.emulator.SystemModel;
import frostrelay.policy.api.Idempotency;
import frostrelay.testbed.invariants.InvariantChecker;
import frostrelay.testbed.scenario.ClassSpec;
import frostrelay.testbed.scenario.FaultKind;
import frostrelay.testbed.scenario.FaultSpec;
import frostrelay.testbed.scenario.Scenario;
import frostrelay.testbed.scenario.Targets;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * A day for sockets as a plant for the emulator: the same machines, load and faults, as far as both
 * know them.
 */
final class ScenarioModel {
    /**
     * Loopback and an event loop's turn, one way; and what the real balancer takes for an event.
     */
    private static final long NETWORK_DELAY_NANOS = 100_000L;

    private static final long DECISION_COST_NANOS = 50_000L;

    /** Stand-ins ask no work for a handshake, and loopback no time. */
    private static final SystemModel.Connections NO_LINKS =
            new SystemModel.Connections(false, 0, 0, 1, 1, 1, 1);

    private static final Map<FaultKind, SystemModel.FaultKind> KINDS =
            Map.of(
                    FaultKind.KILL,
                    SystemModel.FaultKind.CACHE_KILL,
                    FaultKind.SLOW,
                    SystemModel.FaultKind.CACHE_SLOW,
                    FaultKind.SILENCE,
                    SystemModel.FaultKind.CACHE_SILENT,
                    FaultKind.ARCHIVE_OUTAGE,
                    SystemModel.FaultKind.ORIGIN_OUTAGE,
                    FaultKind.ARCHIVE_SLOW,
                    SystemModel.FaultKind.ORIGIN_SLOW,
                    FaultKind.DISCOVERY_OUTAGE,
                    SystemModel.FaultKind.DISCOVERY_OUTAGE,
                    FaultKind.SURGE,
                    SystemModel.FaultKind.SURGE);

    private ScenarioModel() {}

    /** Throws {@link IllegalArgumentException} that names what the emulator does not have. */
    static SystemModel of(Scenario scenario) {
        List<String> unsupported = new ArrayList<>();
        if (scenario.cache().slots() != scenario.cache().cores()) {
            unsupported.add("slots other than cores");
        }
        List<SystemModel.RequestClass> classes = new ArrayList<>();
        for (ClassSpec one : scenario.classes()) {
            if (one.minWorkNanos() != one.maxWorkNanos()) {
                unsupported.add("class " + one.name() + ": work-least other than work-most");
            }
            classes.add(
                    new SystemModel.RequestClass(
                            one.fraction(),
                            one.minWorkNanos(),
                            SystemModel.WorkDistribution.FIXED,
                            one.latencyObjectiveNanos(),
                            one.deadlineNanos(),
                            one.priorityWeight(),
                            effect(one.effect())));
        }
        List<SystemModel.Fault> faults = new ArrayList<>();
        for (FaultSpec fault : scenario.faults()) {
            SystemModel.FaultKind kind = KINDS.get(fault.kind());
            if (kind == null) {
                unsupported.add("fault " + fault.kind().wireName);
            } else {
                faults.add(
                        new SystemModel.Fault(
                                fault.startNanos(),
                                fault.durationNanos(),
                                kind,
                                Targets.count(fault.target(), "cache", scenario.caches())
                                        / (double) scenario.caches(),
                                fault.factor()));
            }
        }
        if (!unsupported.isEmpty()) {
            throw new IllegalArgumentException(
                    "the emulator does not have: " + String.join("; ", unsupported));
        }
        return new SystemModel(
                scenario.seed(),
                0,
                scenario.durationNanos(),
                scenario.balancers(),
                scenario.caches(),
                1,
                new SystemModel.Cache(
                        scenario.cache().cores(),
                        scenario.cache().queueCapacity(),
                        0,
                        (int)
                                Math.max(
                                        1,
                                        scenario.cache().memoryBytes()
                                                / scenario.origin().meanValueBytes()),
                        SystemModel.Eviction.LRU,
                        scenario.cache().slowStart().initialFraction(),
                        scenario.cache().slowStart().rampNanos(),
                        scenario.cache().coalesce(),
                        false),
                new SystemModel.Origin(
                        scenario.origin().concurrency(),
                        scenario.origin().meanFetchNanos(),
                        scenario.origin().queueCapacity(),
                        scenario.origin().overloadMultiple(),
                        scenario.origin().outageNanos()),
                new SystemModel.Network(NETWORK_DELAY_NANOS, NETWORK_DELAY_NANOS, 0, 0),
                NO_LINKS,
                new SystemModel.Clients(
                        scenario.load().requestsPerSecond(),
                        0,
                        1_000_000_000L,
                        0,
                        scenario.load().keyCount(),
                        scenario.load().zipfExponent(),
                        0,
                        scenario.load().maxRetries(),
                        scenario.load().minBackoffNanos(),
                        (scenario.load().minPatience() + scenario.load().maxPatience()) / 2,
                        true,
                        0),
                new SystemModel.Balancer(DECISION_COST_NANOS, 4, true),
                new SystemModel.Discovery(scenario.discoveryDelayNanos(), 0, 0),
                List.of(),
                classes,
                faults);
    }

    private static Idempotency effect(InvariantChecker.Effect effect) {
        return switch (effect) {
            case IDEMPOTENT -> Idempotency.IDEMPOTENT;
            case IDEMPOTENT_BY_KEY -> Idempotency.IDEMPOTENCY_KEY;
            case NON_IDEMPOTENT -> Idempotency.NOT_IDEMPOTENT;
        };
    }
}
