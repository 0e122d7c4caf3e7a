package frostrelay.rig.campaign;

import frostrelay.rig.referee.Referee;

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
public final class History implements Referee.Watcher {
    /** A command that came to a cache. */
    public record Command(long at, String cache, String balancer, String id) {}

    /** A balancer was told the list up to a version; {@code balancer}: its name. */
    public record Told(long at, String balancer, long rev) {}

    /**
     * A configuration was put in a balancer's place; {@code told}: and a signal sent; {@code
     * digest}: 0 for one that cannot be used.
     */
    public record Configured(long at, int balancer, long number, long digest, boolean told) {}

    /** Operators hold a cache at a balancer from then on, or no longer; it said yes. */
    public record Held(long at, int balancer, String cache, boolean on) {}

    /** A process began or ended; {@code offset}: of its wall clock in milliseconds. */
    public record Process(long at, int balancer, What what, long offset) {}

    /** What became of a process. */
    public enum What {
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
    public record Look(long at, long until, int balancer, Map<String, Object> said) {}

    /** A span in which balancers could not hear each other well, or a disk or a cache was away. */
    public record Span(long from, long to, Happening happening) {}

    private final long start = System.nanoTime();
    private final long startWallMs = System.currentTimeMillis();
    private final List<Command> commands = new ArrayList<>();
    private final List<Told> told = new ArrayList<>();
    private final TreeMap<Long, Map<String, String>> versions = new TreeMap<>();
    private final List<Configured> configured = new ArrayList<>();
    private final List<Held> holds = new ArrayList<>();
    private final List<Process> processes = new ArrayList<>();
    private final List<Span> spans = new ArrayList<>();
    private final List<Look> looks = new ArrayList<>();

    /** Likewise, second by second, for what it counts alone. */
    private final List<Look> counted = new ArrayList<>();

    private long now() {
        return System.nanoTime() - start;
    }

    @Override
    public synchronized void command(long now, String cache, String balancer, String id) {
        commands.add(new Command(now - start, cache, balancer, id));
    }

    @Override
    public synchronized void told(long now, String balancer, long rev) {
        told.add(new Told(now - start, balancer, rev));
    }

    @Override
    public synchronized void version(long now, long rev, Map<String, String> caches) {
        versions.put(rev, Map.copyOf(caches));
    }

    synchronized void configured(int balancer, long number, long digest, boolean told) {
        configured.add(new Configured(now(), balancer, number, digest, told));
    }

    synchronized void held(int balancer, String cache, boolean on) {
        holds.add(new Held(now(), balancer, cache, on));
    }

    synchronized List<Held> holds() {
        return List.copyOf(holds);
    }

    synchronized void process(int balancer, What what, long offset) {
        processes.add(new Process(now(), balancer, what, offset));
    }

    synchronized void span(long from, Happening happening) {
        spans.add(new Span(from, now(), happening));
    }

    synchronized void look(long at, int balancer, Map<String, Object> said) {
        looks.add(new Look(at, now(), balancer, said));
    }

    synchronized void counted(long at, int balancer, Map<String, Object> said) {
        counted.add(new Look(at, now(), balancer, said));
    }

    synchronized List<Look> counted() {
        return List.copyOf(counted);
    }

    /** Whether a balancer's process was last heard of as running. */
    synchronized boolean up(int balancer) {
        boolean up = false;
        for (Process one : processes) {
            if (one.balancer == balancer && one.what != What.WALL) {
                up = one.what == What.STARTED || one.what == What.THAWED || one.what == What.FED;
            }
        }
        return up;
    }

    synchronized List<Look> looks() {
        return List.copyOf(looks);
    }

    /** Nanoseconds since the play's start. */
    public long moment() {
        return now();
    }

    /**
     * When, on this clock, a wall clock that is off by {@code offset} showed a time in Unix
     * milliseconds.
     */
    long ofWall(long wallMs, long offset) {
        return (wallMs - offset - startWallMs) * 1_000_000L;
    }

    synchronized List<Command> commands() {
        return List.copyOf(commands);
    }

    synchronized List<Told> told() {
        return List.copyOf(told);
    }

    synchronized Map<Long, Map<String, String>> versions() {
        return new TreeMap<>(versions);
    }

    synchronized List<Configured> configured() {
        return List.copyOf(configured);
    }

    synchronized List<Process> processes() {
        return List.copyOf(processes);
    }

    synchronized List<Span> spans() {
        return List.copyOf(spans);
    }

    /** Writes all of it, a JSON object a line. */
    synchronized void write(Path file) throws IOException {
        try (Writer out = Files.newBufferedWriter(file)) {
            for (Command one : commands) {
                line(
                        out,
                        "command",
                        "at",
                        one.at,
                        "cache",
                        one.cache,
                        "balancer",
                        one.balancer,
                        "id",
                        one.id);
            }
            for (Told one : told) {
                line(out, "told", "at", one.at, "balancer", one.balancer, "rev", one.rev);
            }
            for (Map.Entry<Long, Map<String, String>> one : versions.entrySet()) {
                line(out, "version", "rev", one.getKey(), "caches", one.getValue());
            }
            for (Configured one : configured) {
                line(
                        out,
                        "configured",
                        "at",
                        one.at,
                        "balancer",
                        one.balancer,
                        "number",
                        one.number,
                        "digest",
                        Long.toHexString(one.digest));
            }
            for (Held one : holds) {
                line(
                        out,
                        "held",
                        "at",
                        one.at,
                        "balancer",
                        one.balancer,
                        "cache",
                        one.cache,
                        "on",
                        one.on);
            }
            for (Process one : processes) {
                line(
                        out,
                        "process",
                        "at",
                        one.at,
                        "balancer",
                        one.balancer,
                        "what",
                        one.what.name(),
                        "offset",
                        one.offset);
            }
            for (Look one : looks) {
                line(out, "look", "at", one.at, "balancer", one.balancer, "said", one.said);
            }
            for (Span one : spans) {
                line(
                        out,
                        "span",
                        "from",
                        one.from,
                        "to",
                        one.to,
                        "happening",
                        one.happening.text());
            }
        }
    }

    private static void line(Writer out, String what, Object... pairs) throws IOException {
        Map<String, Object> object = new LinkedHashMap<>();
        object.put("what", what);
        for (int i = 0; i < pairs.length; i += 2) {
            object.put((String) pairs[i], pairs[i + 1]);
        }
        out.write(com.fasterxml.jackson.jr.ob.JSON.std.asString(object));
        out.write('\n');
    }
}
