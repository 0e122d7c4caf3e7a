package frostrelay.rig.referee;

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
public final class Referee implements ClientWatch {
    /** How often a request may take effect. */
    public enum Effect {
        REPEATABLE,
        KEYED,
        NEVER_TWICE
    }

    /** How a request ended for its client. */
    public enum Ending {
        SERVED,
        REFUSED,
        FAILED
    }

    /** One breach, in words. */
    public record Breach(Rule rule, String what) {}

    /** What the rules allow; nanoseconds. */
    public record Bounds(long drain, long window, ColdMeter.Warmth warmth, double cores) {}

    /** Hears what the stand-ins see, on their clock; on their threads. */
    public interface Watcher {
        /** A command came whole to a cache from a balancer. */
        void command(long now, String cache, String balancer, String id);

        /** A balancer is being told the list up to this version. */
        void told(long now, String balancer, long rev);

        /** From now on the list is this, by cache: what it says of each that it names. */
        void version(long now, long rev, Map<String, String> caches);
    }

    private static final Watcher NOBODY =
            new Watcher() {
                @Override
                public void command(long now, String cache, String balancer, String id) {
                    // Nobody asked.
                }

                @Override
                public void told(long now, String balancer, long rev) {
                    // Nobody asked.
                }

                @Override
                public void version(long now, long rev, Map<String, String> caches) {
                    // Nobody asked.
                }
            };

    private static final int MOST_KEPT_BREACHES = 100;

    /**
     * Requests this much older than the newest are forgotten: nothing can come for them any more.
     */
    private static final long FORGET = 60_000_000_000L;

    /** The operators allow 100 ms; the rest is for how late the stand-ins may be themselves. */
    private static final long BEGUN_AFTER_LEFT = 250_000_000L;

    /** The operators allow 150 ms; likewise. */
    private static final long OVERSTATED = 300_000_000L;

    private static final long DELAYED_BEHIND = 1_000_000_000L;
    private static final long SLOW_START = 4_000_000_000L;
    private static final long BOTH_SHARES = 2;
    private static final long THREE_SHARES = 3;

    private static final class Request {
        final String intent;
        final Effect effect;
        final long at;
        Ending ending;
        boolean closed;
        long waitsUntil = Long.MAX_VALUE;
        long leftAt = Long.MAX_VALUE;
        int received;
        int runs;
        final Set<Long> made = new HashSet<>(2);

        Request(String intent, Effect effect, long at) {
            this.intent = intent;
            this.effect = effect;
            this.at = at;
        }
    }

    private final Bounds bounds;
    private final Map<String, Request> requests = new LinkedHashMap<>();

    /**
     * Runs of a never-twice intent over its client's tries, and of a keyed one by its key, with the
     * time of the last.
     */
    private final Map<String, long[]> runs = new LinkedHashMap<>();

    /** Since when a balancer knows that a cache is not to be used. */
    private final Map<String, Long> drained = new HashMap<>();

    /**
     * Until when commands may reach a cache later than they were sent, through no fault of a
     * balancer.
     */
    private final Map<String, Long> delayedUntil = new HashMap<>();

    /**
     * Until when a balancer that has just started may be slow to read: many start on one machine at
     * once.
     */
    private final Map<String, Long> slowUntil = new HashMap<>();

    private final Map<String, ColdMeter> allWork = new HashMap<>();
    private final Map<String, ColdMeter> knowingWork = new HashMap<>();
    private final Set<String> knowing = new HashSet<>();
    private final Map<Rule, Integer> counts = new EnumMap<>(Rule.class);
    private final List<Breach> breaches = new ArrayList<>();
    private long attempts;
    private long firsts;
    private volatile Watcher watcher = NOBODY;

    /**
     * Whether the stand-ins were held up themselves, so that what they see may have come earlier.
     */
    private LongPredicate heldUp = now -> false;

    /** {@code bounds}: the figures of the rules. */
    public Referee(Bounds bounds) {
        this.bounds = bounds;
    }

    /** Under this, how long a command took on its way says nothing of its balancer. */
    public synchronized void heldUpWhile(LongPredicate predicate) {
        heldUp = predicate;
    }

    /** From now on this one hears what the stand-ins see. */
    public void watch(Watcher fresh) {
        watcher = fresh;
    }

    /** Who hears it. */
    public Watcher watcher() {
        return watcher;
    }

    // From clients.

    @Override
    public synchronized void asked(long now, String id, String intent, Effect effect) {
        requests.put(id, new Request(intent, effect, now));
        for (Iterator<Request> oldest = requests.values().iterator(); oldest.hasNext(); ) {
            if (oldest.next().at > now - FORGET) {
                break;
            }
            oldest.remove();
        }
        for (Iterator<long[]> oldest = runs.values().iterator(); oldest.hasNext(); ) {
            if (oldest.next()[1] > now - FORGET) {
                break;
            }
            oldest.remove();
        }
    }

    @Override
    public synchronized void waits(String id, long until) {
        Request request = requests.get(id);
        if (request != null) {
            request.waitsUntil = until;
        }
    }

    @Override
    public synchronized void left(long now, String id) {
        Request request = requests.get(id);
        if (request != null) {
            request.closed = true;
            request.leftAt = now;
        }
    }

    @Override
    public synchronized void answered(String id, Ending ending, long content) {
        Request request = requests.get(id);
        if (request == null) {
            breach(Rule.FOREIGN_ANSWER, "an answer for " + id + ", which nobody asked");
            return;
        }
        if (request.ending != null) {
            breach(Rule.TWO_ANSWERS, id + " was " + request.ending + " and then " + ending);
            return;
        }
        request.ending = ending;
        if (ending == Ending.SERVED && !request.made.contains(content)) {
            breach(Rule.FOREIGN_ANSWER, id + " was served with what no cache made for it");
        }
        checkRefusal(id, request);
    }

    private void checkRefusal(String id, Request request) {
        if (request.ending == Ending.REFUSED
                && request.runs > 0
                && request.effect == Effect.NEVER_TWICE) {
            breach(Rule.REFUSED_BUT_RAN, id + " was refused and had run");
        }
    }

    @Override
    public synchronized void unasked(String what) {
        breach(Rule.TWO_ANSWERS, "on a connection with nothing open: " + what);
    }

    @Override
    public synchronized void unanswered(String id, String why) {
        Request request = requests.get(id);
        if (request != null && request.ending == null && !request.closed) {
            request.closed = true;
            breach(Rule.NO_ANSWER, id + ": " + why);
        }
    }

    @Override
    public synchronized void excused(String id) {
        Request request = requests.get(id);
        if (request != null) {
            request.closed = true;
        }
    }

    // From caches.

    /**
     * A command came whole from a balancer. {@code work}: what it asks of the cache, in
     * nanoseconds.
     */
    public synchronized void received(
            long now, String cache, String balancer, String id, double work) {
        Request request = requests.get(id);
        attempts++;
        if (request != null && request.received++ == 0) {
            firsts++;
        }
        if (isDelayed(now, cache)) {
            return;
        }
        if (request != null
                && !heldUp.test(now)
                && request.leftAt != Long.MAX_VALUE
                && now - request.leftAt > BEGUN_AFTER_LEFT) {
            breach(
                    Rule.BEGUN_AFTER_CLIENT_LEFT,
                    String.format(
                            "%s reached %s from %s %d ms after its client left",
                            id, cache, balancer, (now - request.leftAt) / 1_000_000));
        }
        Long since = drained.get(balancer + ' ' + cache);
        if (since != null && now - since > bounds.drain) {
            breach(
                    Rule.DRAIN_IGNORED,
                    String.format(
                            "%s reached %s %d ms after %s was told",
                            id, cache, (now - since) / 1_000_000, balancer));
        }
        ColdMeter all = allWork.get(cache);
        if (all == null) {
            return;
        }
        boolean over = all.reached(now, work);
        // Two thirds of the work must be of balancers that knew: the second meter has two thirds of
        // the budget.
        boolean knew =
                knowing.contains(balancer + ' ' + cache)
                        && knowingWork.get(cache).reached(now, work);
        if (over && knew) {
            breach(
                    Rule.COLD_OVERDRIVEN,
                    cache + " was sent more than it bears so soon after its start");
            allWork.remove(cache);
        }
    }

    /** From now on commands may reach a cache late, for as long as it is on and a while behind. */
    public synchronized void delayed(long now, String cache, boolean on) {
        delayedUntil.merge(
                cache,
                on ? Long.MAX_VALUE : now + DELAYED_BEHIND,
                on ? Math::max : (old, fresh) -> fresh);
    }

    private boolean isDelayed(long now, String cache) {
        return now < delayedUntil.getOrDefault(cache, Long.MIN_VALUE);
    }

    /** A command came that says for how long it is waited for: until {@code until}. */
    public synchronized void told(long now, String cache, String balancer, String id, long until) {
        Request request = requests.get(id);
        if (isDelayed(now, cache)
                || heldUp.test(now)
                || now < slowUntil.getOrDefault(balancer, Long.MIN_VALUE)) {
            return;
        }
        if (request != null
                && request.waitsUntil != Long.MAX_VALUE
                && until - request.waitsUntil > OVERSTATED) {
            breach(
                    Rule.WAIT_OVERSTATED,
                    String.format(
                            "%s from %s told %s %d ms more than its client waits",
                            id, balancer, cache, (until - request.waitsUntil) / 1_000_000));
        }
    }

    /** A command took effect. {@code key}: its idempotency key, or null. */
    public synchronized void ran(long now, String id, String key) {
        Request request = requests.get(id);
        if (request == null || request.effect == Effect.REPEATABLE) {
            return;
        }
        request.runs++;
        boolean keyed = request.effect == Effect.KEYED;
        String name = keyed ? "key " + key : request.intent;
        long[] count = runs.computeIfAbsent(name, n -> new long[2]);
        count[1] = now;
        if (++count[0] > 1) {
            breach(keyed ? Rule.KEYED_TWICE : Rule.RAN_TWICE, id + " ran again (" + name + ")");
        }
        checkRefusal(id, request);
    }

    /** A cache made a value or a receipt for a request. */
    public synchronized void made(String id, long content) {
        Request request = requests.get(id);
        if (request != null) {
            request.made.add(content);
        }
    }

    // From discovery and operators.

    /** A balancer was told that a cache drains or is gone, or that it may be used. */
    public synchronized void told(long now, String balancer, String cache, boolean usable) {
        if (usable) {
            drained.remove(balancer + ' ' + cache);
        } else {
            drained.putIfAbsent(balancer + ' ' + cache, now);
        }
    }

    /** A cache started empty. */
    public synchronized void started(long now, String cache) {
        allWork.put(cache, new ColdMeter(bounds.warmth, bounds.cores, now));
        ColdMeter.Warmth warmth = bounds.warmth;
        knowingWork.put(
                cache,
                new ColdMeter(
                        new ColdMeter.Warmth(
                                warmth.from(),
                                warmth.within(),
                                warmth.multiple() * BOTH_SHARES / THREE_SHARES,
                                warmth.window()),
                        bounds.cores,
                        now));
        knowing.removeIf(pair -> pair.endsWith(' ' + cache));
    }

    /** A balancer has heard of the start. */
    public synchronized void toldStart(String balancer, String cache) {
        knowing.add(balancer + ' ' + cache);
    }

    /** A balancer has been started and reads its first requests by code that has not run before. */
    public synchronized void starts(long now, String balancer) {
        slowUntil.put(balancer, now + SLOW_START);
    }

    /** A balancer starts anew and knows nothing yet. */
    public synchronized void forgets(String balancer) {
        knowing.removeIf(pair -> pair.startsWith(balancer + ' '));
        drained.keySet().removeIf(pair -> pair.startsWith(balancer + ' '));
    }

    // What was found.

    private void breach(Rule rule, String what) {
        counts.merge(rule, 1, Integer::sum);
        if (breaches.size() < MOST_KEPT_BREACHES) {
            breaches.add(new Breach(rule, what));
        }
    }

    /** Breaches of a rule. */
    public synchronized int count(Rule rule) {
        return counts.getOrDefault(rule, 0);
    }

    /** All breaches. */
    public synchronized int count() {
        return counts.values().stream().mapToInt(Integer::intValue).sum();
    }

    /** The first breaches, in words. */
    public synchronized List<Breach> breaches() {
        return List.copyOf(breaches);
    }

    /** Sends that reached caches beyond the first of each request. */
    public synchronized long copies() {
        return attempts - firsts;
    }

    /** Sends that reached caches. */
    public synchronized long attempts() {
        return attempts;
    }

    /** What identifies a value or a receipt. */
    public static long content(byte[] bytes) {
        java.util.zip.CRC32C crc = new java.util.zip.CRC32C();
        crc.update(bytes);
        return crc.getValue() << 24 ^ bytes.length;
    }
}
