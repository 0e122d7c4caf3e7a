package frostrelay.testbed.fleet;

import com.fasterxml.jackson.jr.ob.JSON;

import frostrelay.testbed.invariants.InvariantChecker;
import frostrelay.testbed.scenario.ClassSpec;
import frostrelay.testbed.scenario.Scenario;
import frostrelay.testbed.scenario.TenantSpec;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** The configuration of a balancer in a scenario, in the platform's JSON format. */
public final class BalancerConfig {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final int MAX_ATTEMPTS = 4;
    private static final int MAX_OPEN_REQUESTS = 20_000;
    private static final int DESCRIPTOR_LIMIT = 1024;
    private static final int MEMORY_MB = 192;

    private BalancerConfig() {}

    /**
     * Returns the configuration as JSON. {@code index}: of the balancer, from 0; addresses as
     * ADDRESS:PORT; {@code endpointList}: the endpoint list in the format of discovery; {@code
     * extraKeys}: additional keys, such as {@code peers}, which enables gossip between balancers.
     */
    public static String json(
            Scenario scenario,
            int index,
            String listen,
            String console,
            String discovery,
            Map<String, Object> endpointList,
            Map<String, Object> extraKeys) {
        Map<String, Object> config =
                object(
                        "name",
                        name(index),
                        "listen",
                        listen,
                        "console",
                        console,
                        "discovery",
                        discovery,
                        "seed",
                        String.format(Locale.ROOT, "%016x", scenario.seed() * 31 + index + 1),
                        "limits",
                        object("cores", 1.0, "memory_mb", MEMORY_MB, "sockets", DESCRIPTOR_LIMIT),
                        "known",
                        endpointList,
                        "settings",
                        settings(scenario, index, extraKeys.containsKey("peers")));
        config.putAll(extraKeys);
        try {
            return JSON.std.asString(config);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Returns the name of the balancer with an index from 0. */
    public static String name(int index) {
        return "balancer-" + (index + 1);
    }

    private static Map<String, Object> settings(Scenario scenario, int index, boolean hasGossip) {
        List<Object> classes = new ArrayList<>();
        for (ClassSpec one : scenario.classes()) {
            classes.add(
                    object(
                            "name",
                            one.name(),
                            "effect",
                            one.effect() == InvariantChecker.Effect.IDEMPOTENT
                                    ? "retryable"
                                    : one.effect() == InvariantChecker.Effect.IDEMPOTENT_BY_KEY
                                            ? "dedup"
                                            : "fragile",
                            "group",
                            "all",
                            "goal-time-ns",
                            one.latencyObjectiveNanos(),
                            "deadline-ns",
                            one.deadlineNanos(),
                            "worth",
                            one.priorityWeight(),
                            "late-worth",
                            0.3,
                            "window-ns",
                            scenario.deduplicationWindowNanos()));
        }
        List<Object> tenants = new ArrayList<>();
        for (TenantSpec one : scenario.tenants()) {
            tenants.add(
                    object(
                            "name",
                            one.name(),
                            "fraction",
                            one.fraction(),
                            "allowance-per-s",
                            capacity(scenario) * one.fraction()));
        }
        return object(
                "categories",
                classes,
                "tenants",
                tenants,
                "zones",
                List.of("local"),
                "kinds",
                List.of("cache"),
                "my-zone",
                0,
                "rank",
                index,
                "n-instances",
                scenario.balancers(),
                "discovery",
                "subscribe",
                "load-report",
                object("fields", List.of("rif", "q", "busy"), "source", "answers"),
                "family-info",
                object("mode", "through", "origin-kind", -1),
                "callers",
                object("marks-retry", true),
                "over-share-worth",
                0.1,
                "ceilings",
                object(
                        "cancelling",
                        true,
                        "conn-idle-ns",
                        10 * NANOS_PER_SECOND,
                        "connect-timeout-ns",
                        NANOS_PER_SECOND / 4,
                        "max-attempts",
                        MAX_ATTEMPTS,
                        "max-open",
                        MAX_OPEN_REQUESTS,
                        "max-retry-after-ns",
                        NANOS_PER_SECOND,
                        "may-duplicate",
                        true,
                        "multiplex",
                        1,
                        "peer-messages",
                        hasGossip,
                        "retry-after",
                        true),
                "guarantees",
                object(
                        "ask-within-ns",
                        5 * NANOS_PER_SECOND,
                        "cold-from",
                        scenario.cache().slowStart().initialFraction(),
                        "fall-ns",
                        scenario.cache().slowStart().windowNanos(),
                        "stop-sending-within-ns",
                        scenario.drainGraceNanos(),
                        "tip-multiple",
                        scenario.cache().slowStart().overloadMultiple(),
                        "warm-within-ns",
                        scenario.cache().slowStart().rampNanos()));
    }

    /** Returns the capacity of all caches together, in requests per second. */
    private static double capacity(Scenario scenario) {
        double work =
                scenario.classes().stream()
                        .mapToDouble(
                                one ->
                                        one.fraction()
                                                * (one.minWorkNanos() + one.maxWorkNanos())
                                                / 2)
                        .sum();
        return scenario.caches() * scenario.cache().cores() * NANOS_PER_SECOND / work;
    }

    private static Map<String, Object> object(Object... pairs) {
        Map<String, Object> object = new LinkedHashMap<>();
        for (int i = 0; i < pairs.length; i += 2) {
            object.put((String) pairs[i], pairs[i + 1]);
        }
        return object;
    }
}
