package frostrelay.testbed.campaign;

import com.fasterxml.jackson.jr.ob.JSON;

import frostrelay.testbed.client.ClientStatistics;
import frostrelay.testbed.client.OpenLoopClients;
import frostrelay.testbed.client.RoundRobinFrontend;
import frostrelay.testbed.discovery.Member;
import frostrelay.testbed.fleet.BalancerCommand;
import frostrelay.testbed.fleet.BalancerConfig;
import frostrelay.testbed.fleet.BalancerProcess;
import frostrelay.testbed.fleet.TestCluster;
import frostrelay.testbed.invariants.Invariant;
import frostrelay.testbed.scenario.Scenario;
import frostrelay.testbed.scenario.ScenarioFile;
import frostrelay.testbed.wire.Loopback;

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
public final class CampaignRun {
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

    /** Log events of a balancer that checks read. */
    private static final String STALE_DRAIN_STARTED = "stale-drain-started";

    private static final String STALE_DRAIN_ENDED = "stale-drain-ended";
    private static final String OUTLIER_REPORTED = "outlier-reported";
    private static final String OUTLIERS_DOWNWEIGHTED = "outliers-downweighted";
    private static final long MILLISECOND_NANOS = 1_000_000L;
    private static final Duration HTTP_TIMEOUT = Duration.ofSeconds(2);
    private static final long PENDING_TIMEOUT_NANOS = 20_000 * MILLISECOND_NANOS;
    private static final long STOP_TIMEOUT_MILLIS = 6_000;
    private static final long STARVE_SLICE_MILLIS = 100;
    private static final String SCENARIO_TEMPLATE =
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

    private static final long SECOND_MILLIS = 1_000;
    private static final int REQUESTS_PER_SECOND = 40;

    /**
     * So few that no balancer can judge caches by itself soon: each meets one every second or so.
     */
    private static final int LOW_REQUESTS_PER_SECOND = 6;

    private static final int RETRYING_CLIENT_COUNT = 8;

    /** One in so many may be late beyond its time and grace on a machine that others share. */
    private static final int LOST_DIVISOR = 200;

    /** What an upgrade brings goes by this: two builds talk and keep records side by side. */
    private static final int UPGRADE_BUILD = 77;

    private static final int UPGRADE_WIRE_FORMAT = 2;

    private final CampaignSubject subject;
    private final Schedule schedule;
    private final Path folder;
    private final Launch launch;
    private final String defect;
    private final EventHistory history = new EventHistory();
    private final List<Violation> violations = new CopyOnWriteArrayList<>();
    private final List<String> names;
    private final List<InetSocketAddress> gossipAddresses = new ArrayList<>();
    private final BalancerProcess[] processes;
    private final String[] configs;
    private final long[] wallOffsetsMillis;
    private final ScheduledExecutorService scheduler =
            Executors.newScheduledThreadPool(8, CampaignRun::daemonThread);

    /** Asks consoles, each on a thread of its own: one that is frozen keeps nobody else waiting. */
    private final ScheduledExecutorService adminPoller;

    private final HttpClient http = HttpClient.newBuilder().connectTimeout(HTTP_TIMEOUT).build();
    private long beganNanos;
    private DatagramRelay relay;
    private TestCluster fleet;
    private RoundRobinFrontend frontend;
    private final AtomicIntegerArray starting;
    private final AtomicIntegerArray configChanges;
    private final AtomicInteger pendingEvents = new AtomicInteger();
    private final List<RetryingClients> retryingClients = new CopyOnWriteArrayList<>();

    private CampaignRun(
            CampaignSubject subject, Schedule schedule, Path folder, Launch launch, String defect) {
        this.subject = subject;
        this.schedule = schedule;
        this.folder = folder;
        this.launch = launch;
        this.defect = defect;
        names = IntStream.range(0, schedule.processes()).mapToObj(BalancerConfig::name).toList();
        processes = new BalancerProcess[names.size()];
        configs = new String[names.size()];
        wallOffsetsMillis = new long[names.size()];
        adminPoller = Executors.newScheduledThreadPool(names.size(), CampaignRun::daemonThread);
        starting = new AtomicIntegerArray(names.size());
        configChanges = new AtomicIntegerArray(names.size());
    }

    private static Thread daemonThread(Runnable task) {
        Thread fresh = new Thread(task, "campaign");
        fresh.setDaemon(true);
        return fresh;
    }

    /** Plays it; {@code defect}: put into the last balancer, or null. */
    public static Outcome play(
            CampaignSubject subject, Schedule schedule, Path folder, Launch launch, String defect)
            throws IOException, InterruptedException {
        CampaignRun play = new CampaignRun(subject, schedule, folder, launch, defect);
        try {
            return play.play();
        } finally {
            play.scheduler.shutdownNow();
            play.adminPoller.shutdownNow();
        }
    }

    private Scenario scenario() {
        return ScenarioFile.parse(
                "campaign",
                String.format(
                        Locale.ROOT,
                        SCENARIO_TEMPLATE,
                        schedule.seed() & 0xffff,
                        schedule.lengthNanos() / MILLISECOND_NANOS,
                        Schedule.CACHE_COUNT,
                        names.size(),
                        (schedule.requestsPerSecond() > 0
                                        ? schedule.requestsPerSecond()
                                        : subject == CampaignSubject.JUDGEMENTS
                                                ? LOW_REQUESTS_PER_SECOND
                                                : REQUESTS_PER_SECOND)
                                * names.size()));
    }

    /** {@code build}: the number that it goes by, 0 for its own. */
    private BalancerCommand program(int place, int build, int wireFormat) {
        Path balancerFolder = folder.resolve(names.get(place));
        List<String> properties =
                new ArrayList<>(
                        List.of(
                                "-Dfrostrelay.peers=on",
                                "-Dfrostrelay.audit=on",
                                "-Dfrostrelay.audit.each=on",
                                "-Dfrostrelay.audit.folder=audit",
                                "-Dfrostrelay.campaign.wall=" + balancerFolder.resolve("wall"),
                                "-Dfrostrelay.campaign.build=" + build,
                                "-Dfrostrelay.campaign.form=" + wireFormat));
        if (subject == CampaignSubject.JUDGEMENTS) {
            properties.add("-Dfrostrelay.stragglers=on");
            properties.add("-Dfrostrelay.judgements=" + (OFF.equals(defect) ? "off" : "on"));
            properties.add("-Dfrostrelay.counts=on");
        }
        if (subject == CampaignSubject.STRAGGLERS && !OFF.equals(defect)) {
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
        for (FaultEvent one : schedule.events()) {
            if (one.kind() == FaultEvent.Kind.DISK_SMALL && one.balancers().contains(place)) {
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
                return new BalancerCommand(limited);
            }
        }
        return new BalancerCommand(command);
    }

    private Outcome play() throws IOException, InterruptedException {
        Files.createDirectories(folder);
        for (int i = 0; i < names.size(); i++) {
            gossipAddresses.add(Loopback.port(Loopback.freePort()));
            Files.createDirectories(folder.resolve(names.get(i)));
            Files.writeString(folder.resolve(names.get(i)).resolve("wall"), "0");
        }
        io.netty.channel.nio.NioEventLoopGroup group =
                new io.netty.channel.nio.NioEventLoopGroup(1);
        try {
            relay = new DatagramRelay(group.next(), gossipAddresses, schedule.seed());
            fleet =
                    new TestCluster(
                            scenario(),
                            folder,
                            new TestCluster.BalancerCustomizer() {
                                @Override
                                public BalancerCommand program(int place) {
                                    return CampaignRun.this.program(place, 0, 1);
                                }

                                @Override
                                public Map<String, Object> extraKeys(int place) {
                                    Map<String, Object> further = new LinkedHashMap<>();
                                    further.put("version", 0);
                                    further.put(
                                            "peer_listen",
                                            Loopback.text(gossipAddresses.get(place)));
                                    further.put("peers", relay.peers(place));
                                    return further;
                                }
                            });
            try {
                return run();
            } finally {
                for (BalancerProcess process : processes) {
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
        fleet.invariantChecker().setObserver(history);
        fleet.discovery().publishToObserver();
        for (int i = 0; i < names.size(); i++) {
            processes[i] = fleet.balancers().get(i).process();
            configs[i] = fleet.balancers().get(i).config();
            history.recordProcessChange(i, EventHistory.ProcessEvent.WALL, 0);
            history.configured(i, 0, digest(configs[i]), true);
            history.recordProcessChange(i, EventHistory.ProcessEvent.STARTED, 0);
        }
        fleet.startBalancers();
        frontend =
                new RoundRobinFrontend(
                        fleet.balancers().stream()
                                .map(TestCluster.BalancerInstance::listenAddress)
                                .toList());
        ClientStatistics clientStatistics = new ClientStatistics();
        OpenLoopClients load =
                new OpenLoopClients(
                        fleet.scenario(),
                        frontend,
                        fleet.loop(),
                        fleet.invariantChecker(),
                        clientStatistics);
        long begin = history.elapsedNanos();
        beganNanos = begin;
        for (FaultEvent one : schedule.events()) {
            pendingEvents.incrementAndGet();
            scheduler.schedule(() -> runGuarded(one), one.atNanos(), TimeUnit.NANOSECONDS);
        }
        if (subject == CampaignSubject.JUDGEMENTS) {
            for (int i = 0; i < names.size(); i++) {
                int place = i;
                adminPoller.scheduleAtFixedRate(
                        () -> recordCounters(place),
                        SECOND_MILLIS + i * SECOND_MILLIS / names.size(),
                        SECOND_MILLIS,
                        TimeUnit.MILLISECONDS);
            }
        }
        Future<ClientStatistics> done = load.run();
        try {
            done.get(schedule.lengthNanos() + 30_000 * MILLISECOND_NANOS, TimeUnit.NANOSECONDS);
        } catch (ExecutionException | TimeoutException e) {
            violations.add(
                    new Violation("play", "requests are still open long after the last: " + e));
        }
        // A process that took long to end is started later than planned; all of it is to be over.
        for (long limit = history.elapsedNanos() + PENDING_TIMEOUT_NANOS;
                pendingEvents.get() > 0 && history.elapsedNanos() < limit; ) {
            Thread.sleep(50);
        }
        long left = begin + schedule.lengthNanos() - history.elapsedNanos();
        if (left > 0) {
            Thread.sleep(left / MILLISECOND_NANOS);
        }
        adminPoller.shutdownNow();
        recordSnapshots();
        long end = history.elapsedNanos();
        List<java.util.concurrent.Future<?>> ending = new ArrayList<>();
        for (BalancerProcess process : processes) {
            ending.add(
                    scheduler.submit(
                            () -> {
                                if (process.isAlive()) {
                                    process.terminate(STOP_TIMEOUT_MILLIS);
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
        return check(clientStatistics, end);
    }

    private Outcome check(ClientStatistics clientStatistics, long end) throws IOException {
        Map<String, List<AuditRecord>> records = new LinkedHashMap<>();
        for (String name : names) {
            List<AuditRecord> auditRecords = new ArrayList<>();
            for (Path folderWithRecords : auditFolders(name)) {
                auditRecords.addAll(AuditRecord.read(name, folderWithRecords));
            }
            records.put(name, auditRecords);
        }
        history.write(folder.resolve("history.jsonl"));
        Files.writeString(folder.resolve("schedule.toml"), schedule.toml());
        AuditCheck check =
                new AuditCheck(history, records, names, subject == CampaignSubject.STRAGGLERS, end);
        violations.addAll(check.run());
        for (Invariant rule :
                List.of(
                        Invariant.RAN_TWICE,
                        Invariant.KEYED_TWICE,
                        Invariant.FOREIGN_ANSWER,
                        Invariant.TWO_ANSWERS)) {
            if (fleet.invariantChecker().violationCount(rule) > 0) {
                violations.add(
                        new Violation(
                                "rules", rule + ": " + fleet.invariantChecker().violations()));
            }
        }
        Map<String, Object> figures = new LinkedHashMap<>(check.figures());
        if (subject == CampaignSubject.STRAGGLERS) {
            StaleInstanceCheck further =
                    new StaleInstanceCheck(
                            history, records, names, lookAsideSteps(), check::toTestbedNanos, end);
            List<Violation> otherBalancers = further.run();
            // Without the part that is looked at, its figures are wanted, not its promises.
            violations.addAll(OFF.equals(defect) ? List.of() : otherBalancers);
            figures.putAll(further.figures());
        }
        if (subject == CampaignSubject.JUDGEMENTS) {
            HealthReportCheck further =
                    new HealthReportCheck(history, names, reportEvents(), beganNanos, end);
            List<Violation> otherBalancers = further.run();
            violations.addAll(OFF.equals(defect) ? List.of() : otherBalancers);
            figures.putAll(further.figures());
            ClusterCounterCheck counts =
                    new ClusterCounterCheck(history, records, names, check::toTestbedNanos);
            violations.addAll(counts.run());
            figures.putAll(counts.figures());
        }
        for (RetryingClients clients : retryingClients) {
            figures.merge("retried", clients.answered.get(), (a, b) -> (int) a + (int) b);
            if (clients.unanswered.get() + clients.mismatched.get() > 0) {
                violations.add(
                        new Violation(
                                "retriers",
                                clients.unanswered
                                        + " requests got neither answer nor close, "
                                        + clients.mismatched
                                        + " another's answer"));
            }
        }
        checkLostRequests(clientStatistics);
        figures.put("lost", clientStatistics.count(ClientStatistics.Outcome.LOST));
        long[] carried = relay.traffic();
        if (carried[2] > 256) {
            violations.add(new Violation("datagrams", "one of " + carried[2] + " bytes"));
        }
        figures.put("asked", clientStatistics.requests());
        figures.put("servedInTime", clientStatistics.count(ClientStatistics.Outcome.IN_TIME));
        figures.put("datagrams", carried[0]);
        figures.put("bytesASecondEach", Math.round(carried[1] / (end / 1e9) / names.size()));
        figures.put("lives", records.values().stream().mapToInt(List::size).sum());
        return new Outcome(schedule, List.copyOf(violations), figures, folder);
    }

    /**
     * A balancer that was frozen owes nobody, nor do all that were killed at once. A late answer
     * may be this machine's fault, a closed connection is not.
     */
    private void checkLostRequests(ClientStatistics clientStatistics) {
        boolean allStopped =
                schedule.events().stream()
                        .anyMatch(
                                one ->
                                        one.kind() == FaultEvent.Kind.FREEZE
                                                || one.kind() == FaultEvent.Kind.STARVE
                                                || one.balancers().size() == names.size()
                                                        && (one.kind() == FaultEvent.Kind.KILL
                                                                || one.kind()
                                                                        == FaultEvent.Kind
                                                                                .KILL_EMPTY));
        long closed =
                fleet.invariantChecker().violations().stream()
                        .filter(
                                one ->
                                        one.invariant() == Invariant.NO_ANSWER
                                                && one.detail().contains("connection ended"))
                        .count();
        if (closed > 0) {
            violations.add(
                    new Violation(
                            "lost",
                            closed
                                    + " requests were neither answered nor excused when their connections ended"));
        }
        if (!allStopped
                && clientStatistics.count(ClientStatistics.Outcome.LOST) * LOST_DIVISOR
                        > clientStatistics.requests()) {
            violations.add(
                    new Violation(
                            "lost",
                            clientStatistics.count(ClientStatistics.Outcome.LOST)
                                    + " of "
                                    + clientStatistics.requests()
                                    + " requests got no answer"));
        }
    }

    /** A line of a balancer's log, and when it was written by the rig's clock. */
    private record Logged(long atNanos, int balancer, String event, Map<String, Object> fields) {}

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
                                        history.fromWallClockNanos(
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
        all.sort((a, b) -> Long.compare(a.atNanos, b.atNanos));
        return all;
    }

    /** When balancers stepped aside and came back, by what they logged. */
    private List<long[]> lookAsideSteps() throws IOException {
        return logged(STALE_DRAIN_STARTED, STALE_DRAIN_ENDED).stream()
                .map(
                        one ->
                                new long[] {
                                    one.atNanos,
                                    one.balancer,
                                    one.event.equals(STALE_DRAIN_STARTED) ? 1 : -1
                                })
                .toList();
    }

    private List<HealthReportCheck.ReportEvent> reportEvents() throws IOException {
        List<HealthReportCheck.ReportEvent> all = new ArrayList<>();
        for (Logged one : logged(OUTLIER_REPORTED, OUTLIERS_DOWNWEIGHTED)) {
            Set<String> downweighted = new HashSet<>();
            if (one.fields.get("caches") instanceof List<?> caches) {
                caches.forEach(cache -> downweighted.add(String.valueOf(cache)));
            }
            boolean found = one.event.equals(OUTLIER_REPORTED);
            all.add(
                    new HealthReportCheck.ReportEvent(
                            one.atNanos,
                            one.balancer,
                            found ? String.valueOf(one.fields.get("cache")) : null,
                            found ? null : downweighted));
        }
        return all;
    }

    /** All folders in which a balancer kept its record. */
    private List<Path> auditFolders(String name) throws IOException {
        List<Path> folders = new ArrayList<>();
        Path balancerFolder = folder.resolve(name);
        try (var all = Files.newDirectoryStream(balancerFolder, "tmp*")) {
            for (Path tmp : all) {
                folders.add(tmp.resolve("audit"));
                folders.add(tmp.resolve("audit-aside"));
            }
        }
        return folders;
    }

    /** What a console says; null where it says nothing that can be used. */
    private Map<String, Object> fetchAudit(int place) throws IOException, InterruptedException {
        HttpResponse<String> answer =
                http.send(
                        HttpRequest.newBuilder(
                                        URI.create(
                                                "http://"
                                                        + JSON.std
                                                                .mapFrom(configs[place])
                                                                .get("console")
                                                        + "/ops/audit"))
                                .timeout(HTTP_TIMEOUT)
                                .build(),
                        HttpResponse.BodyHandlers.ofString());
        return answer.statusCode() == 200 ? JSON.std.mapFrom(answer.body()) : null;
    }

    /**
     * What a balancer counts now; one that is away or frozen says nothing, and another second it
     * will.
     */
    private void recordCounters(int place) {
        long at = history.elapsedNanos();
        try {
            Map<String, Object> response = fetchAudit(place);
            if (response != null) {
                history.counted(at, place, response);
            }
        } catch (IOException e) {
            // Whether it should have answered is asked where all consoles are looked at.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Asks all consoles; one that is away or frozen says nothing. */
    private void recordSnapshots() throws IOException, InterruptedException {
        for (int i = 0; i < names.size(); i++) {
            long at = history.elapsedNanos();
            try {
                Map<String, Object> response = fetchAudit(i);
                if (response != null) {
                    history.recordSnapshot(at, i, response);
                }
            } catch (IOException e) {
                if (history.isRunning(i) && starting.get(i) == 0) {
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

    private void runGuarded(FaultEvent one) {
        try {
            apply(one);
        } catch (IOException | InterruptedException | RuntimeException e) {
            violations.add(new Violation("play", one.describe() + " failed: " + e));
        } finally {
            pendingEvents.decrementAndGet();
        }
    }

    private interface Step {
        void run() throws IOException, InterruptedException;
    }

    /** What ends a happening, at its end. */
    private void scheduleUndo(FaultEvent one, long from, Step undo) {
        pendingEvents.incrementAndGet();
        // From its beginning on: what took its time to begin is not longer for it.
        scheduler.schedule(
                () -> {
                    try {
                        undo.run();
                        history.recordSpan(from, one);
                    } catch (IOException | InterruptedException | RuntimeException e) {
                        violations.add(
                                new Violation(
                                        "play", "the end of " + one.describe() + " failed: " + e));
                    } finally {
                        pendingEvents.decrementAndGet();
                    }
                },
                Math.max(0, from + one.durationNanos() - history.elapsedNanos()),
                TimeUnit.NANOSECONDS);
    }

    private void changePaths(
            FaultEvent one, java.util.function.UnaryOperator<DatagramRelay.NetworkPath> change) {
        for (int from : one.balancers()) {
            for (int to : one.targets()) {
                if (from != to) {
                    relay.changePath(from, to, change);
                }
            }
        }
    }

    private void impairPaths(
            FaultEvent one,
            java.util.function.UnaryOperator<DatagramRelay.NetworkPath> on,
            java.util.function.UnaryOperator<DatagramRelay.NetworkPath> off) {
        long from = history.elapsedNanos();
        changePaths(one, on);
        scheduleUndo(one, from, () -> changePaths(one, off));
    }

    private void apply(FaultEvent one) throws IOException, InterruptedException {
        long from = history.elapsedNanos();
        switch (one.kind()) {
            case LOSS ->
                    impairPaths(one, way -> way.withLoss(one.amount()), way -> way.withLoss(0));
            case DELAY ->
                    impairPaths(
                            one,
                            way ->
                                    way.withDelay(
                                            MILLISECOND_NANOS,
                                            (long) (one.amount() * MILLISECOND_NANOS)),
                            way -> way.withDelay(0, 0));
            case DOUBLE ->
                    impairPaths(
                            one,
                            way -> way.withDuplication(one.amount()),
                            way -> way.withDuplication(0));
            case DAMAGE ->
                    impairPaths(
                            one,
                            way -> way.withCorruption(one.amount()),
                            way -> way.withCorruption(0));
            case SILENCE -> impairPaths(one, way -> way.withCut(true), way -> way.withCut(false));
            case PARTITION -> {
                List<Integer> otherBalancers =
                        IntStream.range(0, names.size())
                                .boxed()
                                .filter(i -> !one.balancers().contains(i))
                                .toList();
                FaultEvent outgoing =
                        new FaultEvent(
                                one.atNanos(),
                                one.kind(),
                                one.balancers(),
                                otherBalancers,
                                0,
                                one.durationNanos());
                FaultEvent incoming =
                        new FaultEvent(
                                one.atNanos(),
                                one.kind(),
                                otherBalancers,
                                one.balancers(),
                                0,
                                one.durationNanos());
                changePaths(outgoing, way -> way.withCut(true));
                changePaths(incoming, way -> way.withCut(true));
                scheduleUndo(
                        one,
                        from,
                        () -> {
                            changePaths(outgoing, way -> way.withCut(false));
                            changePaths(incoming, way -> way.withCut(false));
                        });
            }
            case FORGE -> {
                ForgedDatagrams.all(one.balancers().get(0), schedule.seed() + one.atNanos())
                        .forEach(
                                bytes ->
                                        one.targets()
                                                .forEach(
                                                        to -> {
                                                            if (to.intValue()
                                                                    != one.balancers().get(0)) {
                                                                relay.sendForged(
                                                                        one.balancers().get(0),
                                                                        to,
                                                                        bytes);
                                                            }
                                                        }));
                history.recordSpan(from, one);
            }
            case DISCOVERY_CUT -> {
                one.balancers().forEach(i -> fleet.discovery().setPartitioned(names.get(i), true));
                scheduleUndo(
                        one,
                        from,
                        () ->
                                one.balancers()
                                        .forEach(
                                                i ->
                                                        fleet.discovery()
                                                                .setPartitioned(
                                                                        names.get(i), false)));
            }
            case DISCOVERY_LATE -> {
                one.balancers()
                        .forEach(
                                i ->
                                        fleet.discovery()
                                                .setDelay(
                                                        names.get(i),
                                                        (long) (one.amount() * MILLISECOND_NANOS)));
                scheduleUndo(
                        one,
                        from,
                        () ->
                                one.balancers()
                                        .forEach(i -> fleet.discovery().setDelay(names.get(i), 0)));
            }
            case DISCOVERY_OLD -> {
                one.balancers().forEach(i -> fleet.discovery().setPinned(names.get(i), true));
                scheduleUndo(
                        one,
                        from,
                        () ->
                                one.balancers()
                                        .forEach(
                                                i ->
                                                        fleet.discovery()
                                                                .setPinned(names.get(i), false)));
            }
            case CACHE_CUT -> {
                one.targets()
                        .forEach(
                                cache ->
                                        one.balancers()
                                                .forEach(
                                                        i ->
                                                                fleet.caches()
                                                                        .get(cache)
                                                                        .proxies()
                                                                        .get(i)
                                                                        .setCut(true)));
                scheduleUndo(
                        one,
                        from,
                        () ->
                                one.targets()
                                        .forEach(
                                                cache ->
                                                        one.balancers()
                                                                .forEach(
                                                                        i ->
                                                                                fleet.caches()
                                                                                        .get(cache)
                                                                                        .proxies()
                                                                                        .get(i)
                                                                                        .setCut(
                                                                                                false))));
            }
            case DRAIN -> {
                for (int cache : one.targets()) {
                    fleet.discovery()
                            .change(
                                    new Member(
                                            "cache-" + (cache + 1), Member.State.TERMINATING, 0));
                }
                scheduleUndo(
                        one,
                        from,
                        () ->
                                one.targets()
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
                one.targets()
                        .forEach(cache -> fleet.caches().get(cache).server().setUnresponsive(true));
                scheduleUndo(
                        one,
                        from,
                        () ->
                                one.targets()
                                        .forEach(
                                                cache ->
                                                        fleet.caches()
                                                                .get(cache)
                                                                .server()
                                                                .setUnresponsive(false)));
            }
            case CACHE_FAILS_WRITES -> {
                one.targets()
                        .forEach(
                                cache -> fleet.caches().get(cache).server().setFailingWrites(true));
                scheduleUndo(
                        one,
                        from,
                        () ->
                                one.targets()
                                        .forEach(
                                                cache ->
                                                        fleet.caches()
                                                                .get(cache)
                                                                .server()
                                                                .setFailingWrites(false)));
            }
            case ARCHIVE_SLOW -> {
                fleet.slowOrigin(one.amount());
                scheduleUndo(one, from, () -> fleet.slowOrigin(1));
            }
            case CACHE_RESTART -> {
                for (int cache : one.targets()) {
                    TestCluster.CacheInstance met = fleet.caches().get(cache);
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
                history.recordSpan(from, one);
            }
            case FLAP -> flap(one, from);
            case RETRY ->
                    one.balancers()
                            .forEach(
                                    i -> {
                                        RetryingClients clients =
                                                new RetryingClients(
                                                        fleet.balancers().get(i).listenAddress());
                                        retryingClients.add(clients);
                                        clients.start(RETRYING_CLIENT_COUNT);
                                        scheduleUndo(one, from, clients::stop);
                                    });
            case KEEP_IN, SHUT_OUT -> {
                postOverride(one, one.kind().keyword());
                scheduleUndo(one, from, () -> postOverride(one, "let-go"));
            }
            case HOLD -> {
                setAdminDrain(one, true);
                scheduleUndo(one, from, () -> setAdminDrain(one, false));
            }
            case DISK_SMALL -> {
                // It is so from the start.
            }
            case LOOK -> recordSnapshots();
            case CONFIG, CONFIG_OTHER, CONFIG_QUIET, CONFIG_BAD, CONFIG_UNFIT, CONFIG_HARMFUL -> {
                configure(one);
                history.recordSpan(from, one);
            }
            case WALL_CLOCK -> {
                for (int i : one.balancers()) {
                    Files.writeString(
                            folder.resolve(names.get(i)).resolve("wall"),
                            Long.toString((long) one.amount()));
                    wallOffsetsMillis[i] = (long) one.amount();
                    history.recordProcessChange(
                            i, EventHistory.ProcessEvent.WALL, wallOffsetsMillis[i]);
                }
            }
            default -> applyToProcesses(one, from);
        }
    }

    /** Drained first, ready at the end. */
    private void flap(FaultEvent one, long from) {
        long every = Math.max(1, (long) one.amount()) * MILLISECOND_NANOS;
        int steps = (int) (one.durationNanos() / every);
        for (int i = 0; i < steps; i++) {
            Member.State state =
                    i % 2 == 0 && i < steps - 1 ? Member.State.TERMINATING : Member.State.READY;
            scheduler.schedule(
                    () ->
                            one.targets()
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
        scheduleUndo(one, from, () -> {});
    }

    private void postOverride(FaultEvent one, String what)
            throws IOException, InterruptedException {
        for (int i : one.balancers()) {
            http.send(
                    HttpRequest.newBuilder(
                                    URI.create(
                                            "http://"
                                                    + JSON.std.mapFrom(configs[i]).get("console")
                                                    + "/ops/stragglers/"
                                                    + what))
                            .timeout(HTTP_TIMEOUT)
                            .POST(HttpRequest.BodyPublishers.noBody())
                            .build(),
                    HttpResponse.BodyHandlers.discarding());
        }
    }

    private void setAdminDrain(FaultEvent one, boolean drained)
            throws IOException, InterruptedException {
        for (int i : one.balancers()) {
            for (int cache : one.targets()) {
                try {
                    Object console = JSON.std.mapFrom(configs[i]).get("console");
                    int status =
                            http.send(
                                            HttpRequest.newBuilder(
                                                            URI.create(
                                                                    "http://"
                                                                            + console
                                                                            + "/ops/template-caches/"
                                                                            + (drained
                                                                                    ? "down"
                                                                                    : "up")))
                                                    .timeout(HTTP_TIMEOUT)
                                                    .POST(
                                                            HttpRequest.BodyPublishers.ofString(
                                                                    "{\"id\":\"cache-"
                                                                            + (cache + 1)
                                                                            + "\"}"))
                                                    .build(),
                                            HttpResponse.BodyHandlers.discarding())
                                    .statusCode();
                    if (status == 200) {
                        history.recordAdminDrain(i, "cache-" + (cache + 1), drained);
                    }
                } catch (IOException e) {
                    // Its process is away, or frozen: it was not told.
                }
            }
        }
    }

    private void configure(FaultEvent one) throws IOException {
        for (int i : one.balancers()) {
            if (one.kind() == FaultEvent.Kind.CONFIG_BAD) {
                processes[i].replaceConfig(configs[i].substring(0, configs[i].length() / 2));
                history.configured(i, -1, 0, true);
                signalReload(i);
                processes[i].replaceConfig(configs[i]);
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
                            + (one.kind() == FaultEvent.Kind.CONFIG_OTHER ? 500_000 : 0));
            if (one.kind() == FaultEvent.Kind.CONFIG_UNFIT) {
                ceilings.put("multiplex", 0);
            }
            // Where no request may be open, every one is refused. The content is the number's,
            // whoever gets it how.
            boolean harmful =
                    schedule.events().stream()
                            .anyMatch(
                                    other ->
                                            other.kind() == FaultEvent.Kind.CONFIG_HARMFUL
                                                    && other.amount() == one.amount());
            ceilings.put("max-open", harmful ? 0 : 20_000);
            settings.put("ceilings", ceilings);
            config.put("settings", settings);
            configs[i] = JSON.std.asString(config);
            // One that is starting reads it then, or is told once it serves.
            history.configured(
                    i,
                    number,
                    one.kind() == FaultEvent.Kind.CONFIG_UNFIT ? 0 : digest(configs[i]),
                    one.kind() != FaultEvent.Kind.CONFIG_QUIET
                            && one.kind() != FaultEvent.Kind.CONFIG_UNFIT
                            && starting.get(i) == 0);
            processes[i].replaceConfig(configs[i]);
            if (one.kind() != FaultEvent.Kind.CONFIG_QUIET) {
                configChanges.incrementAndGet(i);
                signalReload(i);
            }
        }
    }

    /**
     * A process that is starting hears no signal yet, and would die of it: it is told once it
     * serves.
     */
    private void signalReload(int place) throws IOException {
        if (processes[place].isAlive() && starting.get(place) == 0) {
            processes[place].signalReload();
        }
    }

    private static Map<String, Object> map(Object value) {
        Map<String, Object> copy = new LinkedHashMap<>();
        ((Map<?, ?>) value).forEach((name, inner) -> copy.put(String.valueOf(name), inner));
        return copy;
    }

    private void applyToProcesses(FaultEvent one, long from)
            throws IOException, InterruptedException {
        for (int i : one.balancers()) {
            BalancerProcess process = processes[i];
            switch (one.kind()) {
                case KILL, KILL_EMPTY -> {
                    frontend.onStopped(i);
                    history.recordProcessChange(i, EventHistory.ProcessEvent.KILLED, 0);
                    process.kill();
                    scheduleUndo(
                            one,
                            from,
                            () -> {
                                if (one.kind() == FaultEvent.Kind.KILL_EMPTY) {
                                    Files.move(
                                            process.directory().resolve("tmp"),
                                            process.directory().resolve("tmp-" + from));
                                    Files.createDirectories(process.directory().resolve("tmp"));
                                }
                                start(i, process);
                            });
                }
                case TERMINATE -> {
                    frontend.onStopped(i);
                    history.recordProcessChange(i, EventHistory.ProcessEvent.TERMINATED, 0);
                    process.terminate(STOP_TIMEOUT_MILLIS);
                    scheduleUndo(one, from, () -> start(i, process));
                }
                case FREEZE -> {
                    history.recordProcessChange(i, EventHistory.ProcessEvent.FROZEN, 0);
                    process.signal("STOP");
                    scheduleUndo(
                            one,
                            from,
                            () -> {
                                process.signal("CONT");
                                history.recordProcessChange(i, EventHistory.ProcessEvent.THAWED, 0);
                            });
                }
                case STARVE -> starve(one, i, process, from);
                case DISK -> {
                    Path audit = process.directory().resolve("tmp/audit");
                    Path aside = process.directory().resolve("tmp/audit-aside");
                    if (Files.isDirectory(audit)) {
                        Files.move(audit, aside);
                    }
                    Files.writeString(audit, "not a folder");
                    // Its temporary files may have been taken away meanwhile, and new ones have
                    // come.
                    scheduleUndo(
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
        int knownChanges = configChanges.get(place);
        starting.set(place, 1);
        history.recordProcessChange(
                place, EventHistory.ProcessEvent.STARTED, wallOffsetsMillis[place]);
        process.start();
        process.awaitReady();
        starting.set(place, 0);
        if (configChanges.get(place) != knownChanges) {
            signalReload(place);
        }
    }

    /** The process runs for a part of each slice only. */
    private void starve(FaultEvent one, int place, BalancerProcess process, long from)
            throws IOException, InterruptedException {
        history.recordProcessChange(place, EventHistory.ProcessEvent.STARVED, 0);
        long end = from + one.durationNanos();
        while (history.elapsedNanos() < end) {
            process.signal("STOP");
            Thread.sleep((long) (STARVE_SLICE_MILLIS * (1 - one.amount())));
            process.signal("CONT");
            Thread.sleep((long) (STARVE_SLICE_MILLIS * one.amount()));
        }
        history.recordProcessChange(place, EventHistory.ProcessEvent.FED, 0);
        history.recordSpan(from, one);
    }

    /**
     * Another process of the balancer, with another console; the old one is ended once it serves.
     */
    private void upgrade(FaultEvent one, int place, BalancerProcess old, long from)
            throws IOException, InterruptedException {
        Map<String, Object> config = new LinkedHashMap<>(JSON.std.mapFrom(configs[place]));
        config.put("console", Loopback.text(Loopback.port(Loopback.freePort())));
        configs[place] = JSON.std.asString(config);
        TestCluster.BalancerInstance at = fleet.balancers().get(place);
        BalancerProcess fresh =
                new BalancerProcess(
                        names.get(place),
                        program(
                                place,
                                UPGRADE_BUILD,
                                one.kind() == FaultEvent.Kind.UPGRADE_FORM
                                        ? UPGRADE_WIRE_FORMAT
                                        : 1),
                        old.directory(),
                        at.listenAddress(),
                        configs[place]);
        int knownChanges = configChanges.get(place);
        starting.set(place, 1);
        history.recordProcessChange(
                place, EventHistory.ProcessEvent.STARTED, wallOffsetsMillis[place]);
        fresh.start();
        long limit = history.elapsedNanos() + 10_000 * MILLISECOND_NANOS;
        while (history.elapsedNanos() < limit && !isReady((String) config.get("console"))) {
            Thread.sleep(20);
        }
        processes[place] = fresh;
        starting.set(place, 0);
        if (configChanges.get(place) != knownChanges) {
            signalReload(place);
        }
        Thread.sleep(500);
        frontend.onStopped(place);
        history.recordProcessChange(place, EventHistory.ProcessEvent.TERMINATED, 0);
        old.terminate(STOP_TIMEOUT_MILLIS);
        // The younger one has been up all the while.
        history.recordProcessChange(place, EventHistory.ProcessEvent.FED, 0);
        history.recordSpan(from, one);
    }

    private boolean isReady(String console) throws InterruptedException {
        try {
            return http.send(
                                    HttpRequest.newBuilder(
                                                    URI.create(
                                                            "http://" + console + "/ops/readiness"))
                                            .timeout(HTTP_TIMEOUT)
                                            .build(),
                                    HttpResponse.BodyHandlers.discarding())
                            .statusCode()
                    == 200;
        } catch (IOException e) {
            return false;
        }
    }
}
