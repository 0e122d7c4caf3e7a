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

/** The TOML format of a system model, with checks beyond the schema. */
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

    /** Returns the name of a fault kind in TOML. */
    static String tomlName(SystemModel.FaultKind kind) {
        return kind.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** Returns the schema, for validation and for the reference documentation. */
    public static TableSchema schema() {
        return new TableSchema("A system model.")
                .whole(
                        "seed",
                        1L,
                        0,
                        Long.MAX_VALUE / 2,
                        "The first seed; each further run uses the next one.")
                .duration("length", "60s", "1s", "24h", "Simulated time in which requests arrive.")
                .duration(
                        "settle",
                        "0ms",
                        "0ms",
                        "24h",
                        "Warm-up time before the run; requests arrive and fetches take no time.")
                .table(
                        "plant",
                        new TableSchema("Balancers, caches and discovery.")
                                .whole("balancers", 3L, 1, 10_000, "Number of balancers.")
                                .whole("caches", 12L, 1, 100_000, "Number of caches.")
                                .whole(
                                        "zones",
                                        1L,
                                        1,
                                        64,
                                        "Number of zones over which the machines are distributed.")
                                .duration(
                                        "discovery-lateness",
                                        "1s",
                                        "0ms",
                                        "10m",
                                        "Delay from a change to its notification.")
                                .number(
                                        "discovery-calls",
                                        0.0,
                                        0,
                                        1_000_000,
                                        "Calls that discovery can process per second; 0 for unlimited.")
                                .duration(
                                        "discovery-patience",
                                        "2s",
                                        "0ms",
                                        "1h",
                                        "Maximum time in the queue; a call that waits longer fails.")
                                .duration(
                                        "balancer-cost",
                                        "50us",
                                        "0ms",
                                        "1s",
                                        "CPU time of a balancer per event.")
                                .whole("max-attempts", 4L, 1, 16, "Maximum attempts per request.")
                                .bool("hedges", true, "Whether hedged requests are allowed."))
                .table(
                        "cache",
                        new TableSchema("Each cache.")
                                .whole("cores", 1L, 1, 1_024, "Requests processed concurrently.")
                                .whole(
                                        "queue",
                                        64L,
                                        0,
                                        1_000_000,
                                        "Maximum queue length; further requests are rejected.")
                                .number(
                                        "crowding",
                                        0.0,
                                        0,
                                        1,
                                        "Relative increase of the processing time per queued request.")
                                .choice(
                                        "eviction",
                                        "lru",
                                        List.of("lru", "fifo"),
                                        "Eviction policy.")
                                .whole(
                                        "memory",
                                        400L,
                                        1,
                                        100_000_000,
                                        "Maximum number of stored objects.")
                                .number(
                                        "cold-from",
                                        0.15,
                                        0.01,
                                        1,
                                        "Speed after a start, as a fraction of full speed.")
                                .duration(
                                        "warm-within",
                                        "20s",
                                        "0ms",
                                        "1h",
                                        "Time from a start to full speed.")
                                .bool(
                                        "coalesce",
                                        false,
                                        "Whether concurrent misses of one key share a fetch.")
                                .bool(
                                        "filled",
                                        true,
                                        "Whether it holds the most popular keys at the start."))
                .table(
                        "origin",
                        new TableSchema("The origin of all caches.")
                                .whole(
                                        "places",
                                        12L,
                                        1,
                                        1_000_000,
                                        "Fetches processed concurrently.")
                                .duration("time", "60ms", "1us", "60s", "Mean time of a fetch.")
                                .whole(
                                        "queue",
                                        100L,
                                        0,
                                        10_000_000,
                                        "Maximum queue length; further fetches are rejected.")
                                .number(
                                        "fall-multiple",
                                        3.0,
                                        0,
                                        1_000,
                                        "The origin stops at a load of this multiple of its capacity per second; 0 for never.")
                                .duration(
                                        "fall-time",
                                        "3s",
                                        "0ms",
                                        "10m",
                                        "Duration of such a stop."))
                .table(
                        "network",
                        new TableSchema("Message delays and loss.")
                                .duration("delay", "1ms", "0ms", "10s", "One-way delay.")
                                .duration(
                                        "jitter",
                                        "1ms",
                                        "0ms",
                                        "10s",
                                        "Maximum additional random delay.")
                                .duration(
                                        "far",
                                        "0ms",
                                        "0ms",
                                        "10s",
                                        "Additional delay between zones.")
                                .number(
                                        "loss",
                                        0.0,
                                        0,
                                        1,
                                        "Fraction of messages to caches that are lost."))
                .table(
                        "links",
                        new TableSchema(
                                        "Connections from balancers to caches; each carries one request at a time.")
                                .bool(
                                        "modelled",
                                        false,
                                        "Whether connections are modelled; otherwise caches accept requests without them.")
                                .duration(
                                        "handshake",
                                        "1ms",
                                        "0ms",
                                        "10s",
                                        "Time for a new connection in addition to a round trip.")
                                .duration(
                                        "work",
                                        "1ms",
                                        "0ms",
                                        "10s",
                                        "Time of a cache core for a new connection.")
                                .duration("timeout", "250ms", "1ms", "1m", "Connect timeout.")
                                .duration(
                                        "idle",
                                        "60s",
                                        "100ms",
                                        "24h",
                                        "Idle time after which a cache closes a connection.")
                                .whole(
                                        "at-cache",
                                        10_000L,
                                        1,
                                        10_000_000,
                                        "Maximum connections per cache.")
                                .whole(
                                        "at-balancer",
                                        10_000L,
                                        1,
                                        10_000_000,
                                        "Maximum connections per balancer."))
                .table(
                        "clients",
                        new TableSchema("Client load and retries.")
                                .rate("rate", "300/s", "0.1/s", "10000000/s", "First attempts.")
                                .number(
                                        "swing",
                                        0.0,
                                        0,
                                        0.95,
                                        "Amplitude of the rate's variation, as a fraction of the rate.")
                                .duration(
                                        "period",
                                        "60s",
                                        "1s",
                                        "24h",
                                        "Period of the rate's variation.")
                                .number(
                                        "drift",
                                        0.0,
                                        0,
                                        1_000_000,
                                        "Keys per second by which the popularity ranks shift.")
                                .whole("keys", 2_000L, 1, 10_000_000, "Number of distinct keys.")
                                .number("zipf", 0.95, 0.01, 5, "Zipf exponent of key popularity.")
                                .number(
                                        "offset",
                                        0.0,
                                        0,
                                        100_000,
                                        "Number of top popularity ranks left out, so that fewer keys are far more popular than the rest.")
                                .whole("retries", 2L, 0, 100, "Maximum retries.")
                                .duration(
                                        "backoff",
                                        "200ms",
                                        "0ms",
                                        "60s",
                                        "Mean wait before the first retry, doubled for each further one.")
                                .number(
                                        "patience",
                                        0.7,
                                        0.05,
                                        1,
                                        "Timeout of an attempt, as a fraction of the deadline.")
                                .bool(
                                        "come-again",
                                        true,
                                        "Whether clients honour the retry delay in a rejection.")
                                .number(
                                        "skew",
                                        0.0,
                                        0,
                                        3,
                                        "Standard deviation of the logarithm of a balancer's load."))
                .list(
                        "tenant",
                        1_000,
                        new TableSchema("A tenant; parts add up to 1.")
                                .number("part", null, 0, 1, "Fraction of all requests."))
                .list(
                        "draw",
                        64,
                        new TableSchema(
                                        "A value that experiments over system models sample for each seed; other uses keep the file's value.")
                                .text(
                                        "key",
                                        null,
                                        "The key, such as `clients.rate` or `fault[0].part`.")
                                .text("least", null, "Minimum, with its unit.")
                                .text("most", null, "Maximum, in the same unit."))
                .table(
                        "kept",
                        new TableSchema("The goal of a regression run that a fault search found.")
                                .text(
                                        "goal",
                                        "service >= 0",
                                        "The goal that the run missed when it was found.")
                                .number(
                                        "found",
                                        0.0,
                                        -1e12,
                                        1e12,
                                        "The metric's value when the run was found.")
                                .text(
                                        "must",
                                        "service >= 0",
                                        "The goal that the run must meet now."))
                .list(
                        "class",
                        64,
                        new TableSchema("A class of requests; shares add up to 1.")
                                .number("share", null, 0, 1, "Fraction of all requests.")
                                .duration(
                                        "work",
                                        "15ms",
                                        "1us",
                                        "60s",
                                        "Mean processing time on a cache core.")
                                .choice(
                                        "spread",
                                        "exponential",
                                        List.of("exponential", "fixed"),
                                        "Distribution of the processing time.")
                                .duration(
                                        "aim",
                                        "300ms",
                                        "1ms",
                                        "1h",
                                        "Target latency of a response.")
                                .duration(
                                        "deadline",
                                        "1500ms",
                                        "1ms",
                                        "1h",
                                        "Deadline of the request, including retries.")
                                .number(
                                        "worth",
                                        1.0,
                                        0,
                                        1_000_000,
                                        "Value of one response within the target latency.")
                                .choice(
                                        "effect",
                                        "repeatable",
                                        IDEMPOTENCY_NAMES,
                                        "Whether a request may be executed more than once."))
                .list(
                        "fault",
                        1_000,
                        new TableSchema("A fault.")
                                .duration("at", null, "0ms", "24h", "Start time.")
                                .choice("kind", null, kindNames(), "Kind of fault.")
                                .duration(
                                        "for", "0ms", "0ms", "24h", "Duration; 0ms for permanent.")
                                .number("part", 1.0, 0, 1, "Fraction of the machines affected.")
                                .number(
                                        "factor",
                                        3.0,
                                        0.01,
                                        10_000,
                                        "Strength of the fault; number of steps for cache-replace and balancer-wave."));
    }

    /** Reads a system model; throws {@link BadConfigException} with all problems. */
    public static SystemModel read(Path path) {
        return bind(path.toString(), TomlFile.read(path, schema()));
    }

    /** Parses a system model from a text; {@code file} names it in problems. */
    public static SystemModel parse(String file, String text) {
        return bind(file, TomlFile.parse(file, text, schema()));
    }

    /**
     * Creates a system model from values that match the schema; throws {@link BadConfigException}
     * for invalid values.
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
