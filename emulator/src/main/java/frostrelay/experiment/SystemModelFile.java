package frostrelay.experiment;

import frostrelay.config.BadConfigException;
import frostrelay.config.Problem;
import frostrelay.config.TableSchema;
import frostrelay.config.TableValues;
import frostrelay.config.TomlFile;
import frostrelay.emulator.SystemModel;
import frostrelay.policy.api.Idempotency;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;

/** The form of a plant in TOML, and what must hold beyond the form. */
public final class SystemModelFile {
    private static final List<String> IDEMPOTENCY_NAMES =
            List.of("repeatable", "keyed", "never-twice");
    private static final double SUM_TOLERANCE = 0.01;

    private SystemModelFile() {}

    private static List<String> kindNames() {
        return Arrays.stream(SystemModel.FaultKind.values())
                .map(SystemModelFile::tomlName)
                .toList();
    }

    /** A kind of fault as a file has it. */
    static String tomlName(SystemModel.FaultKind kind) {
        return kind.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** The form, for checks and for the page that describes it. */
    public static TableSchema schema() {
        return new TableSchema("A plant.")
                .whole(
                        "seed",
                        1L,
                        0,
                        Long.MAX_VALUE / 2,
                        "The first seed; each repetition takes the next.")
                .duration("length", "60s", "1s", "24h", "Simulated time in which requests come.")
                .duration(
                        "settle",
                        "0ms",
                        "0ms",
                        "24h",
                        "Before the day: requests come, the origin takes no time.")
                .table(
                        "plant",
                        new TableSchema("The machines.")
                                .whole("balancers", 3L, 1, 10_000, "Balancers.")
                                .whole("caches", 12L, 1, 100_000, "Caches.")
                                .whole("zones", 1L, 1, 64, "Machines are dealt out over so many.")
                                .duration(
                                        "discovery-lateness",
                                        "1s",
                                        "0ms",
                                        "10m",
                                        "From a change to its being told.")
                                .number(
                                        "discovery-calls",
                                        0.0,
                                        0,
                                        1_000_000,
                                        "Calls a second that discovery works through; 0 for any.")
                                .duration(
                                        "discovery-patience",
                                        "2s",
                                        "0ms",
                                        "1h",
                                        "A call that waits longer for its turn fails.")
                                .duration(
                                        "balancer-cost",
                                        "50us",
                                        "0ms",
                                        "1s",
                                        "CPU of a balancer for each event.")
                                .whole("max-attempts", 4L, 1, 16, "Sends of a request at the most.")
                                .bool(
                                        "hedges",
                                        true,
                                        "Whether a second copy may run beside the first."))
                .table(
                        "cache",
                        new TableSchema("Each cache.")
                                .whole("cores", 1L, 1, 1_024, "Requests in work at once.")
                                .whole(
                                        "queue",
                                        64L,
                                        0,
                                        1_000_000,
                                        "Requests that wait; more are turned away.")
                                .number(
                                        "crowding",
                                        0.0,
                                        0,
                                        1,
                                        "How much longer work takes for each request that waits.")
                                .choice(
                                        "eviction",
                                        "lru",
                                        List.of("lru", "fifo"),
                                        "Which object goes first.")
                                .whole("memory", 400L, 1, 100_000_000, "Objects kept.")
                                .number(
                                        "cold-from",
                                        0.15,
                                        0.01,
                                        1,
                                        "Speed at a start, as a part of the full.")
                                .duration(
                                        "warm-within",
                                        "20s",
                                        "0ms",
                                        "1h",
                                        "From a start to full speed.")
                                .bool("coalesce", false, "Whether misses of one key share a fetch.")
                                .bool(
                                        "filled",
                                        true,
                                        "Whether it holds the most popular keys at the start."))
                .table(
                        "origin",
                        new TableSchema("The origin behind all caches.")
                                .whole("places", 12L, 1, 1_000_000, "Fetches in work at once.")
                                .duration("time", "60ms", "1us", "60s", "Mean time of a fetch.")
                                .whole(
                                        "queue",
                                        100L,
                                        0,
                                        10_000_000,
                                        "Fetches that wait; more are refused.")
                                .number(
                                        "fall-multiple",
                                        3.0,
                                        0,
                                        1_000,
                                        "Sent this many times what it can do in a second, it stops; 0 for never.")
                                .duration(
                                        "fall-time", "3s", "0ms", "10m", "How long it stops for."))
                .table(
                        "network",
                        new TableSchema("Each message.")
                                .duration("delay", "1ms", "0ms", "10s", "One way.")
                                .duration("jitter", "1ms", "0ms", "10s", "Up to so much more.")
                                .duration(
                                        "far", "0ms", "0ms", "10s", "On top of that between zones.")
                                .number(
                                        "loss",
                                        0.0,
                                        0,
                                        1,
                                        "Part of the sends to caches that never come."))
                .table(
                        "links",
                        new TableSchema(
                                        "Connections from balancers to caches, each with one request at a time.")
                                .bool(
                                        "modelled",
                                        false,
                                        "Whether there are any; without, a cache takes everything at once.")
                                .duration(
                                        "handshake",
                                        "1ms",
                                        "0ms",
                                        "10s",
                                        "That a new one takes beside a round trip.")
                                .duration(
                                        "work",
                                        "1ms",
                                        "0ms",
                                        "10s",
                                        "Of a cache's core for a new one.")
                                .duration(
                                        "timeout",
                                        "250ms",
                                        "1ms",
                                        "1m",
                                        "One that is not up by then has failed.")
                                .duration(
                                        "idle",
                                        "60s",
                                        "100ms",
                                        "24h",
                                        "After which a cache closes an idle one.")
                                .whole("at-cache", 10_000L, 1, 10_000_000, "That a cache holds.")
                                .whole(
                                        "at-balancer",
                                        10_000L,
                                        1,
                                        10_000_000,
                                        "That a balancer holds."))
                .table(
                        "clients",
                        new TableSchema("What clients do.")
                                .rate("rate", "300/s", "0.1/s", "10000000/s", "First tries.")
                                .number(
                                        "swing",
                                        0.0,
                                        0,
                                        0.95,
                                        "How far the rate rises and falls, as a part of it.")
                                .duration("period", "60s", "1s", "24h", "Of its rise and fall.")
                                .number(
                                        "drift",
                                        0.0,
                                        0,
                                        1_000_000,
                                        "Keys a second that lose their rank to others.")
                                .whole("keys", 2_000L, 1, 10_000_000, "Different keys.")
                                .number("zipf", 0.95, 0.01, 5, "How uneven their popularity is.")
                                .number(
                                        "offset",
                                        0.0,
                                        0,
                                        100_000,
                                        "Ranks left out at the head: fewer keys are far more popular.")
                                .whole("retries", 2L, 0, 100, "Tries after the first.")
                                .duration(
                                        "backoff",
                                        "200ms",
                                        "0ms",
                                        "60s",
                                        "Mean wait before a further try, doubled each time.")
                                .number(
                                        "patience",
                                        0.7,
                                        0.05,
                                        1,
                                        "A try is given up after so much of the deadline.")
                                .bool(
                                        "come-again",
                                        true,
                                        "Whether they wait as long as a refusal says.")
                                .number(
                                        "skew",
                                        0.0,
                                        0,
                                        3,
                                        "Standard deviation of the logarithm of what a balancer is given."))
                .list(
                        "tenant",
                        1_000,
                        new TableSchema("A tenant; parts add up to 1.")
                                .number("part", null, 0, 1, "Of all requests."))
                .list(
                        "draw",
                        64,
                        new TableSchema(
                                        "A value that each seed of a fleet day draws anew; the file's own counts elsewhere.")
                                .text("key", null, "Which, as `clients.rate` or `fault[0].part`.")
                                .text("least", null, "As the file would have it.")
                                .text("most", null, "Likewise, in the same unit."))
                .table(
                        "kept",
                        new TableSchema(
                                        "Why a plant is kept as a regression day; for days that a hunt found.")
                                .text(
                                        "goal",
                                        "service >= 0",
                                        "The goal that it missed when it was found.")
                                .number(
                                        "found",
                                        0.0,
                                        -1e12,
                                        1e12,
                                        "The goal's metric at that time.")
                                .text("must", "service >= 0", "What must hold of it since."))
                .list(
                        "class",
                        64,
                        new TableSchema("A class of requests; shares add up to 1.")
                                .number("share", null, 0, 1, "Its part of all.")
                                .duration(
                                        "work",
                                        "15ms",
                                        "1us",
                                        "60s",
                                        "Mean work of a cache's core.")
                                .choice(
                                        "spread",
                                        "exponential",
                                        List.of("exponential", "fixed"),
                                        "How work varies.")
                                .duration(
                                        "aim",
                                        "300ms",
                                        "1ms",
                                        "1h",
                                        "An answer by then is in time.")
                                .duration(
                                        "deadline",
                                        "1500ms",
                                        "1ms",
                                        "1h",
                                        "The client waits no longer, over all its tries.")
                                .number("worth", 1.0, 0, 1_000_000, "Of one answer in time.")
                                .choice(
                                        "effect",
                                        "repeatable",
                                        IDEMPOTENCY_NAMES,
                                        "Whether it may run again."))
                .list(
                        "fault",
                        1_000,
                        new TableSchema("Something that happens.")
                                .duration("at", null, "0ms", "24h", "From the start.")
                                .choice("kind", null, kindNames(), "What happens.")
                                .duration(
                                        "for",
                                        "0ms",
                                        "0ms",
                                        "24h",
                                        "After this it is undone; 0ms for never.")
                                .number("part", 1.0, 0, 1, "Of the machines that it meets.")
                                .number(
                                        "factor",
                                        3.0,
                                        0.01,
                                        10_000,
                                        "How much; steps, for cache-replace and balancer-wave."));
    }

    /** Reads a plant; throws {@link BadConfigException} with all that is wrong. */
    public static SystemModel read(Path path) {
        return bind(path.toString(), TomlFile.read(path, schema()));
    }

    /** Likewise from a text; {@code file} is how problems name it. */
    public static SystemModel parse(String file, String text) {
        return bind(file, TomlFile.parse(file, text, schema()));
    }

    /**
     * What values mean that were read by the form; throws {@link BadConfigException} with what
     * cannot be meant.
     */
    public static SystemModel bind(String file, TableValues values) {
        List<Problem> problems = new ArrayList<>();
        List<SystemModel.RequestClass> classes = new ArrayList<>();
        double shareSum = 0;
        for (TableValues entry : values.list("class")) {
            shareSum += entry.number("share");
            if (entry.whole("aim") > entry.whole("deadline")) {
                problems.add(
                        new Problem(
                                file,
                                entry.line(),
                                "class.aim",
                                "an aim past the deadline",
                                "at most the deadline"));
            }
            Idempotency idempotency =
                    Idempotency.values()[IDEMPOTENCY_NAMES.indexOf(entry.text("effect"))];
            classes.add(
                    new SystemModel.RequestClass(
                            entry.number("share"),
                            entry.whole("work"),
                            SystemModel.WorkDistribution.valueOf(
                                    entry.text("spread").toUpperCase(Locale.ROOT)),
                            entry.whole("aim"),
                            entry.whole("deadline"),
                            entry.number("worth"),
                            idempotency));
        }
        if (classes.isEmpty() || Math.abs(shareSum - 1) > SUM_TOLERANCE) {
            problems.add(
                    new Problem(
                            file,
                            0,
                            "class.share",
                            "shares that add up to " + shareSum,
                            "a sum of 1"));
        }
        List<Double> tenants =
                values.list("tenant").stream().map(entry -> entry.number("part")).toList();
        double tenantSum = tenants.stream().mapToDouble(Double::doubleValue).sum();
        if (!tenants.isEmpty() && Math.abs(tenantSum - 1) > SUM_TOLERANCE) {
            problems.add(
                    new Problem(
                            file,
                            0,
                            "tenant.part",
                            "parts that add up to " + tenantSum,
                            "a sum of 1"));
        }
        if (values.table("plant").whole("zones")
                > Math.min(
                        values.table("plant").whole("balancers"),
                        values.table("plant").whole("caches"))) {
            problems.add(
                    new Problem(
                            file,
                            values.table("plant").line(),
                            "plant.zones",
                            "a zone without balancers or caches",
                            "at most as many zones as there are of each"));
        }
        List<SystemModel.Fault> faults = new ArrayList<>();
        for (TableValues entry : values.list("fault")) {
            if (entry.whole("at") > values.whole("length")) {
                problems.add(
                        new Problem(
                                file,
                                entry.line(),
                                "fault.at",
                                "a time past the length",
                                "at most the length"));
            }
            faults.add(
                    new SystemModel.Fault(
                            entry.whole("at"),
                            entry.whole("for"),
                            SystemModel.FaultKind.valueOf(
                                    entry.text("kind").toUpperCase(Locale.ROOT).replace('-', '_')),
                            entry.number("part"),
                            entry.number("factor")));
        }
        for (String key : List.of("goal", "must")) {
            try {
                Objective.parse(values.table("kept").text(key));
            } catch (IllegalArgumentException e) {
                problems.add(
                        new Problem(
                                file,
                                values.table("kept").line(),
                                "kept." + key,
                                values.table("kept").text(key),
                                "a metric, >= or <=, and a number"));
            }
        }
        if (!problems.isEmpty()) {
            throw new BadConfigException(problems);
        }
        TableValues model = values.table("plant");
        TableValues cache = values.table("cache");
        TableValues origin = values.table("origin");
        TableValues network = values.table("network");
        TableValues clients = values.table("clients");
        TableValues links = values.table("links");
        return new SystemModel(
                values.whole("seed"),
                values.whole("settle"),
                values.whole("length"),
                (int) model.whole("balancers"),
                (int) model.whole("caches"),
                (int) model.whole("zones"),
                new SystemModel.Cache(
                        (int) cache.whole("cores"),
                        (int) cache.whole("queue"),
                        cache.number("crowding"),
                        (int) cache.whole("memory"),
                        SystemModel.Eviction.valueOf(
                                cache.text("eviction").toUpperCase(Locale.ROOT)),
                        cache.number("cold-from"),
                        cache.whole("warm-within"),
                        cache.bool("coalesce"),
                        cache.bool("filled")),
                new SystemModel.Origin(
                        (int) origin.whole("places"),
                        origin.whole("time"),
                        (int) origin.whole("queue"),
                        origin.number("fall-multiple"),
                        origin.whole("fall-time")),
                new SystemModel.Network(
                        network.whole("delay"),
                        network.whole("jitter"),
                        network.whole("far"),
                        network.number("loss")),
                new SystemModel.Connections(
                        links.bool("modelled"),
                        links.whole("handshake"),
                        links.whole("work"),
                        links.whole("timeout"),
                        links.whole("idle"),
                        (int) links.whole("at-cache"),
                        (int) links.whole("at-balancer")),
                new SystemModel.Clients(
                        clients.number("rate"),
                        clients.number("swing"),
                        clients.whole("period"),
                        clients.number("drift"),
                        (int) clients.whole("keys"),
                        clients.number("zipf"),
                        clients.number("offset"),
                        (int) clients.whole("retries"),
                        clients.whole("backoff"),
                        clients.number("patience"),
                        clients.bool("come-again"),
                        clients.number("skew")),
                new SystemModel.Balancer(
                        model.whole("balancer-cost"),
                        (int) model.whole("max-attempts"),
                        model.bool("hedges")),
                new SystemModel.Discovery(
                        model.whole("discovery-lateness"),
                        model.number("discovery-calls"),
                        model.whole("discovery-patience")),
                tenants,
                classes,
                faults);
    }
}
