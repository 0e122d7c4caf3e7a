package frostrelay.node.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import frostrelay.node.metrics.CloseReason;
import frostrelay.node.time.Clock;

import org.junit.jupiter.api.Test;

/** A connection that is about to end as idle waits for a command that has arrived in part. */
class ConnectionTimeoutsTest {
    /** Guards against a head that is being written when its connection ends as idle. */
    @Test
    void aPartOfACommandIsWaitedForBeyondTheIdleTimeout() {
        ConnectionTimeouts timeouts = new ConnectionTimeouts();
        long idleAtNanos = timeouts.stateSinceNanos() + 20_100 * Clock.NANOS_PER_MILLISECOND;
        assertEquals(CloseReason.IDLE, timeouts.expiredTimeout(idleAtNanos, true));
        timeouts.setPartialCommand(idleAtNanos - Clock.NANOS_PER_SECOND, true);
        assertNull(timeouts.expiredTimeout(idleAtNanos, true));
        long stoppedNanos = idleAtNanos + 2 * Clock.NANOS_PER_SECOND;
        assertEquals(CloseReason.INCOMPLETE_COMMAND, timeouts.expiredTimeout(stoppedNanos, true));
    }
}
