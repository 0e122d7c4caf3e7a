package frostrelay.rig.fleet;

import com.fasterxml.jackson.jr.ob.JSON;

import frostrelay.rig.day.ClassSpec;
import frostrelay.rig.day.Day;
import frostrelay.rig.day.TenantSpec;
import frostrelay.rig.referee.Referee;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** The configuration that a balancer of a day is given, in the platform's JSON. */
public final class BalancerConfig {
    private static final long SECOND = 1_000_000_000L;
    private static final int MAX_ATTEMPTS = 4;
    private static final int MAX_OPEN = 20_000;
    private static final int SOCKETS = 1024;
    private static final int MEMORY_MB = 192;

    private BalancerConfig() {}

    /**
     * {@code place}: the balancer's, from 0; addresses as ADDRESS:PORT; {@code known}: the list in
     * discovery's form; {@code further}: keys beside those, as {@code peers} with which balancers
     * are allowed to talk.
     */
    public static String json(
            Day day,
            int place,
            String listen,
            String console,
            String discovery,
            Map<String, Object> known,
            Map<String, Object> further) {
        Map<String, Object> config =
                object(
                        "name",
                        name(place),
                        "listen",
                        listen,
                        "console",
                        console,
                        "discovery",
                        discovery,
                        "seed",
                        String.format(Locale.ROOT, "%016x", day.seed() * 31 + place + 1),
                        "limits",
                        object("cores", 1.0, "memory_mb", MEMORY_MB, "sockets", SOCKETS),
                        "known",
                        known,
                        "settings",
                        settings(day, place, further.containsKey("peers")));
        config.putAll(further);
        try {
            return JSON.std.asString(config);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** The name of the balancer at a place. */
    public static String name(int place) {
        return "balancer-" + (place + 1);
    }

    private static Map<String, Object> settings(Day day, int place, boolean talk) {
        List<Object> classes = new ArrayList<>();
        for (ClassSpec one : day.classes()) {
            classes.add(
                    object(
                            "name",
                            one.name(),
                            "effect",
                            one.effect() == Referee.Effect.REPEATABLE
                                    ? "retryable"
                                    : one.effect() == Referee.Effect.KEYED ? "dedup" : "fragile",
                            "group",
                            "all",
                            "goal-time-ns",
                            one.aim(),
                            "deadline-ns",
                            one.deadline(),
                            "worth",
                            one.worth(),
                            "late-worth",
                            0.3,
                            "window-ns",
                            day.repeatWindow()));
        }
        List<Object> tenants = new ArrayList<>();
        for (TenantSpec one : day.tenants()) {
            tenants.add(
                    object(
                            "name",
                            one.name(),
                            "fraction",
                            one.share(),
                            "allowance-per-s",
                            capacity(day) * one.share()));
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
                place,
                "n-instances",
                day.balancers(),
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
                        10 * SECOND,
                        "connect-timeout-ns",
                        SECOND / 4,
                        "max-attempts",
                        MAX_ATTEMPTS,
                        "max-open",
                        MAX_OPEN,
                        "max-retry-after-ns",
                        SECOND,
                        "may-duplicate",
                        true,
                        "multiplex",
                        1,
                        "peer-messages",
                        talk,
                        "retry-after",
                        true),
                "guarantees",
                object(
                        "ask-within-ns",
                        5 * SECOND,
                        "cold-from",
                        day.cache().warmth().from(),
                        "fall-ns",
                        day.cache().warmth().window(),
                        "stop-sending-within-ns",
                        day.drainGrace(),
                        "tip-multiple",
                        day.cache().warmth().multiple(),
                        "warm-within-ns",
                        day.cache().warmth().within()));
    }

    /** Requests a second that all caches together can do. */
    private static double capacity(Day day) {
        double work =
                day.classes().stream()
                        .mapToDouble(one -> one.share() * (one.workLeast() + one.workMost()) / 2)
                        .sum();
        return day.caches() * day.cache().cores() * SECOND / work;
    }

    private static Map<String, Object> object(Object... pairs) {
        Map<String, Object> object = new LinkedHashMap<>();
        for (int i = 0; i < pairs.length; i += 2) {
            object.put((String) pairs[i], pairs[i + 1]);
        }
        return object;
    }
}
