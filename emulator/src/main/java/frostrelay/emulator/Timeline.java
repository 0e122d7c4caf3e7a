package frostrelay.emulator;

import java.util.Arrays;

/**
 * What is still to happen, in the order of time; what happens at the same moment goes in the order
 * in which it was added, so that a day is the same each time. A calendar queue (Brown 1988): a
 * wheel of short slots that are put in order only when their time comes; what lies past the wheel
 * waits in a heap. Most events are timers that are taken back: their places are used again at once,
 * so that what is touched stays small. Not safe for threads.
 */
final class Timeline {
    /** A slot is 65.5 µs long, the wheel 4.3 s. */
    private static final int SLOT_SHIFT = 16;

    private static final int SLOTS = 1 << 16;
    private static final int MASK = SLOTS - 1;
    private static final int NONE = -1;

    /** Of a mark: the place is in the lower bits, the order in the others. */
    private static final int PLACE_BITS = 24;

    private static final long PLACE_MASK = (1L << PLACE_BITS) - 1;

    /** A mark of nothing. */
    static final long NO_MARK = -1;

    /** Of the present slot, and of those before it. */
    private final EventHeap due = new EventHeap();

    private final EventHeap beyond = new EventHeap();

    /** The first event of each slot, in no order, and which slots have any. */
    private final int[] heads = new int[SLOTS];

    private final long[] filled = new long[SLOTS / Long.SIZE];
    private int inWheel;

    /** Events of the wheel, linked by slot; free places are linked as well. */
    private long[] times = new long[1024];

    private long[] orders = new long[1024];
    private Event[] events = new Event[1024];
    private int[] nexts = new int[1024];
    private int[] befores = new int[1024];
    private int used;
    private int free = NONE;
    private long slot;
    private long added;
    private long now;
    private long happened;

    Timeline() {
        Arrays.fill(heads, NONE);
    }

    /**
     * At that moment, or now if it has passed. Returns a mark to {@link #cancel} it by, which is
     * good for nothing once it has happened.
     */
    long at(long time, Event event) {
        long moment = Math.max(now, time);
        long ahead = (moment >> SLOT_SHIFT) - slot;
        if (ahead <= 0) {
            due.add(moment, added++, event);
            return NO_MARK;
        }
        if (ahead < SLOTS) {
            return link((int) (moment >> SLOT_SHIFT) & MASK, moment, added++, event);
        }
        beyond.add(moment, added++, event);
        return NO_MARK;
    }

    /**
     * Takes an event back that would do nothing. It may happen all the same, if it is due at once
     * or far off: who cancels must bear that.
     */
    void cancel(long mark) {
        int node = (int) (mark & PLACE_MASK);
        if (mark == NO_MARK || orders[node] != mark >>> PLACE_BITS) {
            return;
        }
        int place = (int) (times[node] >> SLOT_SHIFT) & MASK;
        int next = nexts[node];
        int before = befores[node];
        if (next != NONE) {
            befores[next] = before;
        }
        if (before != NONE) {
            nexts[before] = next;
        } else {
            heads[place] = next;
            if (next == NONE) {
                filled[place / Long.SIZE] &= ~(1L << place);
            }
        }
        release(node);
    }

    private void release(int node) {
        events[node] = null;
        orders[node] = NONE;
        nexts[node] = free;
        free = node;
        inWheel--;
    }

    private long link(int place, long moment, long order, Event event) {
        int node = free;
        if (node != NONE) {
            free = nexts[node];
        } else {
            node = used++;
            if (node == times.length) {
                times = Arrays.copyOf(times, 2 * node);
                orders = Arrays.copyOf(orders, 2 * node);
                events = Arrays.copyOf(events, 2 * node);
                nexts = Arrays.copyOf(nexts, 2 * node);
                befores = Arrays.copyOf(befores, 2 * node);
            }
        }
        times[node] = moment;
        orders[node] = order;
        events[node] = event;
        nexts[node] = heads[place];
        befores[node] = NONE;
        if (heads[place] != NONE) {
            befores[heads[place]] = node;
        }
        heads[place] = node;
        filled[place / Long.SIZE] |= 1L << place;
        inWheel++;
        return node > PLACE_MASK ? NO_MARK : order << PLACE_BITS | node;
    }

    /** Lets everything happen up to a moment. */
    void run(long until) {
        while (!due.isEmpty() || turn(until)) {
            if (due.time() > until) {
                break;
            }
            now = due.time();
            happened++;
            due.poll().happen(now);
        }
        now = Math.max(now, until);
    }

    /** Goes on to the next slot that holds something; false if there is none up to that moment. */
    private boolean turn(long until) {
        long next =
                Math.min(
                        nextInWheel(),
                        beyond.isEmpty() ? Long.MAX_VALUE : beyond.time() >> SLOT_SHIFT);
        if (next > until >> SLOT_SHIFT) {
            return false;
        }
        slot = next;
        int place = (int) next & MASK;
        for (int node = heads[place]; node != NONE; ) {
            due.add(times[node], orders[node], events[node]);
            int following = nexts[node];
            release(node);
            node = following;
        }
        heads[place] = NONE;
        filled[place / Long.SIZE] &= ~(1L << place);
        while (!beyond.isEmpty() && beyond.time() >> SLOT_SHIFT == next) {
            due.add(beyond.time(), beyond.order(), beyond.poll());
        }
        return true;
    }

    private long nextInWheel() {
        if (inWheel == 0) {
            return Long.MAX_VALUE;
        }
        // The present slot is empty: the search ends before it comes round.
        int place = (int) (slot + 1) & MASK;
        long word = filled[place / Long.SIZE] & -1L << place;
        int at = place / Long.SIZE;
        while (word == 0) {
            at = (at + 1) % filled.length;
            word = filled[at];
        }
        int found = at * Long.SIZE + Long.numberOfTrailingZeros(word);
        return slot + 1 + (found - place & MASK);
    }

    long now() {
        return now;
    }

    /** Events that have happened so far. */
    long happened() {
        return happened;
    }

    /** Events still to come. */
    int open() {
        return due.size() + inWheel + beyond.size();
    }
}
