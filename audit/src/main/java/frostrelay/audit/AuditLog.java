package frostrelay.audit;

import frostrelay.peers.Peers;
import frostrelay.peers.Stamp;
import frostrelay.peers.State;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/**
 * Keeps account of what one life of a balancer acts on, and writes it down. A send costs two
 * additions and no allocation unless sends are wanted one by one. For one thread; moments are
 * nanoseconds of the balancer's monotonic clock.
 */
public final class AuditLog implements Peers.Listener {
    /** A wall clock that moved by less against the monotonic one is being slewed, not set. */
    private static final long JUMP_MS = 250;

    private static final long MILLISECOND = 1_000_000L;

    private final Recorder recorder;
    private final boolean each;
    private final long born;
    private long wallOffset;
    private final Map<String, Integer> numbers = new HashMap<>();
    private int[] sends = new int[64];
    private int copies;
    private int refused;
    private int failed;
    private int sequence;
    private Stamp stamp;
    private long since;
    private Cause cause = Cause.START;

    /**
     * {@code each}: whether every send is entered by itself; {@code incarnation}: of this life
     * among its peers.
     */
    public AuditLog(
            Recorder recorder,
            boolean each,
            long now,
            long wallMs,
            String name,
            int rank,
            long incarnation,
            Stamp stamp) {
        this.recorder = recorder;
        this.each = each;
        this.born = now;
        this.since = now;
        this.stamp = stamp;
        this.wallOffset = wallMs;
        recorder.append(new Entry.Start(0, name, rank, incarnation, stamp.build(), wallMs));
        recorder.append(new Entry.Acts(0, 0, Cause.START, wallMs, stamp));
    }

    /** The number that a cache goes by here. */
    public int number(long now, String uid) {
        Integer known = numbers.get(uid);
        if (known != null) {
            return known;
        }
        int number = numbers.size();
        numbers.put(uid, number);
        if (number == sends.length) {
            sends = Arrays.copyOf(sends, 2 * number);
        }
        recorder.append(new Entry.Names(now - born, number, uid));
        return number;
    }

    /** The list says this of a cache; to be told before {@link #acts}. */
    public void lists(long now, int cache, boolean ready, long bootMs) {
        recorder.append(new Entry.Lists(now - born, cache, ready, bootMs));
    }

    /** From now on decisions are made under this. */
    public void acts(long now, long wallMs, Stamp fresh, Cause why) {
        if (fresh.equals(stamp)) {
            return;
        }
        flush(now);
        stamp = fresh;
        cause = why;
        since = now;
        sequence++;
        recorder.append(new Entry.Acts(now - born, sequence, why, wallMs, fresh));
    }

    /** The number of the stamp that holds now. */
    public int sequence() {
        return sequence;
    }

    /** What holds now. */
    public Stamp stamp() {
        return stamp;
    }

    /** Since when, on this log's clock. */
    public long since() {
        return since;
    }

    /** Why it began to. */
    public Cause cause() {
        return cause;
    }

    /**
     * An attempt that was decided on under the stamp {@code under} was written to a cache. {@code
     * attempt}: its place among the request's; {@code copy}: another is still out; {@code id}: the
     * request's.
     */
    public void sent(long now, int under, int cache, int attempt, boolean copy, String id) {
        if (each) {
            recorder.append(new Entry.Sent(now - born, under, cache, attempt, id));
        }
        if (under != sequence) {
            // Decided on before the change, on its way while it came: under the old stamp.
            recorder.append(
                    new Entry.Counts(
                            now - born,
                            under,
                            copy ? 1 : 0,
                            0,
                            0,
                            new int[] {cache},
                            new int[] {1}));
            return;
        }
        sends[cache]++;
        copies += copy ? 1 : 0;
    }

    /** A request was refused by decision. */
    public void refused() {
        refused++;
    }

    /** A request was given up as failed by decision. */
    public void failed() {
        failed++;
    }

    /** Something could not be taken. */
    public void refused(long now, String what) {
        recorder.append(new Entry.Refused(now - born, what));
    }

    /**
     * To be called about once a second: counts so far go into the record, also where there are
     * none, as a sign that it lives; a wall clock that was set is noticed.
     */
    public void tick(long now, long wallMs) {
        flush(now);
        long moved = wallMs - (now - born) / MILLISECOND - wallOffset;
        if (Math.abs(moved) >= JUMP_MS) {
            wallOffset += moved;
            recorder.append(new Entry.Jumped(now - born, moved));
        }
    }

    private void flush(long now) {
        int used = 0;
        for (int i = 0; i < numbers.size(); i++) {
            used += sends[i] > 0 ? 1 : 0;
        }
        int[] caches = new int[used];
        int[] counts = new int[used];
        for (int i = 0, at = 0; i < numbers.size(); i++) {
            if (sends[i] > 0) {
                caches[at] = i;
                counts[at++] = sends[i];
                sends[i] = 0;
            }
        }
        recorder.append(
                new Entry.Counts(now - born, sequence, copies, refused, failed, caches, counts));
        copies = 0;
        refused = 0;
        failed = 0;
    }

    /** The life ends in order. */
    public void end(long now) {
        flush(now);
        recorder.append(new Entry.End(now - born));
    }

    @Override
    public void onState(long now, int rank, long incarnation, State state, int by) {
        recorder.append(new Entry.Believes(now - born, rank, incarnation, state, by));
    }

    @Override
    public void onOwn(long now, long incarnation) {
        recorder.append(new Entry.Renumbered(now - born, incarnation));
    }

    @Override
    public void onRow(long now, int rank, long incarnation, int place, int ref, long age) {
        recorder.append(new Entry.Heard(now - born, rank, incarnation, place, ref, age));
    }

    @Override
    public void onClock(long now, int rank, long incarnation, long sent, long theirMs) {
        recorder.append(new Entry.Clock(now - born, rank, incarnation, sent - born, theirMs));
    }
}
