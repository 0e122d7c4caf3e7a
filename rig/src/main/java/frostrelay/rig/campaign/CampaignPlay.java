package frostrelay.rig.campaign;

import com.fasterxml.jackson.jr.ob.JSON;

import frostrelay.rig.client.Front;
import frostrelay.rig.client.OpenLoop;
import frostrelay.rig.client.Tally;
import frostrelay.rig.day.Day;
import frostrelay.rig.day.DayFile;
import frostrelay.rig.discovery.Member;
import frostrelay.rig.fleet.BalancerConfig;
import frostrelay.rig.fleet.BalancerProcess;
import frostrelay.rig.fleet.Fleet;
import frostrelay.rig.fleet.Program;
import frostrelay.rig.referee.Rule;
import frostrelay.rig.wire.Loopback;

import io.netty.util.concurrent.Future;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicIntegerArray;
import java.util.stream.IntStream;

/**
 * Plays one schedule with real processes: starts them, does what it says, heals, ends them in order
 * and judges.
 */
public final class CampaignPlay {
    /** How a balancer is started, given properties of its JVM. */
    public interface Launch {
        /** The whole command line. */
        List<String> command(List<String> properties);
    }

    /** What a play came to. {@code folder}: keeps its files where there are violations. */
    public record Outcome(
            Schedule schedule,
            List<Violation> violations,
            Map<String, Object> figures,
            Path folder) {}

    private static final long MILLISECOND = 1_000_000L;
    private static final Duration CALL = Duration.ofSeconds(2);
    private static final long PENDING = 20_000 * MILLISECOND;
    private static final long STOP_MS = 6_000;
    private static final long STARVE_SLICE_MS = 100;
    private static final String DAY =
            """
            seed = %d
            length = "%dms"
            [fleet]
            caches = %d
            balancers = %d
            discovery-lateness = "0ms"
            [load]
            rate = "%d/s"
            keys = 400
            retries = 1
            [[class]]
            name = "read"
            share = 0.9
            [[class]]
            name = "use"
            share = 0.06
            aim = "600ms"
            deadline = "2s"
            effect = "never-twice"
            [[class]]
            name = "note"
            share = 0.04
            effect = "keyed"
            [[tenant]]
            name = "t"
            share = 1.0
            """;

    /** In place of a defect: the matter's own part stays off, to compare with. */
    public static final String OFF = "off";

    private static final long SECOND_MS = 1_000;
    private static final int RATE_EACH = 40;

    /**
     * So few that no balancer can judge caches by itself soon: each meets one every second or so.
     */
    private static final int FEW_EACH = 6;

    private static final int RETRIERS = 8;

    /** One in so many may be late beyond its time and grace on a machine that others share. */
    private static final int LOST_PART = 200;

    /** What an upgrade brings goes by this: two builds talk and keep records side by side. */
    private static final int NEXT_BUILD = 77;

    private static final int NEXT_FORM = 2;

    private final Matter matter;
    private final Schedule schedule;
    private final Path folder;
    private final Launch launch;
    private final String defect;
    private final History history = new History();
    private final List<Violation> violations = new CopyOnWriteArrayList<>();
    private final List<String> names;
    private final List<InetSocketAddress> talks = new ArrayList<>();
    private final BalancerProcess[] running;
    private final String[] configs;
    private final long[] offsets;
    private final ScheduledExecutorService thread =
            Executors.newScheduledThreadPool(8, CampaignPlay::daemon);

    /** Asks consoles, each on a thread of its own: one that is frozen keeps nobody else waiting. */
    private final ScheduledExecutorService asking;

    private final HttpClient http = HttpClient.newBuilder().connectTimeout(CALL).build();
    private long began;
    private DatagramRelay relay;
    private Fleet fleet;
    private Front front;
    private final AtomicIntegerArray starting;
    private final AtomicIntegerArray changes;
    private final AtomicInteger pending = new AtomicInteger();
    private final List<Retriers> retriers = new CopyOnWriteArrayList<>();

    private CampaignPlay(
            Matter matter, Schedule schedule, Path folder, Launch launch, String defect) {
        this.matter = matter;
        this.schedule = schedule;
        this.folder = folder;
        this.launch = launch;
        this.defect = defect;
        names = IntStream.range(0, schedule.processes()).mapToObj(BalancerConfig::name).toList();
        running = new BalancerProcess[names.size()];
        configs = new String[names.size()];
        offsets = new long[names.size()];
        asking = Executors.newScheduledThreadPool(names.size(), CampaignPlay::daemon);
        starting = new AtomicIntegerArray(names.size());
        changes = new AtomicIntegerArray(names.size());
    }

    private static Thread daemon(Runnable task) {
        Thread fresh = new Thread(task, "campaign");
        fresh.setDaemon(true);
        return fresh;
    }

    /** Plays it; {@code defect}: put into the last balancer, or null. */
    public static Outcome play(
            Matter matter, Schedule schedule, Path folder, Launch launch, String defect)
            throws IOException, InterruptedException {
        CampaignPlay play = new CampaignPlay(matter, schedule, folder, launch, defect);
        try {
            return play.play();
        } finally {
            play.thread.shutdownNow();
            play.asking.shutdownNow();
        }
    }

    private Day day() {
        return DayFile.parse(
                "campaign",
                String.format(
                        Locale.ROOT,
                        DAY,
                        schedule.seed() & 0xffff,
                        schedule.length() / MILLISECOND,
                        Schedule.CACHES,
                        names.size(),
                        (schedule.rate() > 0
                                        ? schedule.rate()
                                        : matter == Matter.JUDGEMENTS ? FEW_EACH : RATE_EACH)
                                * names.size()));
    }

    /** {@code build}: the number that it goes by, 0 for its own. */
    private Program program(int place, int build, int form) {
        Path own = folder.resolve(names.get(place));
        List<String> properties =
                new ArrayList<>(
                        List.of(
                                "-Dfrostrelay.peers=on",
                                "-Dfrostrelay.audit=on",
                                "-Dfrostrelay.audit.each=on",
                                "-Dfrostrelay.audit.folder=audit",
                                "-Dfrostrelay.campaign.wall=" + own.resolve("wall"),
                                "-Dfrostrelay.campaign.build=" + build,
                                "-Dfrostrelay.campaign.form=" + form));
        if (matter == Matter.JUDGEMENTS) {
            properties.add("-Dfrostrelay.stragglers=on");
            properties.add("-Dfrostrelay.judgements=" + (OFF.equals(defect) ? "off" : "on"));
            properties.add("-Dfrostrelay.counts=on");
        }
        if (matter == Matter.STRAGGLERS && !OFF.equals(defect)) {
            properties.addAll(
                    List.of(
                            "-Dfrostrelay.stragglers=on",
                            "-Dfrostrelay.stragglers.holds=on",
                            "-Dfrostrelay.stragglers.hand-over=on"));
        }
        if (defect != null && !OFF.equals(defect) && place == names.size() - 1) {
            properties.add("-Dfrostrelay.campaign.defect=" + defect);
        }
        List<String> command = launch.command(properties);
        for (Happening one : schedule.happenings()) {
            if (one.kind() == Happening.Kind.DISK_SMALL && one.who().contains(place)) {
                // The system's own limit on files, in blocks of 512 bytes: a write beyond fails as
                // on a full disk.
                List<String> limited =
                        new ArrayList<>(
                                List.of(
                                        "/bin/sh",
                                        "-c",
                                        "ulimit -f "
                                                + Math.round(one.amount() * 2)
                                                + " && exec \"$@\"",
                                        "sh"));
                limited.addAll(command);
                return new Program(limited);
            }
        }
        return new Program(command);
    }

    private Outcome play() throws IOException, InterruptedException {
        Files.createDirectories(folder);
        for (int i = 0; i < names.size(); i++) {
            talks.add(Loopback.port(Loopback.freePort()));
            Files.createDirectories(folder.resolve(names.get(i)));
            Files.writeString(folder.resolve(names.get(i)).resolve("wall"), "0");
        }
        io.netty.channel.nio.NioEventLoopGroup group =
                new io.netty.channel.nio.NioEventLoopGroup(1);
        try {
            relay = new DatagramRelay(group.next(), talks, schedule.seed());
            fleet =
                    new Fleet(
                            day(),
                            folder,
                            new Fleet.Each() {
                                @Override
                                public Program program(int place) {
                                    return CampaignPlay.this.program(place, 0, 1);
                                }

                                @Override
                                public Map<String, Object> further(int place) {
                                    Map<String, Object> further = new LinkedHashMap<>();
                                    further.put("version", 0);
                                    further.put("peer_listen", Loopback.text(talks.get(place)));
                                    further.put("peers", relay.peers(place));
                                    return further;
                                }
                            });
            try {
                return run();
            } finally {
                for (BalancerProcess process : running) {
                    if (process != null) {
                        process.close();
                    }
                }
                fleet.close();
            }
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
        }
    }

    private Outcome run() throws IOException, InterruptedException {
        fleet.referee().watch(history);
        fleet.discovery().show();
        for (int i = 0; i < names.size(); i++) {
            running[i] = fleet.balancers().get(i).process();
            configs[i] = fleet.balancers().get(i).config();
            history.process(i, History.What.WALL, 0);
            history.configured(i, 0, digest(configs[i]), true);
            history.process(i, History.What.STARTED, 0);
        }
        fleet.startBalancers();
        front = new Front(fleet.balancers().stream().map(Fleet.Place::listen).toList());
        Tally tally = new Tally();
        OpenLoop load = new OpenLoop(fleet.day(), front, fleet.loop(), fleet.referee(), tally);
        long begin = history.moment();
        began = begin;
        for (Happening one : schedule.happenings()) {
            pending.incrementAndGet();
            thread.schedule(() -> guarded(one), one.at(), TimeUnit.NANOSECONDS);
        }
        if (matter == Matter.JUDGEMENTS) {
            for (int i = 0; i < names.size(); i++) {
                int place = i;
                asking.scheduleAtFixedRate(
                        () -> count(place),
                        SECOND_MS + i * SECOND_MS / names.size(),
                        SECOND_MS,
                        TimeUnit.MILLISECONDS);
            }
        }
        Future<Tally> done = load.run();
        try {
            done.get(schedule.length() + 30_000 * MILLISECOND, TimeUnit.NANOSECONDS);
        } catch (ExecutionException | TimeoutException e) {
            violations.add(
                    new Violation("play", "requests are still open long after the last: " + e));
        }
        // A process that took long to end is started later than planned; all of it is to be over.
        for (long limit = history.moment() + PENDING;
                pending.get() > 0 && history.moment() < limit; ) {
            Thread.sleep(50);
        }
        long left = begin + schedule.length() - history.moment();
        if (left > 0) {
            Thread.sleep(left / MILLISECOND);
        }
        asking.shutdownNow();
        look();
        long end = history.moment();
        List<java.util.concurrent.Future<?>> ending = new ArrayList<>();
        for (BalancerProcess process : running) {
            ending.add(
                    thread.submit(
                            () -> {
                                if (process.isAlive()) {
                                    process.terminate(STOP_MS);
                                }
                                return null;
                            }));
        }
        for (java.util.concurrent.Future<?> one : ending) {
            try {
                one.get();
            } catch (ExecutionException e) {
                violations.add(new Violation("play", "a process did not end: " + e.getCause()));
            }
        }
        return judge(tally, end);
    }

    private Outcome judge(Tally tally, long end) throws IOException {
        Map<String, List<AuditRecord>> records = new LinkedHashMap<>();
        for (String name : names) {
            List<AuditRecord> lives = new ArrayList<>();
            for (Path kept : folders(name)) {
                lives.addAll(AuditRecord.read(name, kept));
            }
            records.put(name, lives);
        }
        history.write(folder.resolve("history.jsonl"));
        Files.writeString(folder.resolve("schedule.toml"), schedule.toml());
        AuditCheck check =
                new AuditCheck(history, records, names, matter == Matter.STRAGGLERS, end);
        violations.addAll(check.run());
        for (Rule rule :
                List.of(Rule.RAN_TWICE, Rule.KEYED_TWICE, Rule.FOREIGN_ANSWER, Rule.TWO_ANSWERS)) {
            if (fleet.referee().count(rule) > 0) {
                violations.add(new Violation("rules", rule + ": " + fleet.referee().breaches()));
            }
        }
        Map<String, Object> figures = new LinkedHashMap<>(check.figures());
        if (matter == Matter.STRAGGLERS) {
            StragglerCheck further =
                    new StragglerCheck(history, records, names, asides(), check::moment, end);
            List<Violation> others = further.run();
            // Without the part that is looked at, its figures are wanted, not its promises.
            violations.addAll(OFF.equals(defect) ? List.of() : others);
            figures.putAll(further.figures());
        }
        if (matter == Matter.JUDGEMENTS) {
            JudgementCheck further = new JudgementCheck(history, names, judgements(), began, end);
            List<Violation> others = further.run();
            violations.addAll(OFF.equals(defect) ? List.of() : others);
            figures.putAll(further.figures());
            CountCheck counts = new CountCheck(history, records, names, check::moment);
            violations.addAll(counts.run());
            figures.putAll(counts.figures());
        }
        for (Retriers clients : retriers) {
            figures.merge("retried", clients.answered.get(), (a, b) -> (int) a + (int) b);
            if (clients.silent.get() + clients.foreign.get() > 0) {
                violations.add(
                        new Violation(
                                "retriers",
                                clients.silent
                                        + " requests got neither answer nor close, "
                                        + clients.foreign
                                        + " another's answer"));
            }
        }
        lost(tally);
        figures.put("lost", tally.count(Tally.End.LOST));
        long[] carried = relay.carried();
        if (carried[2] > 256) {
            violations.add(new Violation("datagrams", "one of " + carried[2] + " bytes"));
        }
        figures.put("asked", tally.asked());
        figures.put("servedInTime", tally.count(Tally.End.IN_TIME));
        figures.put("datagrams", carried[0]);
        figures.put("bytesASecondEach", Math.round(carried[1] / (end / 1e9) / names.size()));
        figures.put("lives", records.values().stream().mapToInt(List::size).sum());
        return new Outcome(schedule, List.copyOf(violations), figures, folder);
    }

    /**
     * A balancer that was frozen owes nobody, nor do all that were killed at once. A late answer
     * may be this machine's fault, a closed connection is not.
     */
    private void lost(Tally tally) {
        boolean stood =
                schedule.happenings().stream()
                        .anyMatch(
                                one ->
                                        one.kind() == Happening.Kind.FREEZE
                                                || one.kind() == Happening.Kind.STARVE
                                                || one.who().size() == names.size()
                                                        && (one.kind() == Happening.Kind.KILL
                                                                || one.kind()
                                                                        == Happening.Kind
                                                                                .KILL_EMPTY));
        long closed =
                fleet.referee().breaches().stream()
                        .filter(
                                one ->
                                        one.rule() == Rule.NO_ANSWER
                                                && one.what().contains("connection ended"))
                        .count();
        if (closed > 0) {
            violations.add(
                    new Violation(
                            "lost",
                            closed
                                    + " requests were neither answered nor excused when their connections ended"));
        }
        if (!stood && tally.count(Tally.End.LOST) * LOST_PART > tally.asked()) {
            violations.add(
                    new Violation(
                            "lost",
                            tally.count(Tally.End.LOST)
                                    + " of "
                                    + tally.asked()
                                    + " requests got no answer"));
        }
    }

    /** A line of a balancer's log, and when it was written by the rig's clock. */
    private record Logged(long at, int balancer, String event, Map<String, Object> fields) {}

    /** Lines of all balancers' logs with one of these events, in the order of their moments. */
    private List<Logged> logged(String... events) throws IOException {
        List<Logged> all = new ArrayList<>();
        for (int i = 0; i < names.size(); i++) {
            for (String line :
                    Files.readAllLines(folder.resolve(names.get(i)).resolve("balancer.log"))) {
                for (String event : events) {
                    if (line.contains("\"event\":\"" + event + "\"")) {
                        Map<String, Object> fields = JSON.std.mapFrom(line);
                        all.add(
                                new Logged(
                                        history.ofWall(
                                                Instant.parse(String.valueOf(fields.get("time")))
                                                        .toEpochMilli(),
                                                0),
                                        i,
                                        event,
                                        fields));
                    }
                }
            }
        }
        all.sort((a, b) -> Long.compare(a.at, b.at));
        return all;
    }

    /** When balancers stepped aside and came back, by what they logged. */
    private List<long[]> asides() throws IOException {
        return logged("steps-aside", "comes-back").stream()
                .map(
                        one ->
                                new long[] {
                                    one.at, one.balancer, one.event.equals("steps-aside") ? 1 : -1
                                })
                .toList();
    }

    private List<JudgementCheck.Line> judgements() throws IOException {
        List<JudgementCheck.Line> all = new ArrayList<>();
        for (Logged one : logged("finds-bad", "lowers")) {
            Set<String> lowered = new HashSet<>();
            if (one.fields.get("caches") instanceof List<?> caches) {
                caches.forEach(cache -> lowered.add(String.valueOf(cache)));
            }
            boolean found = one.event.equals("finds-bad");
            all.add(
                    new JudgementCheck.Line(
                            one.at,
                            one.balancer,
                            found ? String.valueOf(one.fields.get("cache")) : null,
                            found ? null : lowered));
        }
        return all;
    }

    /** All folders in which a balancer kept its record. */
    private List<Path> folders(String name) throws IOException {
        List<Path> folders = new ArrayList<>();
        Path own = folder.resolve(name);
        try (var all = Files.newDirectoryStream(own, "tmp*")) {
            for (Path tmp : all) {
                folders.add(tmp.resolve("audit"));
                folders.add(tmp.resolve("audit-aside"));
            }
        }
        return folders;
    }

    /** What a console says; null where it says nothing that can be used. */
    private Map<String, Object> said(int place) throws IOException, InterruptedException {
        HttpResponse<String> answer =
                http.send(
                        HttpRequest.newBuilder(
                                        URI.create(
                                                "http://"
                                                        + JSON.std
                                                                .mapFrom(configs[place])
                                                                .get("console")
                                                        + "/ops/audit"))
                                .timeout(CALL)
                                .build(),
                        HttpResponse.BodyHandlers.ofString());
        return answer.statusCode() == 200 ? JSON.std.mapFrom(answer.body()) : null;
    }

    /**
     * What a balancer counts now; one that is away or frozen says nothing, and another second it
     * will.
     */
    private void count(int place) {
        long at = history.moment();
        try {
            Map<String, Object> said = said(place);
            if (said != null) {
                history.counted(at, place, said);
            }
        } catch (IOException e) {
            // Whether it should have answered is asked where all consoles are looked at.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Asks all consoles; one that is away or frozen says nothing. */
    private void look() throws IOException, InterruptedException {
        for (int i = 0; i < names.size(); i++) {
            long at = history.moment();
            try {
                Map<String, Object> said = said(i);
                if (said != null) {
                    history.look(at, i, said);
                }
            } catch (IOException e) {
                if (history.up(i) && starting.get(i) == 0) {
                    violations.add(
                            new Violation(
                                    "play",
                                    names.get(i) + " runs and its console says nothing: " + e));
                }
            }
        }
    }

    private static long digest(String config) throws IOException {
        return SettingsDigest.settings((Map<?, ?>) JSON.std.mapFrom(config).get("settings"));
    }

    // What happens.

    private void guarded(Happening one) {
        try {
            happen(one);
        } catch (IOException | InterruptedException | RuntimeException e) {
            violations.add(new Violation("play", one.text() + " failed: " + e));
        } finally {
            pending.decrementAndGet();
        }
    }

    private interface Step {
        void run() throws IOException, InterruptedException;
    }

    /** What ends a happening, at its end. */
    private void later(Happening one, long from, Step undo) {
        pending.incrementAndGet();
        // From its beginning on: what took its time to begin is not longer for it.
        thread.schedule(
                () -> {
                    try {
                        undo.run();
                        history.span(from, one);
                    } catch (IOException | InterruptedException | RuntimeException e) {
                        violations.add(
                                new Violation(
                                        "play", "the end of " + one.text() + " failed: " + e));
                    } finally {
                        pending.decrementAndGet();
                    }
                },
                Math.max(0, from + one.length() - history.moment()),
                TimeUnit.NANOSECONDS);
    }

    private void ways(Happening one, java.util.function.UnaryOperator<DatagramRelay.Way> change) {
        for (int from : one.who()) {
            for (int to : one.whom()) {
                if (from != to) {
                    relay.way(from, to, change);
                }
            }
        }
    }

    private void hurt(
            Happening one,
            java.util.function.UnaryOperator<DatagramRelay.Way> on,
            java.util.function.UnaryOperator<DatagramRelay.Way> off) {
        long from = history.moment();
        ways(one, on);
        later(one, from, () -> ways(one, off));
    }

    private void happen(Happening one) throws IOException, InterruptedException {
        long from = history.moment();
        switch (one.kind()) {
            case LOSS -> hurt(one, way -> way.lossy(one.amount()), way -> way.lossy(0));
            case DELAY ->
                    hurt(
                            one,
                            way -> way.delaying(MILLISECOND, (long) (one.amount() * MILLISECOND)),
                            way -> way.delaying(0, 0));
            case DOUBLE -> hurt(one, way -> way.doubling(one.amount()), way -> way.doubling(0));
            case DAMAGE -> hurt(one, way -> way.damaging(one.amount()), way -> way.damaging(0));
            case SILENCE -> hurt(one, way -> way.cutting(true), way -> way.cutting(false));
            case PARTITION -> {
                List<Integer> others =
                        IntStream.range(0, names.size())
                                .boxed()
                                .filter(i -> !one.who().contains(i))
                                .toList();
                Happening there =
                        new Happening(one.at(), one.kind(), one.who(), others, 0, one.length());
                Happening back =
                        new Happening(one.at(), one.kind(), others, one.who(), 0, one.length());
                ways(there, way -> way.cutting(true));
                ways(back, way -> way.cutting(true));
                later(
                        one,
                        from,
                        () -> {
                            ways(there, way -> way.cutting(false));
                            ways(back, way -> way.cutting(false));
                        });
            }
            case FORGE -> {
                Forgeries.all(one.who().get(0), schedule.seed() + one.at())
                        .forEach(
                                bytes ->
                                        one.whom()
                                                .forEach(
                                                        to -> {
                                                            if (to.intValue() != one.who().get(0)) {
                                                                relay.forge(
                                                                        one.who().get(0),
                                                                        to,
                                                                        bytes);
                                                            }
                                                        }));
                history.span(from, one);
            }
            case DISCOVERY_CUT -> {
                one.who().forEach(i -> fleet.discovery().cut(names.get(i), true));
                later(
                        one,
                        from,
                        () -> one.who().forEach(i -> fleet.discovery().cut(names.get(i), false)));
            }
            case DISCOVERY_LATE -> {
                one.who()
                        .forEach(
                                i ->
                                        fleet.discovery()
                                                .late(
                                                        names.get(i),
                                                        (long) (one.amount() * MILLISECOND)));
                later(
                        one,
                        from,
                        () -> one.who().forEach(i -> fleet.discovery().late(names.get(i), 0)));
            }
            case DISCOVERY_OLD -> {
                one.who().forEach(i -> fleet.discovery().pin(names.get(i), true));
                later(
                        one,
                        from,
                        () -> one.who().forEach(i -> fleet.discovery().pin(names.get(i), false)));
            }
            case CACHE_CUT -> {
                one.whom()
                        .forEach(
                                cache ->
                                        one.who()
                                                .forEach(
                                                        i ->
                                                                fleet.caches()
                                                                        .get(cache)
                                                                        .links()
                                                                        .get(i)
                                                                        .cut(true)));
                later(
                        one,
                        from,
                        () ->
                                one.whom()
                                        .forEach(
                                                cache ->
                                                        one.who()
                                                                .forEach(
                                                                        i ->
                                                                                fleet.caches()
                                                                                        .get(cache)
                                                                                        .links()
                                                                                        .get(i)
                                                                                        .cut(
                                                                                                false))));
            }
            case DRAIN -> {
                for (int cache : one.whom()) {
                    fleet.discovery()
                            .change(
                                    new Member(
                                            "cache-" + (cache + 1), Member.State.TERMINATING, 0));
                }
                later(
                        one,
                        from,
                        () ->
                                one.whom()
                                        .forEach(
                                                cache ->
                                                        fleet.discovery()
                                                                .change(
                                                                        new Member(
                                                                                "cache-"
                                                                                        + (cache
                                                                                                + 1),
                                                                                Member.State.READY,
                                                                                0))));
            }
            case CACHE_SILENT -> {
                one.whom().forEach(cache -> fleet.caches().get(cache).server().silence(true));
                later(
                        one,
                        from,
                        () ->
                                one.whom()
                                        .forEach(
                                                cache ->
                                                        fleet.caches()
                                                                .get(cache)
                                                                .server()
                                                                .silence(false)));
            }
            case CACHE_FAILS_WRITES -> {
                one.whom().forEach(cache -> fleet.caches().get(cache).server().failWrites(true));
                later(
                        one,
                        from,
                        () ->
                                one.whom()
                                        .forEach(
                                                cache ->
                                                        fleet.caches()
                                                                .get(cache)
                                                                .server()
                                                                .failWrites(false)));
            }
            case ARCHIVE_SLOW -> {
                fleet.archiveTakes(one.amount());
                later(one, from, () -> fleet.archiveTakes(1));
            }
            case CACHE_RESTART -> {
                for (int cache : one.whom()) {
                    Fleet.Cache met = fleet.caches().get(cache);
                    met.server()
                            .restart(
                                    () ->
                                            fleet.discovery()
                                                    .change(
                                                            new Member(
                                                                    met.server().name(),
                                                                    Member.State.READY,
                                                                    System.currentTimeMillis())));
                }
                history.span(from, one);
            }
            case FLAP -> flap(one, from);
            case RETRY ->
                    one.who()
                            .forEach(
                                    i -> {
                                        Retriers clients =
                                                new Retriers(fleet.balancers().get(i).listen());
                                        retriers.add(clients);
                                        clients.start(RETRIERS);
                                        later(one, from, clients::stop);
                                    });
            case KEEP_IN, SHUT_OUT -> {
                decide(one, one.kind().word());
                later(one, from, () -> decide(one, "let-go"));
            }
            case HOLD -> {
                hold(one, true);
                later(one, from, () -> hold(one, false));
            }
            case DISK_SMALL -> {
                // It is so from the start.
            }
            case LOOK -> look();
            case CONFIG, CONFIG_OTHER, CONFIG_QUIET, CONFIG_BAD, CONFIG_UNFIT, CONFIG_HARMFUL -> {
                configure(one);
                history.span(from, one);
            }
            case WALL_CLOCK -> {
                for (int i : one.who()) {
                    Files.writeString(
                            folder.resolve(names.get(i)).resolve("wall"),
                            Long.toString((long) one.amount()));
                    offsets[i] = (long) one.amount();
                    history.process(i, History.What.WALL, offsets[i]);
                }
            }
            default -> processes(one, from);
        }
    }

    /** Drained first, ready at the end. */
    private void flap(Happening one, long from) {
        long every = Math.max(1, (long) one.amount()) * MILLISECOND;
        int steps = (int) (one.length() / every);
        for (int i = 0; i < steps; i++) {
            Member.State state =
                    i % 2 == 0 && i < steps - 1 ? Member.State.TERMINATING : Member.State.READY;
            thread.schedule(
                    () ->
                            one.whom()
                                    .forEach(
                                            cache ->
                                                    fleet.discovery()
                                                            .change(
                                                                    new Member(
                                                                            "cache-" + (cache + 1),
                                                                            state,
                                                                            0))),
                    i * every,
                    TimeUnit.NANOSECONDS);
        }
        later(one, from, () -> {});
    }

    private void decide(Happening one, String what) throws IOException, InterruptedException {
        for (int i : one.who()) {
            http.send(
                    HttpRequest.newBuilder(
                                    URI.create(
                                            "http://"
                                                    + JSON.std.mapFrom(configs[i]).get("console")
                                                    + "/ops/stragglers/"
                                                    + what))
                            .timeout(CALL)
                            .POST(HttpRequest.BodyPublishers.noBody())
                            .build(),
                    HttpResponse.BodyHandlers.discarding());
        }
    }

    private void hold(Happening one, boolean on) throws IOException, InterruptedException {
        for (int i : one.who()) {
            for (int cache : one.whom()) {
                try {
                    Object console = JSON.std.mapFrom(configs[i]).get("console");
                    int status =
                            http.send(
                                            HttpRequest.newBuilder(
                                                            URI.create(
                                                                    "http://"
                                                                            + console
                                                                            + "/ops/template-caches/"
                                                                            + (on ? "down" : "up")))
                                                    .timeout(CALL)
                                                    .POST(
                                                            HttpRequest.BodyPublishers.ofString(
                                                                    "{\"id\":\"cache-"
                                                                            + (cache + 1)
                                                                            + "\"}"))
                                                    .build(),
                                            HttpResponse.BodyHandlers.discarding())
                                    .statusCode();
                    if (status == 200) {
                        history.held(i, "cache-" + (cache + 1), on);
                    }
                } catch (IOException e) {
                    // Its process is away, or frozen: it was not told.
                }
            }
        }
    }

    private void configure(Happening one) throws IOException {
        for (int i : one.who()) {
            if (one.kind() == Happening.Kind.CONFIG_BAD) {
                running[i].configure(configs[i].substring(0, configs[i].length() / 2));
                history.configured(i, -1, 0, true);
                hangUp(i);
                running[i].configure(configs[i]);
                continue;
            }
            Map<String, Object> config = new LinkedHashMap<>(JSON.std.mapFrom(configs[i]));
            long number = (long) one.amount();
            config.put("version", number);
            Map<String, Object> settings = new LinkedHashMap<>(map(config.get("settings")));
            Map<String, Object> ceilings = new LinkedHashMap<>(map(settings.get("ceilings")));
            // The content is the number's, and that of the other one is different.
            ceilings.put(
                    "max-retry-after-ns",
                    1_000_000_000L
                            + number * 1_000_000
                            + (one.kind() == Happening.Kind.CONFIG_OTHER ? 500_000 : 0));
            if (one.kind() == Happening.Kind.CONFIG_UNFIT) {
                ceilings.put("multiplex", 0);
            }
            // Where no request may be open, every one is refused. The content is the number's,
            // whoever gets it how.
            boolean harmful =
                    schedule.happenings().stream()
                            .anyMatch(
                                    other ->
                                            other.kind() == Happening.Kind.CONFIG_HARMFUL
                                                    && other.amount() == one.amount());
            ceilings.put("max-open", harmful ? 0 : 20_000);
            settings.put("ceilings", ceilings);
            config.put("settings", settings);
            configs[i] = JSON.std.asString(config);
            // One that is starting reads it then, or is told once it serves.
            history.configured(
                    i,
                    number,
                    one.kind() == Happening.Kind.CONFIG_UNFIT ? 0 : digest(configs[i]),
                    one.kind() != Happening.Kind.CONFIG_QUIET
                            && one.kind() != Happening.Kind.CONFIG_UNFIT
                            && starting.get(i) == 0);
            running[i].configure(configs[i]);
            if (one.kind() != Happening.Kind.CONFIG_QUIET) {
                changes.incrementAndGet(i);
                hangUp(i);
            }
        }
    }

    /**
     * A process that is starting hears no signal yet, and would die of it: it is told once it
     * serves.
     */
    private void hangUp(int place) throws IOException {
        if (running[place].isAlive() && starting.get(place) == 0) {
            running[place].hangUp();
        }
    }

    private static Map<String, Object> map(Object value) {
        Map<String, Object> copy = new LinkedHashMap<>();
        ((Map<?, ?>) value).forEach((name, inner) -> copy.put(String.valueOf(name), inner));
        return copy;
    }

    private void processes(Happening one, long from) throws IOException, InterruptedException {
        for (int i : one.who()) {
            BalancerProcess process = running[i];
            switch (one.kind()) {
                case KILL, KILL_EMPTY -> {
                    front.stopped(i);
                    history.process(i, History.What.KILLED, 0);
                    process.kill();
                    later(
                            one,
                            from,
                            () -> {
                                if (one.kind() == Happening.Kind.KILL_EMPTY) {
                                    Files.move(
                                            process.folder().resolve("tmp"),
                                            process.folder().resolve("tmp-" + from));
                                    Files.createDirectories(process.folder().resolve("tmp"));
                                }
                                start(i, process);
                            });
                }
                case TERMINATE -> {
                    front.stopped(i);
                    history.process(i, History.What.TERMINATED, 0);
                    process.terminate(STOP_MS);
                    later(one, from, () -> start(i, process));
                }
                case FREEZE -> {
                    history.process(i, History.What.FROZEN, 0);
                    process.signal("STOP");
                    later(
                            one,
                            from,
                            () -> {
                                process.signal("CONT");
                                history.process(i, History.What.THAWED, 0);
                            });
                }
                case STARVE -> starve(one, i, process, from);
                case DISK -> {
                    Path audit = process.folder().resolve("tmp/audit");
                    Path aside = process.folder().resolve("tmp/audit-aside");
                    if (Files.isDirectory(audit)) {
                        Files.move(audit, aside);
                    }
                    Files.writeString(audit, "not a folder");
                    // Its temporary files may have been taken away meanwhile, and new ones have
                    // come.
                    later(
                            one,
                            from,
                            () -> {
                                if (Files.isRegularFile(audit)) {
                                    Files.delete(audit);
                                }
                            });
                }
                default -> upgrade(one, i, process, from);
            }
        }
    }

    private void start(int place, BalancerProcess process)
            throws IOException, InterruptedException {
        int known = changes.get(place);
        starting.set(place, 1);
        history.process(place, History.What.STARTED, offsets[place]);
        process.start();
        process.awaitReady();
        starting.set(place, 0);
        if (changes.get(place) != known) {
            hangUp(place);
        }
    }

    /** The process runs for a part of each slice only. */
    private void starve(Happening one, int place, BalancerProcess process, long from)
            throws IOException, InterruptedException {
        history.process(place, History.What.STARVED, 0);
        long end = from + one.length();
        while (history.moment() < end) {
            process.signal("STOP");
            Thread.sleep((long) (STARVE_SLICE_MS * (1 - one.amount())));
            process.signal("CONT");
            Thread.sleep((long) (STARVE_SLICE_MS * one.amount()));
        }
        history.process(place, History.What.FED, 0);
        history.span(from, one);
    }

    /**
     * Another process of the balancer, with another console; the old one is ended once it serves.
     */
    private void upgrade(Happening one, int place, BalancerProcess old, long from)
            throws IOException, InterruptedException {
        Map<String, Object> config = new LinkedHashMap<>(JSON.std.mapFrom(configs[place]));
        config.put("console", Loopback.text(Loopback.port(Loopback.freePort())));
        configs[place] = JSON.std.asString(config);
        Fleet.Place at = fleet.balancers().get(place);
        BalancerProcess fresh =
                new BalancerProcess(
                        names.get(place),
                        program(
                                place,
                                NEXT_BUILD,
                                one.kind() == Happening.Kind.UPGRADE_FORM ? NEXT_FORM : 1),
                        old.folder(),
                        at.listen(),
                        configs[place]);
        int known = changes.get(place);
        starting.set(place, 1);
        history.process(place, History.What.STARTED, offsets[place]);
        fresh.start();
        long limit = history.moment() + 10_000 * MILLISECOND;
        while (history.moment() < limit && !ready((String) config.get("console"))) {
            Thread.sleep(20);
        }
        running[place] = fresh;
        starting.set(place, 0);
        if (changes.get(place) != known) {
            hangUp(place);
        }
        Thread.sleep(500);
        front.stopped(place);
        history.process(place, History.What.TERMINATED, 0);
        old.terminate(STOP_MS);
        // The younger one has been up all the while.
        history.process(place, History.What.FED, 0);
        history.span(from, one);
    }

    private boolean ready(String console) throws InterruptedException {
        try {
            return http.send(
                                    HttpRequest.newBuilder(
                                                    URI.create(
                                                            "http://" + console + "/ops/readiness"))
                                            .timeout(CALL)
                                            .build(),
                                    HttpResponse.BodyHandlers.discarding())
                            .statusCode()
                    == 200;
        } catch (IOException e) {
            return false;
        }
    }
}
