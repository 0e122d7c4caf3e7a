package frostrelay.emulator;

import java.util.Arrays;

/**
 * What is still to happen, in the order of time; what happens at the same moment goes in the order in which it was added,
 * so that a day is the same each time. A heap of four children a node over arrays. Not safe for threads.
 */
final class Timeline {
    private static final int CHILDREN = 4;

    private long[] times = new long[1024];
    private long[] orders = new long[1024];
    private Event[] events = new Event[1024];
    private int size;
    private long added;
    private long now;
    private long happened;

    /** At that moment, or now if it has passed. */
    void at(long time, Event event) {
        if (size == times.length) {
            times = Arrays.copyOf(times, 2 * size);
            orders = Arrays.copyOf(orders, 2 * size);
            events = Arrays.copyOf(events, 2 * size);
        }
        int place = size++;
        long moment = Math.max(now, time);
        long order = added++;
        while (place > 0) {
            int parent = (place - 1) / CHILDREN;
            if (!before(moment, order, parent)) {
                break;
            }
            move(parent, place);
            place = parent;
        }
        put(place, moment, order, event);
    }

    /** Lets everything happen up to a moment. */
    void run(long until) {
        while (size > 0 && times[0] <= until) {
            now = times[0];
            Event next = events[0];
            removeFirst();
            happened++;
            next.happen(now);
        }
        now = Math.max(now, until);
    }

    private void removeFirst() {
        int last = --size;
        long time = times[last];
        long order = orders[last];
        Event event = events[last];
        events[last] = null;
        if (last == 0) {
            return;
        }
        int place = 0;
        for (int first = 1; first < size; first = CHILDREN * place + 1) {
            int least = first;
            int end = Math.min(size, first + CHILDREN);
            for (int child = first + 1; child < end; child++) {
                if (before(times[child], orders[child], least)) {
                    least = child;
                }
            }
            if (before(time, order, least)) {
                break;
            }
            move(least, place);
            place = least;
        }
        put(place, time, order, event);
    }

    private boolean before(long time, long order, int other) {
        return time < times[other] || time == times[other] && order < orders[other];
    }

    private void move(int from, int to) {
        put(to, times[from], orders[from], events[from]);
    }

    private void put(int place, long time, long order, Event event) {
        times[place] = time;
        orders[place] = order;
        events[place] = event;
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
        return size;
    }
}
