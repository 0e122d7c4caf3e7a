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
 * Watches both ends and counts what a balancer broke. It hears from clients what they asked and
 * got, from caches what reached them and ran, and from discovery and operators what balancers were
 * told; from balancers it hears nothing. Times are nanoseconds of one clock. Safe for threads.
 */
public final class InvariantChecker implements ClientObserver {
    /** How often a request may take effect. */
    public enum Effect {
        IDEMPOTENT,
        IDEMPOTENT_BY_KEY,
        NON_IDEMPOTENT
    }

    /** How a request ended for its client. */
    public enum Outcome {
        SERVED,
        REFUSED,
        FAILED
    }

    /** One breach, in words. */
    public record Violation(Invariant invariant, String detail) {}

    /** What the rules allow; nanoseconds. */
    public record Bounds(
            long drainNanos,
            long windowNanos,
            SlowStartMeter.SlowStartProfile slowStart,
            double cores) {}

    /** Hears what the stand-ins see, on their clock; on their threads. */
    public interface Watcher {
        /** A command came whole to a cache from a balancer. */
        void onCommand(long now, String cache, String balancer, String id);

        /** A balancer is being told the list up to this version. */
        void onNotified(long now, String balancer, long revision);

        /** From now on the list is this, by cache: what it says of each that it names. */
        void onListChanged(long now, long revision, Map<String, String> caches);
    }

    private static final Watcher NO_OBSERVER =
            new Watcher() {
                @Override
                public void onCommand(long now, String cache, String balancer, String id) {
                    // Nobody asked.
                }

                @Override
                public void onNotified(long now, String balancer, long rev) {
                    // Nobody asked.
                }

                @Override
                public void onListChanged(long now, long rev, Map<String, String> caches) {
                    // Nobody asked.
                }
            };

    private static final int MAX_RECORDED_VIOLATIONS = 100;

    /**
     * Requests this much older than the newest are forgotten: nothing can come for them any more.
     */
    private static final long RETENTION_NANOS = 60_000_000_000L;

    /** The operators allow 100 ms; the rest is for how late the stand-ins may be themselves. */
    private static final long MAX_WORK_AFTER_DISCONNECT_NANOS = 250_000_000L;

    /** The operators allow 150 ms; likewise. */
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
     * Runs of a never-twice intent over its client's tries, and of a keyed one by its key, with the
     * time of the last.
     */
    private final Map<String, long[]> executionsByIntent = new LinkedHashMap<>();

    /** Since when a balancer knows that a cache is not to be used. */
    private final Map<String, Long> drainedSinceNanos = new HashMap<>();

    /**
     * Until when commands may reach a cache later than they were sent, through no fault of a
     * balancer.
     */
    private final Map<String, Long> delayedUntilNanos = new HashMap<>();

    /**
     * Until when a balancer that has just started may be slow to read: many start on one machine at
     * once.
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
     * Whether the stand-ins were held up themselves, so that what they see may have come earlier.
     */
    private LongPredicate isTestbedStalled = now -> false;

    /** {@code bounds}: the figures of the rules. */
    public InvariantChecker(Bounds bounds) {
        this.bounds = bounds;
    }

    /** Under this, how long a command took on its way says nothing of its balancer. */
    public synchronized void setStallDetector(LongPredicate predicate) {
        isTestbedStalled = predicate;
    }

    /** From now on this one hears what the stand-ins see. */
    public void setObserver(Watcher newObserver) {
        observer = newObserver;
    }

    /** Who hears it. */
    public Watcher observer() {
        return observer;
    }

    // From clients.

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
                    Invariant.FOREIGN_ANSWER, "an answer for " + id + ", which nobody asked");
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
                    Invariant.FOREIGN_ANSWER, id + " was served with what no cache made for it");
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

    // From caches.

    /**
     * A command came whole from a balancer. {@code workNanos}: what it asks of the cache, in
     * nanoseconds.
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
                            "%s reached %s %d ms after %s was told",
                            id, cache, (now - drainedAtNanos) / 1_000_000, balancer));
        }
        SlowStartMeter totalMeter = totalWork.get(cache);
        if (totalMeter == null) {
            return;
        }
        boolean isOverloaded = totalMeter.addWork(now, workNanos);
        // Two thirds of the work must be of balancers that knew: the second meter has two thirds of
        // the budget.
        boolean isOverloadedByInformed =
                informedPairs.contains(balancer + ' ' + cache)
                        && informedWork.get(cache).addWork(now, workNanos);
        if (isOverloaded && isOverloadedByInformed) {
            recordViolation(
                    Invariant.COLD_OVERDRIVEN,
                    cache + " was sent more than it bears so soon after its start");
            totalWork.remove(cache);
        }
    }

    /** From now on commands may reach a cache late, for as long as it is on and a while behind. */
    public synchronized void setDelayed(long now, String cache, boolean on) {
        delayedUntilNanos.merge(
                cache,
                on ? Long.MAX_VALUE : now + DELAY_RECOVERY_NANOS,
                on ? Math::max : (old, fresh) -> fresh);
    }

    private boolean isDelayed(long now, String cache) {
        return now < delayedUntilNanos.getOrDefault(cache, Long.MIN_VALUE);
    }

    /** A command came that says for how long it is waited for: until {@code untilNanos}. */
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
                            "%s from %s told %s %d ms more than its client waits",
                            id,
                            balancer,
                            cache,
                            (untilNanos - request.waitsUntilNanos) / 1_000_000));
        }
    }

    /** A command took effect. {@code key}: its idempotency key, or null. */
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

    /** A cache made a value or a receipt for a request. */
    public synchronized void onProduced(String id, long content) {
        TrackedRequest request = requests.get(id);
        if (request != null) {
            request.producedDigests.add(content);
        }
    }

    // From discovery and operators.

    /** A balancer was told that a cache drains or is gone, or that it may be used. */
    public synchronized void onNotified(long now, String balancer, String cache, boolean isUsable) {
        if (isUsable) {
            drainedSinceNanos.remove(balancer + ' ' + cache);
        } else {
            drainedSinceNanos.putIfAbsent(balancer + ' ' + cache, now);
        }
    }

    /** A cache started empty. */
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

    /** A balancer has heard of the start. */
    public synchronized void onStartNotified(String balancer, String cache) {
        informedPairs.add(balancer + ' ' + cache);
    }

    /** A balancer has been started and reads its first requests by code that has not run before. */
    public synchronized void onBalancerStarted(long now, String balancer) {
        startingUntilNanos.put(balancer, now + BALANCER_STARTUP_NANOS);
    }

    /** A balancer starts anew and knows nothing yet. */
    public synchronized void forgetBalancer(String balancer) {
        informedPairs.removeIf(pair -> pair.startsWith(balancer + ' '));
        drainedSinceNanos.keySet().removeIf(pair -> pair.startsWith(balancer + ' '));
    }

    // What was found.

    private void recordViolation(Invariant rule, String what) {
        violationCounts.merge(rule, 1, Integer::sum);
        if (violations.size() < MAX_RECORDED_VIOLATIONS) {
            violations.add(new Violation(rule, what));
        }
    }

    /** Breaches of a rule. */
    public synchronized int violationCount(Invariant rule) {
        return violationCounts.getOrDefault(rule, 0);
    }

    /** All breaches. */
    public synchronized int violationCount() {
        return violationCounts.values().stream().mapToInt(Integer::intValue).sum();
    }

    /** The first breaches, in words. */
    public synchronized List<Violation> violations() {
        return List.copyOf(violations);
    }

    /** Sends that reached caches beyond the first of each request. */
    public synchronized long hedgeCount() {
        return attempts - firstAttempts;
    }

    /** Sends that reached caches. */
    public synchronized long attemptCount() {
        return attempts;
    }

    /** What identifies a value or a receipt. */
    public static long digest(byte[] bytes) {
        java.util.zip.CRC32C crc = new java.util.zip.CRC32C();
        crc.update(bytes);
        return crc.getValue() << 24 ^ bytes.length;
    }
}
