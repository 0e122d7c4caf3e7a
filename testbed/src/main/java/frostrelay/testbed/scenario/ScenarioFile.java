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

/** The form of a day in TOML, and what must hold beyond the form. */
public final class ScenarioFile {
    private static final List<String> EFFECTS = List.of("repeatable", "keyed", "never-twice");
    private static final double FRACTION_TOLERANCE = 0.01;

    private ScenarioFile() {}

    /** The form, for checks and for the page that describes it. */
    public static TableSchema schema() {
        return new TableSchema("A day.")
                .whole(
                        "seed",
                        1L,
                        0,
                        Long.MAX_VALUE,
                        "The same seed gives the same requests and faults.")
                .duration("length", "20s", "1s", "24h", "How long requests come.")
                .table(
                        "fleet",
                        new TableSchema("The machines.")
                                .whole("caches", 10L, 1, 200, "Caches that run at the start.")
                                .whole("balancers", 2L, 1, 16, "Balancers, each a process.")
                                .duration(
                                        "discovery-lateness",
                                        "500ms",
                                        "0ms",
                                        "60s",
                                        "From a change to its being told.")
                                .duration(
                                        "drain-grace",
                                        "500ms",
                                        "50ms",
                                        "60s",
                                        "How long work may still be sent to a cache after its drain was told.")
                                .duration(
                                        "repeat-window",
                                        "8s",
                                        "1ms",
                                        "600s",
                                        "How long caches drop repeats of a keyed write."))
                .table(
                        "cache",
                        new TableSchema("What each cache is.")
                                .whole("cores", 1L, 1, 64, "Cores that share the work.")
                                .whole("slots", 16L, 1, 4096, "Requests in work at once.")
                                .whole(
                                        "queue",
                                        64L,
                                        0,
                                        100_000,
                                        "Requests that wait; more are turned away.")
                                .bytes(
                                        "memory",
                                        "4MiB",
                                        "1KiB",
                                        "8GiB",
                                        "Values kept; those used longest ago go first.")
                                .whole("connections", 256L, 1, 65_536, "Connections that it holds.")
                                .duration(
                                        "fetch-timeout",
                                        "800ms",
                                        "1ms",
                                        "60s",
                                        "How long it waits for the archive.")
                                .bool("coalesce", false, "Whether misses of one key share a fetch.")
                                .bool("cancel-stops", true, "Whether work whose client left stops.")
                                .number(
                                        "cold-from",
                                        0.15,
                                        0.01,
                                        1,
                                        "Capacity at a start, as a part of the full.")
                                .duration(
                                        "warm-within",
                                        "20s",
                                        "0ms",
                                        "1h",
                                        "From a start to full capacity.")
                                .number(
                                        "tip-multiple",
                                        4.0,
                                        1,
                                        1_000,
                                        "Sent more than this many times what it can do, it falls over while it is cold.")
                                .duration(
                                        "tip-window",
                                        "1s",
                                        "10ms",
                                        "60s",
                                        "The span over which that is counted."))
                .table(
                        "archive",
                        new TableSchema("The archive behind the caches.")
                                .whole("places", 20L, 1, 10_000, "Fetches in work at once.")
                                .duration("time", "30ms", "1ms", "60s", "Mean time of a fetch.")
                                .whole(
                                        "queue",
                                        200L,
                                        0,
                                        100_000,
                                        "Fetches that wait; more are refused.")
                                .number(
                                        "fall-multiple",
                                        3.0,
                                        1,
                                        1_000,
                                        "Sent this many times what it can do it stops.")
                                .duration(
                                        "fall-window",
                                        "2s",
                                        "10ms",
                                        "60s",
                                        "The span over which that is counted.")
                                .duration(
                                        "fall-time", "3s", "10ms", "600s", "How long it stops for.")
                                .bytes("value", "400B", "16B", "4MiB", "Mean size of a value."))
                .table(
                        "load",
                        new TableSchema("What clients do.")
                                .rate(
                                        "rate",
                                        "600/s",
                                        "0.1/s",
                                        "1000000/s",
                                        "First tries; retries come on top.")
                                .whole("keys", 2_000L, 1, 100_000_000, "Different keys.")
                                .number("zipf", 0.95, 0, 5, "How uneven their popularity is.")
                                .whole("retries", 2L, 0, 100, "Tries after the first.")
                                .duration(
                                        "backoff",
                                        "100ms",
                                        "0ms",
                                        "60s",
                                        "Least wait before a further try.")
                                .number(
                                        "patience-least",
                                        0.5,
                                        0.05,
                                        1,
                                        "A try is given up after so much of the deadline,")
                                .number("patience-most", 0.8, 0.05, 1, "or up to so much.")
                                .number(
                                        "leaves",
                                        0.0,
                                        0,
                                        1,
                                        "Tries whose client closes its connection before that.")
                                .number(
                                        "slow",
                                        0.0,
                                        0,
                                        1,
                                        "Tries that are written in two pieces, some time apart."))
                .list(
                        "class",
                        64,
                        new TableSchema("A class of requests; shares add up to 1.")
                                .text("name", null, "As clients and balancers name it.")
                                .number("share", null, 0, 1, "Its part of all requests.")
                                .duration(
                                        "work-least",
                                        "1ms",
                                        "1us",
                                        "60s",
                                        "Work of a cache's core, at least,")
                                .duration("work-most", "2ms", "1us", "60s", "and at most.")
                                .duration(
                                        "aim",
                                        "300ms",
                                        "1ms",
                                        "1h",
                                        "An answer by then is in time.")
                                .duration(
                                        "deadline",
                                        "1s",
                                        "1ms",
                                        "1h",
                                        "The client waits no longer, over all its tries.")
                                .number("worth", 1.0, 0, 1_000_000, "Of one answer in time.")
                                .choice(
                                        "effect",
                                        "repeatable",
                                        EFFECTS,
                                        "Whether it may run again: freely, dropped by its key, or never."))
                .list(
                        "tenant",
                        1_000,
                        new TableSchema("A tenant; shares add up to 1.")
                                .text("name", null, "As clients and balancers name it.")
                                .number("share", null, 0, 1, "Its part of all requests."))
                .list(
                        "fault",
                        1_000,
                        new TableSchema("Something that happens.")
                                .duration("at", null, "0ms", "24h", "From the day's start.")
                                .choice("kind", null, FaultKind.wireNames(), "What happens.")
                                .text(
                                        "target",
                                        "any",
                                        "cache-3, balancer-1, any, or any-3 for three of them.")
                                .number(
                                        "factor",
                                        4.0,
                                        0.01,
                                        10_000,
                                        "How much, for slow, surge and narrow.")
                                .duration("amount", "0ms", "0ms", "1h", "How long, for delays.")
                                .duration(
                                        "for",
                                        "0ms",
                                        "0ms",
                                        "24h",
                                        "After this it is undone; 0ms for never."));
    }

    /** Reads a day; throws {@link BadConfigException} with all that is wrong. */
    public static Scenario read(Path path) {
        return bind(path.toString(), TomlFile.read(path, schema()));
    }

    /** Likewise from a text; {@code file} is how problems name it. */
    public static Scenario parse(String file, String text) {
        return bind(file, TomlFile.parse(file, text, schema()));
    }

    /** The day that the demo plays. */
    public static Scenario demo() {
        return parse("demo.toml", demoText());
    }

    /** Its text, as an example to start from. */
    public static String demoText() {
        try (InputStream in = ScenarioFile.class.getResourceAsStream("demo.toml")) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * What values mean that were read by the form; throws {@link BadConfigException} with what
     * cannot be meant.
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
                                "a time past the day's length",
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
                                    ? "nothing, as " + spec.kind().wireName + " meets nobody"
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
