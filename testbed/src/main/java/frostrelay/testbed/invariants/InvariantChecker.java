package frostrelay.testbed.invariants;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongPredicate;

/**
 * Detects and counts invariant violations of balancers. It observes requests and responses at the
 * clients, received and executed commands at the caches, and notifications by discovery and
 * operators; it uses no data from the balancers themselves. Times are nanoseconds of one clock.
 * Thread-safe.
 */
public final class InvariantChecker implements ClientObserver {
    /** How often a request may take effect. */
    public enum Effect {
        IDEMPOTENT,
        IDEMPOTENT_BY_KEY,
        NON_IDEMPOTENT
    }

    /** The outcome of an attempt for its client. */
    public enum Outcome {
        SERVED,
        REFUSED,
        FAILED
    }

    /** A violation with a description. */
    public record Violation(Invariant invariant, String detail) {}

    /** The limits of the invariants; times in nanoseconds. */
    public record Bounds(
            long drainNanos,
            long windowNanos,
            SlowStartMeter.SlowStartProfile slowStart,
            double cores) {}

    /** An observer of the testbed's servers, called on their threads with times of their clock. */
    public interface Watcher {
        /** Records that a cache received a complete command from a balancer. */
        void onCommand(long now, String cache, String balancer, String id);

        /** Records that the endpoint list up to a revision is sent to a balancer. */
        void onNotified(long now, String balancer, long revision);

        /** Records a new endpoint list. {@code caches}: the listed state by cache. */
        void onListChanged(long now, long revision, Map<String, String> caches);
    }

    private static final Watcher NO_OBSERVER =
            new Watcher() {
                @Override
                public void onCommand(long now, String cache, String balancer, String id) {
                    // No observer is set.
                }

                @Override
                public void onNotified(long now, String balancer, long rev) {
                    // No observer is set.
                }

                @Override
                public void onListChanged(long now, long rev, Map<String, String> caches) {
                    // No observer is set.
                }
            };

    private static final int MAX_RECORDED_VIOLATIONS = 100;

    /**
     * Requests this much older than the newest are discarded, because no more events can arrive for
     * them.
     */
    private static final long RETENTION_NANOS = 60_000_000_000L;

    /** The operators allow 100 ms; the rest covers delays of the testbed itself. */
    private static final long MAX_WORK_AFTER_DISCONNECT_NANOS = 250_000_000L;

    /** The operators allow 150 ms; the rest covers delays of the testbed itself. */
    private static final long MAX_TIMEOUT_OVERSTATEMENT_NANOS = 300_000_000L;

    private static final long DELAY_RECOVERY_NANOS = 1_000_000_000L;
    private static final long BALANCER_STARTUP_NANOS = 4_000_000_000L;
    private static final long INFORMED_SHARE_NUMERATOR = 2;
    private static final long INFORMED_SHARE_DENOMINATOR = 3;

    private static final class TrackedRequest {
        final String originalId;
        final Effect effect;
        final long sentAtNanos;
        Outcome outcome;
        boolean isClosed;
        long waitsUntilNanos = Long.MAX_VALUE;
        long disconnectedAtNanos = Long.MAX_VALUE;
        int attempts;
        int executions;
        final Set<Long> producedDigests = new HashSet<>(2);

        TrackedRequest(String originalId, Effect effect, long sentAtNanos) {
            this.originalId = originalId;
            this.effect = effect;
            this.sentAtNanos = sentAtNanos;
        }
    }

    private final Bounds bounds;
    private final Map<String, TrackedRequest> requests = new LinkedHashMap<>();

    /**
     * The number of executions and the time of the last one: for a non-idempotent request over all
     * its client's attempts, otherwise by idempotency key.
     */
    private final Map<String, long[]> executionsByIntent = new LinkedHashMap<>();

    /**
     * The time at which a balancer was notified that a cache must not be used, by balancer and
     * cache.
     */
    private final Map<String, Long> drainedSinceNanos = new HashMap<>();

    /**
     * The time until which injected faults may delay commands on their way to a cache, by cache.
     */
    private final Map<String, Long> delayedUntilNanos = new HashMap<>();

    /**
     * The time until which a started balancer may be slow to read, because many start on one
     * machine at once; by balancer.
     */
    private final Map<String, Long> startingUntilNanos = new HashMap<>();

    private final Map<String, SlowStartMeter> totalWork = new HashMap<>();
    private final Map<String, SlowStartMeter> informedWork = new HashMap<>();
    private final Set<String> informedPairs = new HashSet<>();
    private final Map<Invariant, Integer> violationCounts = new EnumMap<>(Invariant.class);
    private final List<Violation> violations = new ArrayList<>();
    private long attempts;
    private long firstAttempts;
    private volatile Watcher observer = NO_OBSERVER;

    /**
     * Returns whether the testbed itself was stalled at a time, so that data may have arrived
     * before it was read.
     */
    private LongPredicate isTestbedStalled = now -> false;

    /** Creates a checker. {@code bounds}: the limits of the invariants. */
    public InvariantChecker(Bounds bounds) {
        this.bounds = bounds;
    }

    /**
     * Sets the predicate for stalls of the testbed, during which the transit time of commands is
     * not held against a balancer.
     */
    public synchronized void setStallDetector(LongPredicate predicate) {
        isTestbedStalled = predicate;
    }

    /** Sets the observer of the testbed's servers. */
    public void setObserver(Watcher newObserver) {
        observer = newObserver;
    }

    /** Returns the observer of the testbed's servers. */
    public Watcher observer() {
        return observer;
    }

    // Events from clients.

    @Override
    public synchronized void onRequest(long now, String id, String originalId, Effect effect) {
        requests.put(id, new TrackedRequest(originalId, effect, now));
        for (Iterator<TrackedRequest> oldest = requests.values().iterator(); oldest.hasNext(); ) {
            if (oldest.next().sentAtNanos > now - RETENTION_NANOS) {
                break;
            }
            oldest.remove();
        }
        for (Iterator<long[]> oldest = executionsByIntent.values().iterator(); oldest.hasNext(); ) {
            if (oldest.next()[1] > now - RETENTION_NANOS) {
                break;
            }
            oldest.remove();
        }
    }

    @Override
    public synchronized void onTimeoutSet(String id, long until) {
        TrackedRequest request = requests.get(id);
        if (request != null) {
            request.waitsUntilNanos = until;
        }
    }

    @Override
    public synchronized void onClientDisconnected(long now, String id) {
        TrackedRequest request = requests.get(id);
        if (request != null) {
            request.isClosed = true;
            request.disconnectedAtNanos = now;
        }
    }

    @Override
    public synchronized void onResponse(String id, Outcome outcome, long content) {
        TrackedRequest request = requests.get(id);
        if (request == null) {
            recordViolation(
                    Invariant.FOREIGN_ANSWER, "an answer for " + id + ", which no client sent");
            return;
        }
        if (request.outcome != null) {
            recordViolation(
                    Invariant.TWO_ANSWERS, id + " was " + request.outcome + " and then " + outcome);
            return;
        }
        request.outcome = outcome;
        if (outcome == Outcome.SERVED && !request.producedDigests.contains(content)) {
            recordViolation(
                    Invariant.FOREIGN_ANSWER,
                    id + " was served with content that no cache produced for it");
        }
        checkRejection(id, request);
    }

    private void checkRejection(String id, TrackedRequest request) {
        if (request.outcome == Outcome.REFUSED
                && request.executions > 0
                && request.effect == Effect.NON_IDEMPOTENT) {
            recordViolation(Invariant.REFUSED_BUT_RAN, id + " was refused and had run");
        }
    }

    @Override
    public synchronized void onUnexpectedResponse(String what) {
        recordViolation(Invariant.TWO_ANSWERS, "on a connection with nothing open: " + what);
    }

    @Override
    public synchronized void onNoResponse(String id, String reason) {
        TrackedRequest request = requests.get(id);
        if (request != null && request.outcome == null && !request.isClosed) {
            request.isClosed = true;
            recordViolation(Invariant.NO_ANSWER, id + ": " + reason);
        }
    }

    @Override
    public synchronized void onExcused(String id) {
        TrackedRequest request = requests.get(id);
        if (request != null) {
            request.isClosed = true;
        }
    }

    // Events from caches.

    /**
     * Records a complete command from a balancer. {@code workNanos}: the work that it causes at the
     * cache, in nanoseconds.
     */
    public synchronized void onCommandReceived(
            long now, String cache, String balancer, String id, double workNanos) {
        TrackedRequest request = requests.get(id);
        attempts++;
        if (request != null && request.attempts++ == 0) {
            firstAttempts++;
        }
        if (isDelayed(now, cache)) {
            return;
        }
        if (request != null
                && !isTestbedStalled.test(now)
                && request.disconnectedAtNanos != Long.MAX_VALUE
                && now - request.disconnectedAtNanos > MAX_WORK_AFTER_DISCONNECT_NANOS) {
            recordViolation(
                    Invariant.BEGUN_AFTER_CLIENT_LEFT,
                    String.format(
                            "%s reached %s from %s %d ms after its client left",
                            id, cache, balancer, (now - request.disconnectedAtNanos) / 1_000_000));
        }
        Long drainedAtNanos = drainedSinceNanos.get(balancer + ' ' + cache);
        if (drainedAtNanos != null && now - drainedAtNanos > bounds.drainNanos) {
            recordViolation(
                    Invariant.DRAIN_IGNORED,
                    String.format(
                            "%s reached %s %d ms after %s was notified of the drain or removal",
                            id, cache, (now - drainedAtNanos) / 1_000_000, balancer));
        }
        SlowStartMeter totalMeter = totalWork.get(cache);
        if (totalMeter == null) {
            return;
        }
        boolean isOverloaded = totalMeter.addWork(now, workNanos);
        // A violation requires that two thirds of the work come from informed balancers, so the
        // second meter has two thirds of the budget.
        boolean isOverloadedByInformed =
                informedPairs.contains(balancer + ' ' + cache)
                        && informedWork.get(cache).addWork(now, workNanos);
        if (isOverloaded && isOverloadedByInformed) {
            recordViolation(
                    Invariant.COLD_OVERDRIVEN,
                    cache + " received more work than its limit in slow start");
            totalWork.remove(cache);
        }
    }

    /** Marks commands to a cache as delayed by a fault while {@code on} and for 1 s afterwards. */
    public synchronized void setDelayed(long now, String cache, boolean on) {
        delayedUntilNanos.merge(
                cache,
                on ? Long.MAX_VALUE : now + DELAY_RECOVERY_NANOS,
                on ? Math::max : (old, fresh) -> fresh);
    }

    private boolean isDelayed(long now, String cache) {
        return now < delayedUntilNanos.getOrDefault(cache, Long.MIN_VALUE);
    }

    /**
     * Records a command with a timeout. {@code untilNanos}: the time at which that timeout ends.
     */
    public synchronized void onNotified(
            long now, String cache, String balancer, String id, long untilNanos) {
        TrackedRequest request = requests.get(id);
        if (isDelayed(now, cache)
                || isTestbedStalled.test(now)
                || now < startingUntilNanos.getOrDefault(balancer, Long.MIN_VALUE)) {
            return;
        }
        if (request != null
                && request.waitsUntilNanos != Long.MAX_VALUE
                && untilNanos - request.waitsUntilNanos > MAX_TIMEOUT_OVERSTATEMENT_NANOS) {
            recordViolation(
                    Invariant.WAIT_OVERSTATED,
                    String.format(
                            "%s from %s passed %s a timeout %d ms longer than its client waits",
                            id,
                            balancer,
                            cache,
                            (untilNanos - request.waitsUntilNanos) / 1_000_000));
        }
    }

    /** Records that a command was executed. {@code key}: its idempotency key, or null. */
    public synchronized void onExecuted(long now, String id, String key) {
        TrackedRequest request = requests.get(id);
        if (request == null || request.effect == Effect.IDEMPOTENT) {
            return;
        }
        request.executions++;
        boolean hasKey = request.effect == Effect.IDEMPOTENT_BY_KEY;
        String name = hasKey ? "key " + key : request.originalId;
        long[] count = executionsByIntent.computeIfAbsent(name, n -> new long[2]);
        count[1] = now;
        if (++count[0] > 1) {
            recordViolation(
                    hasKey ? Invariant.KEYED_TWICE : Invariant.RAN_TWICE,
                    id + " ran again (" + name + ")");
        }
        checkRejection(id, request);
    }

    /** Records the digest of a value or receipt that a cache produced for a request. */
    public synchronized void onProduced(String id, long content) {
        TrackedRequest request = requests.get(id);
        if (request != null) {
            request.producedDigests.add(content);
        }
    }

    // Events from discovery and operators.

    /**
     * Records that a balancer was notified that a cache may be used, or that it is draining or
     * gone.
     */
    public synchronized void onNotified(long now, String balancer, String cache, boolean isUsable) {
        if (isUsable) {
            drainedSinceNanos.remove(balancer + ' ' + cache);
        } else {
            drainedSinceNanos.putIfAbsent(balancer + ' ' + cache, now);
        }
    }

    /** Records that a cache started with empty memory. */
    public synchronized void onCacheStarted(long now, String cache) {
        totalWork.put(cache, new SlowStartMeter(bounds.slowStart, bounds.cores, now));
        SlowStartMeter.SlowStartProfile warmth = bounds.slowStart;
        informedWork.put(
                cache,
                new SlowStartMeter(
                        new SlowStartMeter.SlowStartProfile(
                                warmth.initialFraction(),
                                warmth.rampNanos(),
                                warmth.overloadMultiple()
                                        * INFORMED_SHARE_NUMERATOR
                                        / INFORMED_SHARE_DENOMINATOR,
                                warmth.windowNanos()),
                        bounds.cores,
                        now));
        informedPairs.removeIf(pair -> pair.endsWith(' ' + cache));
    }

    /** Records that a balancer was notified of the start of a cache. */
    public synchronized void onStartNotified(String balancer, String cache) {
        informedPairs.add(balancer + ' ' + cache);
    }

    /**
     * Records the start of a balancer, which reads its first requests slowly because its code is
     * not yet compiled.
     */
    public synchronized void onBalancerStarted(long now, String balancer) {
        startingUntilNanos.put(balancer, now + BALANCER_STARTUP_NANOS);
    }

    /** Discards what a balancer was notified of, because it restarts. */
    public synchronized void forgetBalancer(String balancer) {
        informedPairs.removeIf(pair -> pair.startsWith(balancer + ' '));
        drainedSinceNanos.keySet().removeIf(pair -> pair.startsWith(balancer + ' '));
    }

    // Results.

    private void recordViolation(Invariant rule, String what) {
        violationCounts.merge(rule, 1, Integer::sum);
        if (violations.size() < MAX_RECORDED_VIOLATIONS) {
            violations.add(new Violation(rule, what));
        }
    }

    /** Returns the number of violations of an invariant. */
    public synchronized int violationCount(Invariant rule) {
        return violationCounts.getOrDefault(rule, 0);
    }

    /** Returns the number of all violations. */
    public synchronized int violationCount() {
        return violationCounts.values().stream().mapToInt(Integer::intValue).sum();
    }

    /** Returns the first 100 violations with their descriptions. */
    public synchronized List<Violation> violations() {
        return List.copyOf(violations);
    }

    /** Returns the number of commands that reached caches, without the first of each request. */
    public synchronized long hedgeCount() {
        return attempts - firstAttempts;
    }

    /** Returns the number of commands that reached caches. */
    public synchronized long attemptCount() {
        return attempts;
    }

    /** Returns a digest that identifies a value or a receipt. */
    public static long digest(byte[] bytes) {
        java.util.zip.CRC32C crc = new java.util.zip.CRC32C();
        crc.update(bytes);
        return crc.getValue() << 24 ^ bytes.length;
    }
}
