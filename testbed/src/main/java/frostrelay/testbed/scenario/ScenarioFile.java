package frostrelay.testbed.scenario;

import frostrelay.config.BadConfigException;
import frostrelay.config.Problem;
import frostrelay.config.TableSchema;
import frostrelay.config.TableValues;
import frostrelay.config.TomlFile;
import frostrelay.testbed.cache.CacheSpec;
import frostrelay.testbed.invariants.InvariantChecker;
import frostrelay.testbed.invariants.SlowStartMeter;
import frostrelay.testbed.origin.OriginSpec;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** The TOML format of scenarios, with checks that go beyond its schema. */
public final class ScenarioFile {
    private static final List<String> EFFECTS = List.of("repeatable", "keyed", "never-twice");
    private static final double FRACTION_TOLERANCE = 0.01;

    private ScenarioFile() {}

    /** Returns the schema, for validation and for the page that describes it. */
    public static TableSchema schema() {
        return new TableSchema("A test scenario.")
                .whole(
                        "seed",
                        1L,
                        0,
                        Long.MAX_VALUE,
                        "The same seed gives the same requests and faults.")
                .duration("length", "20s", "1s", "24h", "How long clients send requests.")
                .table(
                        "fleet",
                        new TableSchema("The size of the cluster.")
                                .whole("caches", 10L, 1, 200, "Number of caches at the start.")
                                .whole(
                                        "balancers",
                                        2L,
                                        1,
                                        16,
                                        "Number of balancers, each a separate process.")
                                .duration(
                                        "discovery-lateness",
                                        "500ms",
                                        "0ms",
                                        "60s",
                                        "Time from a change until discovery publishes it.")
                                .duration(
                                        "drain-grace",
                                        "500ms",
                                        "50ms",
                                        "60s",
                                        "How long a balancer may still send work to a cache after it was notified of its drain.")
                                .duration(
                                        "repeat-window",
                                        "8s",
                                        "1ms",
                                        "600s",
                                        "How long caches detect repeated writes with the same idempotency key."))
                .table(
                        "cache",
                        new TableSchema("The properties of each cache.")
                                .whole("cores", 1L, 1, 64, "Cores that share the work.")
                                .whole("slots", 16L, 1, 4096, "Requests processed concurrently.")
                                .whole(
                                        "queue",
                                        64L,
                                        0,
                                        100_000,
                                        "Maximum number of waiting requests; further ones are rejected.")
                                .bytes(
                                        "memory",
                                        "4MiB",
                                        "1KiB",
                                        "8GiB",
                                        "Memory for values; the least recently used are evicted.")
                                .whole(
                                        "connections",
                                        256L,
                                        1,
                                        65_536,
                                        "Maximum number of open connections.")
                                .duration(
                                        "fetch-timeout",
                                        "800ms",
                                        "1ms",
                                        "60s",
                                        "Timeout of calls to the origin.")
                                .bool(
                                        "coalesce",
                                        false,
                                        "Whether concurrent misses of a key share a fetch.")
                                .bool(
                                        "cancel-stops",
                                        true,
                                        "Whether work is cancelled when its connection closes.")
                                .number(
                                        "cold-from",
                                        0.15,
                                        0.01,
                                        1,
                                        "Initial capacity in slow start, as a fraction of full capacity.")
                                .duration(
                                        "warm-within",
                                        "20s",
                                        "0ms",
                                        "1h",
                                        "Time from the start to full capacity.")
                                .number(
                                        "tip-multiple",
                                        4.0,
                                        1,
                                        1_000,
                                        "Load, as a multiple of the current capacity, above which a cache in slow start crashes.")
                                .duration(
                                        "tip-window",
                                        "1s",
                                        "10ms",
                                        "60s",
                                        "The span over which that is counted."))
                .table(
                        "archive",
                        new TableSchema("The origin of the cached values.")
                                .whole("places", 20L, 1, 10_000, "Fetches processed concurrently.")
                                .duration("time", "30ms", "1ms", "60s", "Mean duration of a fetch.")
                                .whole(
                                        "queue",
                                        200L,
                                        0,
                                        100_000,
                                        "Maximum number of waiting fetches; further ones are rejected.")
                                .number(
                                        "fall-multiple",
                                        3.0,
                                        1,
                                        1_000,
                                        "Load, as a multiple of capacity, above which an outage starts.")
                                .duration(
                                        "fall-window",
                                        "2s",
                                        "10ms",
                                        "60s",
                                        "The span over which that is counted.")
                                .duration(
                                        "fall-time",
                                        "3s",
                                        "10ms",
                                        "600s",
                                        "Duration of the outage after an overload.")
                                .bytes("value", "400B", "16B", "4MiB", "Mean size of a value."))
                .table(
                        "load",
                        new TableSchema("The load from clients.")
                                .rate(
                                        "rate",
                                        "600/s",
                                        "0.1/s",
                                        "1000000/s",
                                        "Request rate, not including retries.")
                                .whole("keys", 2_000L, 1, 100_000_000, "Number of distinct keys.")
                                .number(
                                        "zipf",
                                        0.95,
                                        0,
                                        5,
                                        "Zipf exponent of the popularity of keys.")
                                .whole(
                                        "retries",
                                        2L,
                                        0,
                                        100,
                                        "Maximum number of retries per request.")
                                .duration(
                                        "backoff",
                                        "100ms",
                                        "0ms",
                                        "60s",
                                        "Minimum backoff before a retry.")
                                .number(
                                        "patience-least",
                                        0.5,
                                        0.05,
                                        1,
                                        "Minimum timeout of an attempt, as a fraction of the deadline.")
                                .number(
                                        "patience-most",
                                        0.8,
                                        0.05,
                                        1,
                                        "Maximum timeout of an attempt, as a fraction of the deadline.")
                                .number(
                                        "leaves",
                                        0.0,
                                        0,
                                        1,
                                        "Fraction of attempts whose client closes the connection before the timeout.")
                                .number(
                                        "slow",
                                        0.0,
                                        0,
                                        1,
                                        "Fraction of attempts that are written in two parts with a pause between them."))
                .list(
                        "class",
                        64,
                        new TableSchema("A class of requests; shares add up to 1.")
                                .text("name", null, "As clients and balancers name it.")
                                .number("share", null, 0, 1, "Its fraction of all requests.")
                                .duration(
                                        "work-least",
                                        "1ms",
                                        "1us",
                                        "60s",
                                        "Minimum CPU time of a request at a cache.")
                                .duration(
                                        "work-most",
                                        "2ms",
                                        "1us",
                                        "60s",
                                        "Maximum CPU time of a request at a cache.")
                                .duration(
                                        "aim",
                                        "300ms",
                                        "1ms",
                                        "1h",
                                        "Latency up to which a response counts as in time.")
                                .duration(
                                        "deadline",
                                        "1s",
                                        "1ms",
                                        "1h",
                                        "Time limit of the client over all attempts.")
                                .number("worth", 1.0, 0, 1_000_000, "Weight of a response in time.")
                                .choice(
                                        "effect",
                                        "repeatable",
                                        EFFECTS,
                                        "Whether requests may be executed again: always, deduplicated by idempotency key, or never."))
                .list(
                        "tenant",
                        1_000,
                        new TableSchema("A tenant; shares add up to 1.")
                                .text("name", null, "As clients and balancers name it.")
                                .number("share", null, 0, 1, "Its fraction of all requests."))
                .list(
                        "fault",
                        1_000,
                        new TableSchema("An injected fault.")
                                .duration(
                                        "at",
                                        null,
                                        "0ms",
                                        "24h",
                                        "Time from the start of the scenario.")
                                .choice("kind", null, FaultKind.wireNames(), "Kind of the fault.")
                                .text(
                                        "target",
                                        "any",
                                        "cache-3, balancer-1, any, or any-3 for three of them.")
                                .number(
                                        "factor",
                                        4.0,
                                        0.01,
                                        10_000,
                                        "Strength of slow, surge and narrow faults.")
                                .duration("amount", "0ms", "0ms", "1h", "Duration of delays.")
                                .duration(
                                        "for",
                                        "0ms",
                                        "0ms",
                                        "24h",
                                        "Time until the fault is undone; 0ms for never."));
    }

    /** Reads a scenario; throws {@link BadConfigException} with all problems found. */
    public static Scenario read(Path path) {
        return bind(path.toString(), TomlFile.read(path, schema()));
    }

    /**
     * Parses a scenario; {@code file} is the name used in error messages. Throws {@link
     * BadConfigException} with all problems found.
     */
    public static Scenario parse(String file, String text) {
        return bind(file, TomlFile.parse(file, text, schema()));
    }

    /** Returns the scenario of the demo. */
    public static Scenario demo() {
        return parse("demo.toml", demoText());
    }

    /** Returns the text of the demo scenario, as an example. */
    public static String demoText() {
        try (InputStream in = ScenarioFile.class.getResourceAsStream("demo.toml")) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Converts parsed values to a scenario; throws {@link BadConfigException} with all inconsistent
     * values.
     */
    public static Scenario bind(String file, TableValues values) {
        List<Problem> problems = new ArrayList<>();
        TableValues fleet = values.table("fleet");
        TableValues load = values.table("load");
        List<ClassSpec> classes =
                values.list("class").stream().map(ScenarioFile::requestClass).toList();
        List<TenantSpec> tenants =
                values.list("tenant").stream()
                        .map(tenant -> new TenantSpec(tenant.text("name"), tenant.number("share")))
                        .toList();
        checkList(file, values, "class", problems);
        checkList(file, values, "tenant", problems);
        for (TableValues table : values.list("class")) {
            if (table.whole("aim") > table.whole("deadline")) {
                problems.add(
                        new Problem(
                                file,
                                table.line(),
                                "class.aim",
                                "an aim past the deadline",
                                "at most the deadline"));
            }
            if (table.whole("work-least") > table.whole("work-most")) {
                problems.add(
                        new Problem(
                                file,
                                table.line(),
                                "class.work-least",
                                "more than work-most",
                                "at most work-most"));
            }
        }
        if (load.number("patience-least") > load.number("patience-most")) {
            problems.add(
                    new Problem(
                            file,
                            load.line(),
                            "load.patience-least",
                            "more than patience-most",
                            "at most patience-most"));
        }
        List<FaultSpec> faults = new ArrayList<>();
        for (TableValues fault : values.list("fault")) {
            FaultSpec spec = fault(fault);
            faults.add(spec);
            if (spec.startNanos() > values.whole("length")) {
                problems.add(
                        new Problem(
                                file,
                                fault.line(),
                                "fault.at",
                                "a time after the end of the scenario",
                                "at most the length"));
            }
            checkTarget(
                    file,
                    fault,
                    spec,
                    (int) fleet.whole("caches"),
                    (int) fleet.whole("balancers"),
                    problems);
        }
        if (!problems.isEmpty()) {
            throw new BadConfigException(problems);
        }
        return new Scenario(
                values.whole("seed"),
                values.whole("length"),
                (int) fleet.whole("caches"),
                (int) fleet.whole("balancers"),
                fleet.whole("discovery-lateness"),
                fleet.whole("drain-grace"),
                fleet.whole("repeat-window"),
                cache(values.table("cache")),
                origin(values.table("archive")),
                new LoadSpec(
                        load.number("rate"),
                        (int) load.whole("keys"),
                        load.number("zipf"),
                        (int) load.whole("retries"),
                        load.whole("backoff"),
                        load.number("patience-least"),
                        load.number("patience-most"),
                        load.number("leaves"),
                        load.number("slow")),
                classes,
                tenants,
                faults);
    }

    private static ClassSpec requestClass(TableValues table) {
        InvariantChecker.Effect effect =
                InvariantChecker.Effect.values()[EFFECTS.indexOf(table.text("effect"))];
        return new ClassSpec(
                table.text("name"),
                table.number("share"),
                table.whole("work-least"),
                table.whole("work-most"),
                table.whole("aim"),
                table.whole("deadline"),
                table.number("worth"),
                effect);
    }

    private static CacheSpec cache(TableValues cache) {
        return new CacheSpec(
                (int) cache.whole("cores"),
                (int) cache.whole("slots"),
                (int) cache.whole("queue"),
                cache.whole("memory"),
                (int) cache.whole("connections"),
                cache.whole("fetch-timeout"),
                cache.bool("coalesce"),
                cache.bool("cancel-stops"),
                new SlowStartMeter.SlowStartProfile(
                        cache.number("cold-from"),
                        cache.whole("warm-within"),
                        cache.number("tip-multiple"),
                        cache.whole("tip-window")));
    }

    private static OriginSpec origin(TableValues origin) {
        return new OriginSpec(
                (int) origin.whole("places"),
                origin.whole("time"),
                (int) origin.whole("queue"),
                origin.number("fall-multiple"),
                origin.whole("fall-window"),
                origin.whole("fall-time"),
                (int) origin.whole("value"));
    }

    private static FaultSpec fault(TableValues fault) {
        return new FaultSpec(
                fault.whole("at"),
                FaultKind.fromWireName(fault.text("kind")),
                fault.text("target"),
                fault.number("factor"),
                fault.whole("amount"),
                fault.whole("for"));
    }

    private static void checkList(
            String file, TableValues values, String list, List<Problem> problems) {
        Set<String> names = new HashSet<>();
        double sum = 0;
        for (TableValues table : values.list(list)) {
            sum += table.number("share");
            String name = table.text("name");
            if (!names.add(name)) {
                problems.add(
                        new Problem(
                                file,
                                table.line(),
                                list + ".name",
                                '"' + name + "\" a second time",
                                "names that differ"));
            }
            if (!name.matches("[A-Za-z0-9._-]{1,64}")) {
                problems.add(
                        new Problem(
                                file,
                                table.line(),
                                list + ".name",
                                '"' + name + '"',
                                "letters, digits, '.', '_' and '-', at most 64"));
            }
        }
        if (values.list(list).isEmpty() || Math.abs(sum - 1) > FRACTION_TOLERANCE) {
            problems.add(
                    new Problem(
                            file,
                            0,
                            list + ".share",
                            "shares that add up to " + sum,
                            "a sum of 1"));
        }
    }

    private static void checkTarget(
            String file,
            TableValues fault,
            FaultSpec spec,
            int caches,
            int balancers,
            List<Problem> problems) {
        int targetCount = spec.kind().targetKind == FaultKind.TargetKind.CACHE ? caches : balancers;
        String name = spec.kind().targetKind == FaultKind.TargetKind.CACHE ? "cache" : "balancer";
        boolean isValid =
                spec.kind().targetKind == FaultKind.TargetKind.NONE
                        ? spec.target().equals("any")
                        : Targets.count(spec.target(), name, targetCount) > 0;
        if (!isValid) {
            problems.add(
                    new Problem(
                            file,
                            fault.line(),
                            "fault.target",
                            '"' + spec.target() + '"',
                            spec.kind().targetKind == FaultKind.TargetKind.NONE
                                    ? "nothing, as " + spec.kind().wireName + " matches no instance"
                                    : name
                                            + "-1 to "
                                            + name
                                            + "-"
                                            + targetCount
                                            + ", any, or any-1 to any-"
                                            + targetCount));
        }
    }
}
