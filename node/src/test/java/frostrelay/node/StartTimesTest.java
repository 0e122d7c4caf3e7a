package frostrelay.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import frostrelay.policy.Api;

import org.junit.jupiter.api.Test;

import java.util.List;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.UnaryOperator;

/**
 * A server that has just started is cold whatever is done to the wall clock, and one that runs for
 * long stays warm.
 */
class StartTimesTest {
    private static final long SECOND = Clock.SECOND;
    private static final long HOUR = 3_600 * SECOND;

    /** Own time and wall time at the beginning. */
    private static final long NOW = 1_000 * SECOND;

    private static final long WALL = 1_700_000_000L * SECOND;
    private final StartTimes times = new StartTimes();

    @Test
    void withoutAStepAStartIsWhereItWas() {
        times.onList(NOW, WALL);
        assertEquals(NOW - 5 * SECOND, times.own(1, WALL - 5 * SECOND));
        assertEquals(0, times.own(2, 0), "long ago");
        times.onList(NOW + 10 * SECOND, WALL + 10 * SECOND);
        assertEquals(NOW - 5 * SECOND, times.own(1, WALL - 5 * SECOND), "told again");
        assertEquals(NOW + 8 * SECOND, times.own(1, WALL + 8 * SECOND), "started anew");
    }

    @Test
    void behindAStepOfAnHourAStartThatWasToldStays() {
        for (long step : new long[] {HOUR, -HOUR}) {
            StartTimes stepped = new StartTimes();
            stepped.onList(NOW, WALL);
            stepped.own(1, WALL - 5 * SECOND);
            stepped.onList(NOW + SECOND, WALL + SECOND + step);
            assertEquals(NOW - 5 * SECOND, stepped.own(1, WALL - 5 * SECOND));
        }
    }

    @Test
    void aStartBehindAStepIsWhereItWas() {
        for (long step : new long[] {HOUR, -HOUR}) {
            StartTimes stepped = new StartTimes();
            stepped.onList(NOW, WALL);
            stepped.onList(NOW + 10 * SECOND, WALL + 10 * SECOND + step);
            assertEquals(NOW + 9 * SECOND, stepped.own(1, WALL + 9 * SECOND + step));
        }
    }

    /**
     * Told in the old time, heard of in the new one: it did not run when the last list before the
     * step came.
     */
    @Test
    void aStartShortlyBeforeAStepIsNeverTakenForAnOldOne() {
        for (long step : new long[] {HOUR, -HOUR}) {
            StartTimes stepped = new StartTimes();
            stepped.onList(NOW, WALL);
            stepped.onList(NOW + 3 * SECOND, WALL + 3 * SECOND + step);
            stepped.onList(NOW + 4 * SECOND, WALL + 4 * SECOND + step);
            long own = stepped.own(1, WALL + SECOND);
            assertTrue(own >= NOW && own <= NOW + 4 * SECOND, "at " + (own - NOW));
        }
    }

    /**
     * Through the program: the module hears of a start on its own clock, though the wall clock was
     * set back by an hour meanwhile.
     */
    @Test
    void theModuleHearsOfAStartOnItsOwnClock() throws Exception {
        AtomicLong step = new AtomicLong();
        BlockingQueue<Api.Server> heard = new LinkedBlockingQueue<>();
        try (Rig rig = new Rig()) {
            rig.seams =
                    new Seams(
                            UnaryOperator.identity(),
                            UnaryOperator.identity(),
                            UnaryOperator.identity(),
                            UnaryOperator.identity(),
                            () -> System.currentTimeMillis() + step.get(),
                            0,
                            Seams.NONE.form());
            rig.module =
                    (settings, seed, actions) ->
                            new Scripted(actions) {
                                @Override
                                public void onList(
                                        long now, Api.ListMode mode, List<Api.Server> servers) {
                                    heard.addAll(servers);
                                }
                            };
            rig.start();
            step.set(-HOUR / Clock.MILLISECOND);
            long bootMs = System.currentTimeMillis() + step.get();
            Catalog started =
                    Catalog.parse(
                            Json.parse(
                                    ("{\"rev\":8,\"all\":false,\"targets\":["
                                                    + Rig.target("s-new", "127.0.0.1:1", "Ready")
                                                            .replace(
                                                                    "\"boot_ms\":0",
                                                                    "\"boot_ms\":" + bootMs)
                                                    + "]}")
                                            .getBytes()),
                            rig.site());
            rig.loop.submit(() -> rig.node.onList(Api.ListMode.DELTA, started.members())).get();
            long age = Clock.now() - heard.take().startedAt();
            assertTrue(
                    age >= 0 && age < 10 * SECOND,
                    "started " + age / Clock.MILLISECOND + " ms ago");
        }
    }

    @Test
    void whatIsListedNoMoreIsForgotten() {
        times.onList(NOW, WALL);
        times.own(1, WALL - 5 * SECOND);
        times.keep(Set.of(2L));
        times.onList(NOW + SECOND, WALL + SECOND + HOUR);
        assertEquals(
                NOW,
                times.own(1, WALL - 5 * SECOND),
                "told as if for the first time, behind a step");
    }
}
