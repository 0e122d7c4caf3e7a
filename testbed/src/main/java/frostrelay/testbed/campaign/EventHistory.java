package frostrelay.testbed.campaign;

import frostrelay.testbed.invariants.InvariantChecker;

import java.io.IOException;
import java.io.Writer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Who did what to whom, seen from the stand-ins, on the rig's one clock (nanoseconds from the
 * play's start). Safe for threads.
 */
public final class EventHistory implements InvariantChecker.Watcher {
    /** A command that came to a cache. */
    public record Command(long atNanos, String cache, String balancer, String id) {}

    /** A balancer was told the list up to a version; {@code balancer}: its name. */
    public record EndpointUpdate(long atNanos, String balancer, long rev) {}

    /**
     * A configuration was put in a balancer's place; {@code signalled}: and a signal sent; {@code
     * digest}: 0 for one that cannot be used.
     */
    public record ConfigChange(
            long atNanos, int balancer, long number, long digest, boolean signalled) {}

    /** Operators hold a cache at a balancer from then on, or no longer; it said yes. */
    public record AdminDrain(long atNanos, int balancer, String cache, boolean drained) {}

    /** A process began or ended; {@code wallOffsetMillis}: of its wall clock in milliseconds. */
    public record ProcessChange(
            long atNanos, int balancer, ProcessEvent event, long wallOffsetMillis) {}

    /** What became of a process. */
    public enum ProcessEvent {
        STARTED,
        KILLED,
        FROZEN,
        THAWED,
        TERMINATED,
        STARVED,
        FED,
        WALL
    }

    /**
     * What a balancer's console said of itself and the others, asked at one moment and answered by
     * the other.
     */
    public record AdminSnapshot(
            long requestedAtNanos,
            long receivedAtNanos,
            int balancer,
            Map<String, Object> response) {}

    /** A span in which balancers could not hear each other well, or a disk or a cache was away. */
    public record FaultSpan(long fromNanos, long toNanos, FaultEvent faultEvent) {}

    private final long startNanos = System.nanoTime();
    private final long startWallMillis = System.currentTimeMillis();
    private final List<Command> commands = new ArrayList<>();
    private final List<EndpointUpdate> endpointUpdates = new ArrayList<>();
    private final TreeMap<Long, Map<String, String>> versions = new TreeMap<>();
    private final List<ConfigChange> configured = new ArrayList<>();
    private final List<AdminDrain> adminDrains = new ArrayList<>();
    private final List<ProcessChange> processes = new ArrayList<>();
    private final List<FaultSpan> spans = new ArrayList<>();
    private final List<AdminSnapshot> snapshots = new ArrayList<>();

    /** Likewise, second by second, for what it counts alone. */
    private final List<AdminSnapshot> counterSnapshots = new ArrayList<>();

    private long now() {
        return System.nanoTime() - startNanos;
    }

    @Override
    public synchronized void onCommand(long now, String cache, String balancer, String id) {
        commands.add(new Command(now - startNanos, cache, balancer, id));
    }

    @Override
    public synchronized void onNotified(long now, String balancer, long rev) {
        endpointUpdates.add(new EndpointUpdate(now - startNanos, balancer, rev));
    }

    @Override
    public synchronized void onListChanged(long now, long rev, Map<String, String> caches) {
        versions.put(rev, Map.copyOf(caches));
    }

    synchronized void configured(int balancer, long number, long digest, boolean signalled) {
        configured.add(new ConfigChange(now(), balancer, number, digest, signalled));
    }

    synchronized void recordAdminDrain(int balancer, String cache, boolean drained) {
        adminDrains.add(new AdminDrain(now(), balancer, cache, drained));
    }

    synchronized List<AdminDrain> adminDrains() {
        return List.copyOf(adminDrains);
    }

    synchronized void recordProcessChange(int balancer, ProcessEvent event, long wallOffsetMillis) {
        processes.add(new ProcessChange(now(), balancer, event, wallOffsetMillis));
    }

    synchronized void recordSpan(long fromNanos, FaultEvent faultEvent) {
        spans.add(new FaultSpan(fromNanos, now(), faultEvent));
    }

    synchronized void recordSnapshot(
            long requestedAtNanos, int balancer, Map<String, Object> response) {
        snapshots.add(new AdminSnapshot(requestedAtNanos, now(), balancer, response));
    }

    synchronized void counted(long requestedAtNanos, int balancer, Map<String, Object> response) {
        counterSnapshots.add(new AdminSnapshot(requestedAtNanos, now(), balancer, response));
    }

    synchronized List<AdminSnapshot> counted() {
        return List.copyOf(counterSnapshots);
    }

    /** Whether a balancer's process was last heard of as running. */
    synchronized boolean isRunning(int balancer) {
        boolean isRunning = false;
        for (ProcessChange one : processes) {
            if (one.balancer == balancer && one.event != ProcessEvent.WALL) {
                isRunning =
                        one.event == ProcessEvent.STARTED
                                || one.event == ProcessEvent.THAWED
                                || one.event == ProcessEvent.FED;
            }
        }
        return isRunning;
    }

    synchronized List<AdminSnapshot> snapshots() {
        return List.copyOf(snapshots);
    }

    /** Nanoseconds since the play's start. */
    public long elapsedNanos() {
        return now();
    }

    /**
     * When, on this clock, a wall clock that is off by {@code wallOffsetMillis} showed a time in
     * Unix milliseconds.
     */
    long fromWallClockNanos(long wallMillis, long offsetMillis) {
        return (wallMillis - offsetMillis - startWallMillis) * 1_000_000L;
    }

    synchronized List<Command> commands() {
        return List.copyOf(commands);
    }

    synchronized List<EndpointUpdate> recordNotification() {
        return List.copyOf(endpointUpdates);
    }

    synchronized Map<Long, Map<String, String>> versions() {
        return new TreeMap<>(versions);
    }

    synchronized List<ConfigChange> configured() {
        return List.copyOf(configured);
    }

    synchronized List<ProcessChange> processes() {
        return List.copyOf(processes);
    }

    synchronized List<FaultSpan> spans() {
        return List.copyOf(spans);
    }

    /** Writes all of it, a JSON object a line. */
    synchronized void write(Path file) throws IOException {
        try (Writer out = Files.newBufferedWriter(file)) {
            for (Command one : commands) {
                writeLine(
                        out,
                        "command",
                        "at",
                        one.atNanos,
                        "cache",
                        one.cache,
                        "balancer",
                        one.balancer,
                        "id",
                        one.id);
            }
            for (EndpointUpdate one : endpointUpdates) {
                writeLine(out, "told", "at", one.atNanos, "balancer", one.balancer, "rev", one.rev);
            }
            for (Map.Entry<Long, Map<String, String>> one : versions.entrySet()) {
                writeLine(out, "version", "rev", one.getKey(), "caches", one.getValue());
            }
            for (ConfigChange one : configured) {
                writeLine(
                        out,
                        "configured",
                        "at",
                        one.atNanos,
                        "balancer",
                        one.balancer,
                        "number",
                        one.number,
                        "digest",
                        Long.toHexString(one.digest));
            }
            for (AdminDrain one : adminDrains) {
                writeLine(
                        out,
                        "held",
                        "at",
                        one.atNanos,
                        "balancer",
                        one.balancer,
                        "cache",
                        one.cache,
                        "on",
                        one.drained);
            }
            for (ProcessChange one : processes) {
                writeLine(
                        out,
                        "process",
                        "at",
                        one.atNanos,
                        "balancer",
                        one.balancer,
                        "what",
                        one.event.name(),
                        "offset",
                        one.wallOffsetMillis);
            }
            for (AdminSnapshot one : snapshots) {
                writeLine(
                        out,
                        "look",
                        "at",
                        one.requestedAtNanos,
                        "balancer",
                        one.balancer,
                        "said",
                        one.response);
            }
            for (FaultSpan one : spans) {
                writeLine(
                        out,
                        "span",
                        "from",
                        one.fromNanos,
                        "to",
                        one.toNanos,
                        "happening",
                        one.faultEvent.describe());
            }
        }
    }

    private static void writeLine(Writer out, String type, Object... pairs) throws IOException {
        Map<String, Object> object = new LinkedHashMap<>();
        object.put("what", type);
        for (int i = 0; i < pairs.length; i += 2) {
            object.put((String) pairs[i], pairs[i + 1]);
        }
        out.write(com.fasterxml.jackson.jr.ob.JSON.std.asString(object));
        out.write('\n');
    }
}
