package frostrelay.emulator;

import java.util.Arrays;

/** A heap of events ordered by time, then by insertion order. A 4-ary heap in arrays. */
final class EventHeap {
    private static final int CHILDREN = 4;

    private long[] times = new long[64];
    private long[] orders = new long[64];
    private Event[] events = new Event[64];
    private int size;

    void add(long time, long order, Event event) {
        if (size == times.length) {
            times = Arrays.copyOf(times, 2 * size);
            orders = Arrays.copyOf(orders, 2 * size);
            events = Arrays.copyOf(events, 2 * size);
        }
        int position = size++;
        while (position > 0) {
            int parent = (position - 1) / CHILDREN;
            if (!isBefore(time, order, parent)) {
                break;
            }
            put(position, times[parent], orders[parent], events[parent]);
            position = parent;
        }
        put(position, time, order, event);
    }

    /** Removes and returns the first event; the heap must not be empty. */
    Event poll() {
        Event first = events[0];
        int last = --size;
        long time = times[last];
        long order = orders[last];
        Event event = events[last];
        events[last] = null;
        int position = 0;
        for (int firstChild = 1; firstChild < size; firstChild = CHILDREN * position + 1) {
            int earliestChild = firstChild;
            int childrenEnd = Math.min(size, firstChild + CHILDREN);
            for (int child = firstChild + 1; child < childrenEnd; child++) {
                if (isBefore(times[child], orders[child], earliestChild)) {
                    earliestChild = child;
                }
            }
            if (isBefore(time, order, earliestChild)) {
                break;
            }
            put(position, times[earliestChild], orders[earliestChild], events[earliestChild]);
            position = earliestChild;
        }
        if (size > 0) {
            put(position, time, order, event);
        }
        return first;
    }

    private boolean isBefore(long time, long order, int position) {
        return time < times[position] || time == times[position] && order < orders[position];
    }

    private void put(int position, long time, long order, Event event) {
        times[position] = time;
        orders[position] = order;
        events[position] = event;
    }

    boolean isEmpty() {
        return size == 0;
    }

    /** Returns the time of the first event; the heap must not be empty. */
    long firstTime() {
        return times[0];
    }

    /** Returns the insertion order of the first event; the heap must not be empty. */
    long firstOrder() {
        return orders[0];
    }

    int size() {
        return size;
    }
}
