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

    private static final int SLOT_COUNT = 1 << 16;
    private static final int SLOT_MASK = SLOT_COUNT - 1;
    private static final int NONE = -1;

    /** Of a mark: the place is in the lower bits, the order in the others. */
    private static final int NODE_BITS = 24;

    private static final long NODE_MASK = (1L << NODE_BITS) - 1;

    /** A mark of nothing. */
    static final long NO_TIMER = -1;

    /** Of the present slot, and of those before it. */
    private final EventHeap dueEvents = new EventHeap();

    private final EventHeap farEvents = new EventHeap();

    /** The first event of each slot, in no order, and which slots have any. */
    private final int[] heads = new int[SLOT_COUNT];

    private final long[] occupiedSlots = new long[SLOT_COUNT / Long.SIZE];
    private int wheelSize;

    /** Events of the wheel, linked by slot; free places are linked as well. */
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
     * At that moment, or now if it has passed. Returns a mark to {@link #cancel} it by, which is
     * good for nothing once it has happened.
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
     * Takes an event back that would do nothing. It may happen all the same, if it is due at once
     * or far off: who cancels must bear that.
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

    /** Lets everything happen up to a moment. */
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

    /** Goes on to the next slot that holds something; false if there is none up to that moment. */
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
        // The present slot is empty: the search ends before it comes round.
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

    /** Events that have happened so far. */
    long executedEvents() {
        return executedEvents;
    }

    /** Events still to come. */
    int pendingEvents() {
        return dueEvents.size() + wheelSize + farEvents.size();
    }
}
