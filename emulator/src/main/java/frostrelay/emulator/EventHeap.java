package frostrelay.emulator;

import java.util.Arrays;

/**
 * Events in the order of their moments, those of one moment in the order of adding. Four children a
 * node, over arrays.
 */
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
        int place = size++;
        while (place > 0) {
            int parent = (place - 1) / CHILDREN;
            if (!before(time, order, parent)) {
                break;
            }
            put(place, times[parent], orders[parent], events[parent]);
            place = parent;
        }
        put(place, time, order, event);
    }

    /** Takes the first out; there must be one. */
    Event poll() {
        Event first = events[0];
        int last = --size;
        long time = times[last];
        long order = orders[last];
        Event event = events[last];
        events[last] = null;
        int place = 0;
        for (int from = 1; from < size; from = CHILDREN * place + 1) {
            int least = from;
            int end = Math.min(size, from + CHILDREN);
            for (int child = from + 1; child < end; child++) {
                if (before(times[child], orders[child], least)) {
                    least = child;
                }
            }
            if (before(time, order, least)) {
                break;
            }
            put(place, times[least], orders[least], events[least]);
            place = least;
        }
        if (size > 0) {
            put(place, time, order, event);
        }
        return first;
    }

    private boolean before(long time, long order, int other) {
        return time < times[other] || time == times[other] && order < orders[other];
    }

    private void put(int place, long time, long order, Event event) {
        times[place] = time;
        orders[place] = order;
        events[place] = event;
    }

    boolean isEmpty() {
        return size == 0;
    }

    /** The first one's moment; there must be one. */
    long time() {
        return times[0];
    }

    /** The first one's place among all that were added. */
    long order() {
        return orders[0];
    }

    int size() {
        return size;
    }
}
