package frostrelay.emulator;

import java.util.Arrays;

/**
 * A queue of pending events in time order. Simultaneous events run in insertion order, which makes
 * runs reproducible. Implemented as a calendar queue (Brown 1988): a wheel of short slots, each
 * sorted only when it becomes due; events beyond the wheel are kept in a heap. Most events are
 * timers that are cancelled: their nodes are reused at once, which keeps the working set small. Not
 * thread-safe.
 */
final class Timeline {
    /** A slot is 65.5 µs long, the wheel 4.3 s. */
    private static final int SLOT_SHIFT = 16;

    private static final int SLOT_COUNT = 1 << 16;
    private static final int SLOT_MASK = SLOT_COUNT - 1;
    private static final int NONE = -1;

    /**
     * A timer handle holds the node index in its lower bits and the insertion order in the others.
     */
    private static final int NODE_BITS = 24;

    private static final long NODE_MASK = (1L << NODE_BITS) - 1;

    /** The handle of no timer. */
    static final long NO_TIMER = -1;

    /** Events of the current slot and earlier ones. */
    private final EventHeap dueEvents = new EventHeap();

    private final EventHeap farEvents = new EventHeap();

    /**
     * The first node of each slot, unsorted; {@code occupiedSlots} marks the slots that have
     * events.
     */
    private final int[] heads = new int[SLOT_COUNT];

    private final long[] occupiedSlots = new long[SLOT_COUNT / Long.SIZE];
    private int wheelSize;

    /** Event nodes of the wheel, linked by slot; free nodes are linked as well. */
    private long[] times = new long[1024];

    private long[] orders = new long[1024];
    private Event[] events = new Event[1024];
    private int[] nextNodes = new int[1024];
    private int[] previousNodes = new int[1024];
    private int allocatedNodes;
    private int firstFreeNode = NONE;
    private long currentSlot;
    private long nextOrder;
    private long now;
    private long executedEvents;

    Timeline() {
        Arrays.fill(heads, NONE);
    }

    /**
     * Schedules an event at the given time, or now if that has passed. Returns a handle for {@link
     * #cancel}, which is invalid once the event has run.
     */
    long schedule(long requestedNanos, Event event) {
        long atNanos = Math.max(now, requestedNanos);
        long slotsAhead = (atNanos >> SLOT_SHIFT) - currentSlot;
        if (slotsAhead <= 0) {
            dueEvents.add(atNanos, nextOrder++, event);
            return NO_TIMER;
        }
        if (slotsAhead < SLOT_COUNT) {
            return insertIntoSlot(
                    (int) (atNanos >> SLOT_SHIFT) & SLOT_MASK, atNanos, nextOrder++, event);
        }
        farEvents.add(atNanos, nextOrder++, event);
        return NO_TIMER;
    }

    /**
     * Cancels an event that is no longer needed. An event of the current slot or beyond the wheel
     * still runs, so callers must tolerate that.
     */
    void cancel(long timer) {
        int node = (int) (timer & NODE_MASK);
        if (timer == NO_TIMER || orders[node] != timer >>> NODE_BITS) {
            return;
        }
        int slotIndex = (int) (times[node] >> SLOT_SHIFT) & SLOT_MASK;
        int next = nextNodes[node];
        int previous = previousNodes[node];
        if (next != NONE) {
            previousNodes[next] = previous;
        }
        if (previous != NONE) {
            nextNodes[previous] = next;
        } else {
            heads[slotIndex] = next;
            if (next == NONE) {
                occupiedSlots[slotIndex / Long.SIZE] &= ~(1L << slotIndex);
            }
        }
        releaseNode(node);
    }

    private void releaseNode(int node) {
        events[node] = null;
        orders[node] = NONE;
        nextNodes[node] = firstFreeNode;
        firstFreeNode = node;
        wheelSize--;
    }

    private long insertIntoSlot(int slotIndex, long atNanos, long order, Event event) {
        int node = firstFreeNode;
        if (node != NONE) {
            firstFreeNode = nextNodes[node];
        } else {
            node = allocatedNodes++;
            if (node == times.length) {
                times = Arrays.copyOf(times, 2 * node);
                orders = Arrays.copyOf(orders, 2 * node);
                events = Arrays.copyOf(events, 2 * node);
                nextNodes = Arrays.copyOf(nextNodes, 2 * node);
                previousNodes = Arrays.copyOf(previousNodes, 2 * node);
            }
        }
        times[node] = atNanos;
        orders[node] = order;
        events[node] = event;
        nextNodes[node] = heads[slotIndex];
        previousNodes[node] = NONE;
        if (heads[slotIndex] != NONE) {
            previousNodes[heads[slotIndex]] = node;
        }
        heads[slotIndex] = node;
        occupiedSlots[slotIndex / Long.SIZE] |= 1L << slotIndex;
        wheelSize++;
        return node > NODE_MASK ? NO_TIMER : order << NODE_BITS | node;
    }

    /** Runs all events up to and including the given time. */
    void runUntil(long untilNanos) {
        while (!dueEvents.isEmpty() || advanceToNextSlot(untilNanos)) {
            if (dueEvents.firstTime() > untilNanos) {
                break;
            }
            now = dueEvents.firstTime();
            executedEvents++;
            dueEvents.poll().run(now);
        }
        now = Math.max(now, untilNanos);
    }

    /**
     * Advances to the next slot with events; returns false if there is none up to the given time.
     */
    private boolean advanceToNextSlot(long untilNanos) {
        long nextSlot =
                Math.min(
                        nextOccupiedSlot(),
                        farEvents.isEmpty() ? Long.MAX_VALUE : farEvents.firstTime() >> SLOT_SHIFT);
        if (nextSlot > untilNanos >> SLOT_SHIFT) {
            return false;
        }
        currentSlot = nextSlot;
        int slotIndex = (int) nextSlot & SLOT_MASK;
        for (int node = heads[slotIndex]; node != NONE; ) {
            dueEvents.add(times[node], orders[node], events[node]);
            int following = nextNodes[node];
            releaseNode(node);
            node = following;
        }
        heads[slotIndex] = NONE;
        occupiedSlots[slotIndex / Long.SIZE] &= ~(1L << slotIndex);
        while (!farEvents.isEmpty() && farEvents.firstTime() >> SLOT_SHIFT == nextSlot) {
            dueEvents.add(farEvents.firstTime(), farEvents.firstOrder(), farEvents.poll());
        }
        return true;
    }

    private long nextOccupiedSlot() {
        if (wheelSize == 0) {
            return Long.MAX_VALUE;
        }
        // The current slot is empty, so the search ends before it wraps around to it.
        int firstIndex = (int) (currentSlot + 1) & SLOT_MASK;
        long word = occupiedSlots[firstIndex / Long.SIZE] & -1L << firstIndex;
        int wordIndex = firstIndex / Long.SIZE;
        while (word == 0) {
            wordIndex = (wordIndex + 1) % occupiedSlots.length;
            word = occupiedSlots[wordIndex];
        }
        int foundIndex = wordIndex * Long.SIZE + Long.numberOfTrailingZeros(word);
        return currentSlot + 1 + (foundIndex - firstIndex & SLOT_MASK);
    }

    long now() {
        return now;
    }

    /** Returns the number of events executed. */
    long executedEvents() {
        return executedEvents;
    }

    /** Returns the number of events pending. */
    int pendingEvents() {
        return dueEvents.size() + wheelSize + farEvents.size();
    }
}
