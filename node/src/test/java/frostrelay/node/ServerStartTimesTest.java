package frostrelay.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import frostrelay.node.cluster.TestHooks;
import frostrelay.node.config.EndpointList;
import frostrelay.node.config.Json;
import frostrelay.node.discovery.ServerStartTimes;
import frostrelay.node.time.Clock;
import frostrelay.policy.api.EndpointUpdateMode;
import frostrelay.policy.api.Server;

import org.junit.jupiter.api.Test;

import java.util.List;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.UnaryOperator;

/**
 * Checks that a step of the wall clock does not make a server that has just started count as warm,
 * nor one that started long ago as warming up.
 */
class ServerStartTimesTest {
    private static final long NANOS_PER_SECOND = Clock.NANOS_PER_SECOND;
    private static final long NANOS_PER_HOUR = 3_600 * NANOS_PER_SECOND;

    /** The process's clock and the wall clock at the beginning. */
    private static final long START_NANOS = 1_000 * NANOS_PER_SECOND;

    private static final long START_WALL_CLOCK_NANOS = 1_700_000_000L * NANOS_PER_SECOND;
    private final ServerStartTimes startTimes = new ServerStartTimes();

    @Test
    void aStartIsConvertedExactlyWithoutAStep() {
        startTimes.onEndpointList(START_NANOS, START_WALL_CLOCK_NANOS);
        assertEquals(
                START_NANOS - 5 * NANOS_PER_SECOND,
                startTimes.toLocalStart(1, START_WALL_CLOCK_NANOS - 5 * NANOS_PER_SECOND));
        assertEquals(0, startTimes.toLocalStart(2, 0), "long ago");
        startTimes.onEndpointList(
                START_NANOS + 10 * NANOS_PER_SECOND,
                START_WALL_CLOCK_NANOS + 10 * NANOS_PER_SECOND);
        assertEquals(
                START_NANOS - 5 * NANOS_PER_SECOND,
                startTimes.toLocalStart(1, START_WALL_CLOCK_NANOS - 5 * NANOS_PER_SECOND),
                "reported again");
        assertEquals(
                START_NANOS + 8 * NANOS_PER_SECOND,
                startTimes.toLocalStart(1, START_WALL_CLOCK_NANOS + 8 * NANOS_PER_SECOND),
                "restarted");
    }

    @Test
    void aKnownStartIsKeptAfterAStepOfAnHour() {
        for (long step : new long[] {NANOS_PER_HOUR, -NANOS_PER_HOUR}) {
            ServerStartTimes steppedTimes = new ServerStartTimes();
            steppedTimes.onEndpointList(START_NANOS, START_WALL_CLOCK_NANOS);
            steppedTimes.toLocalStart(1, START_WALL_CLOCK_NANOS - 5 * NANOS_PER_SECOND);
            steppedTimes.onEndpointList(
                    START_NANOS + NANOS_PER_SECOND,
                    START_WALL_CLOCK_NANOS + NANOS_PER_SECOND + step);
            assertEquals(
                    START_NANOS - 5 * NANOS_PER_SECOND,
                    steppedTimes.toLocalStart(1, START_WALL_CLOCK_NANOS - 5 * NANOS_PER_SECOND));
        }
    }

    @Test
    void aStartAfterAStepIsConvertedExactly() {
        for (long step : new long[] {NANOS_PER_HOUR, -NANOS_PER_HOUR}) {
            ServerStartTimes steppedTimes = new ServerStartTimes();
            steppedTimes.onEndpointList(START_NANOS, START_WALL_CLOCK_NANOS);
            steppedTimes.onEndpointList(
                    START_NANOS + 10 * NANOS_PER_SECOND,
                    START_WALL_CLOCK_NANOS + 10 * NANOS_PER_SECOND + step);
            assertEquals(
                    START_NANOS + 9 * NANOS_PER_SECOND,
                    steppedTimes.toLocalStart(
                            1, START_WALL_CLOCK_NANOS + 9 * NANOS_PER_SECOND + step));
        }
    }

    /**
     * A start that was reported in the old time is received after the step. The server did not run
     * when the last list before the step was received.
     */
    @Test
    void aStartShortlyBeforeAStepIsNotConvertedToAnEarlyOne() {
        for (long step : new long[] {NANOS_PER_HOUR, -NANOS_PER_HOUR}) {
            ServerStartTimes steppedTimes = new ServerStartTimes();
            steppedTimes.onEndpointList(START_NANOS, START_WALL_CLOCK_NANOS);
            steppedTimes.onEndpointList(
                    START_NANOS + 3 * NANOS_PER_SECOND,
                    START_WALL_CLOCK_NANOS + 3 * NANOS_PER_SECOND + step);
            steppedTimes.onEndpointList(
                    START_NANOS + 4 * NANOS_PER_SECOND,
                    START_WALL_CLOCK_NANOS + 4 * NANOS_PER_SECOND + step);
            long localNanos =
                    steppedTimes.toLocalStart(1, START_WALL_CLOCK_NANOS + NANOS_PER_SECOND);
            assertTrue(
                    localNanos >= START_NANOS && localNanos <= START_NANOS + 4 * NANOS_PER_SECOND,
                    "at " + (localNanos - START_NANOS));
        }
    }

    /**
     * End to end: the policy receives a start on the process's clock, although the wall clock was
     * set back by an hour in the meantime.
     */
    @Test
    void thePolicyReceivesAStartOnItsLocalClock() throws Exception {
        AtomicLong clockStepMillis = new AtomicLong();
        BlockingQueue<Server> reportedServers = new LinkedBlockingQueue<>();
        try (NodeTestFixture fixture = new NodeTestFixture()) {
            fixture.testHooks =
                    new TestHooks(
                            UnaryOperator.identity(),
                            UnaryOperator.identity(),
                            UnaryOperator.identity(),
                            UnaryOperator.identity(),
                            () -> System.currentTimeMillis() + clockStepMillis.get(),
                            0,
                            TestHooks.NONE.datagramFormat());
            fixture.policyFactory =
                    (settings, seed, actions) ->
                            new NoOpPolicy(actions) {
                                @Override
                                public void onEndpointUpdate(
                                        long now, EndpointUpdateMode mode, List<Server> servers) {
                                    reportedServers.addAll(servers);
                                }
                            };
            fixture.start();
            clockStepMillis.set(-NANOS_PER_HOUR / Clock.NANOS_PER_MILLISECOND);
            long bootMillis = System.currentTimeMillis() + clockStepMillis.get();
            EndpointList endpointList =
                    EndpointList.parse(
                            Json.parse(
                                    ("{\"rev\":8,\"all\":false,\"targets\":["
                                                    + NodeTestFixture.target(
                                                                    "s-new", "127.0.0.1:1", "Ready")
                                                            .replace(
                                                                    "\"boot_ms\":0",
                                                                    "\"boot_ms\":" + bootMillis)
                                                    + "]}")
                                            .getBytes()),
                            fixture.deploymentSettings());
            fixture.loop
                    .submit(
                            () ->
                                    fixture.node.onEndpointList(
                                            EndpointUpdateMode.DELTA, endpointList.endpoints()))
                    .get();
            long ageNanos = Clock.now() - reportedServers.take().startedAtNanos();
            assertTrue(
                    ageNanos >= 0 && ageNanos < 10 * NANOS_PER_SECOND,
                    "started " + ageNanos / Clock.NANOS_PER_MILLISECOND + " ms ago");
        }
    }

    @Test
    void serversNoLongerListedAreForgotten() {
        startTimes.onEndpointList(START_NANOS, START_WALL_CLOCK_NANOS);
        startTimes.toLocalStart(1, START_WALL_CLOCK_NANOS - 5 * NANOS_PER_SECOND);
        startTimes.retainOnly(Set.of(2L));
        startTimes.onEndpointList(
                START_NANOS + NANOS_PER_SECOND,
                START_WALL_CLOCK_NANOS + NANOS_PER_SECOND + NANOS_PER_HOUR);
        assertEquals(
                START_NANOS,
                startTimes.toLocalStart(1, START_WALL_CLOCK_NANOS - 5 * NANOS_PER_SECOND),
                "treated as first reported after the step");
    }
}
