package frostrelay.node.lifecycle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import frostrelay.node.lifecycle.ActionGuard.PendingSend;
import frostrelay.node.lifecycle.ActionGuard.SendDecision;

import org.junit.jupiter.api.Test;

/** Tests that each condition alone prevents an action from its time on. */
class ActionGuardTest {
    private static final long NANOS_PER_MILLISECOND = 1_000_000L;
    private static final long NEVER = ActionGuard.NEVER;
    private final ActionGuard guard = new ActionGuard();

    private static PendingSend pendingSend(
            long unobservedSince,
            long attemptDeadline,
            long requestDeadline,
            long serverUsableUntil,
            long retryUntil) {
        return new PendingSend(
                false,
                unobservedSince,
                attemptDeadline,
                requestDeadline,
                serverUsableUntil,
                retryUntil);
    }

    @Test
    void attemptIsAllowedOnlyIfNoConditionPreventsIt() {
        assertEquals(SendDecision.ALLOWED, guard.checkSend(0, pendingSend(NEVER, 1, 1, 1, 1)));
        assertEquals(
                SendDecision.REQUEST_OVER,
                guard.checkSend(0, new PendingSend(true, NEVER, NEVER, NEVER, NEVER, NEVER)));
        assertEquals(
                SendDecision.ALLOWED,
                guard.checkSend(
                        75 * NANOS_PER_MILLISECOND, pendingSend(0, NEVER, NEVER, NEVER, NEVER)));
        assertEquals(
                SendDecision.CLIENT_UNOBSERVED,
                guard.checkSend(
                        76 * NANOS_PER_MILLISECOND, pendingSend(0, NEVER, NEVER, NEVER, NEVER)));
        assertEquals(
                SendDecision.TIME_UP,
                guard.checkSend(1, pendingSend(NEVER, 1, NEVER, NEVER, NEVER)));
        assertEquals(
                SendDecision.TIME_UP,
                guard.checkSend(1, pendingSend(NEVER, NEVER, 1, NEVER, NEVER)));
        assertEquals(
                SendDecision.SERVER_UNAVAILABLE,
                guard.checkSend(1, pendingSend(NEVER, NEVER, NEVER, 1, NEVER)));
        assertEquals(
                SendDecision.MAY_HAVE_RUN,
                guard.checkSend(1, pendingSend(NEVER, NEVER, NEVER, NEVER, 1)));
    }

    @Test
    void forwardedTimeoutIsShorterThanTheRemainingTimeOfTheClient() {
        assertEquals(
                1_940 * NANOS_PER_MILLISECOND,
                guard.forwardedTimeoutNanos(
                        1_000 * NANOS_PER_MILLISECOND,
                        3_000 * NANOS_PER_MILLISECOND,
                        3_000 * NANOS_PER_MILLISECOND));
        assertEquals(
                140 * NANOS_PER_MILLISECOND,
                guard.forwardedTimeoutNanos(
                        0, 160 * NANOS_PER_MILLISECOND, 160 * NANOS_PER_MILLISECOND),
                "an eighth is subtracted from a short timeout");
        assertEquals(
                500 * NANOS_PER_MILLISECOND,
                guard.forwardedTimeoutNanos(
                        0, 500 * NANOS_PER_MILLISECOND, 3_000 * NANOS_PER_MILLISECOND),
                "the timeout of the attempt is forwarded if it is earlier");
    }

    @Test
    void shutdownShortensDeadlinesAndCannotBeReverted() {
        assertEquals(
                9_000 * NANOS_PER_MILLISECOND,
                guard.requestDeadlineNanos(0, 9_000 * NANOS_PER_MILLISECOND));
        guard.setSchedule(DrainSchedule.forDrain(0));
        assertEquals(
                9_000 * NANOS_PER_MILLISECOND,
                guard.requestDeadlineNanos(0, 9_000 * NANOS_PER_MILLISECOND),
                "a drain does not end the process and shortens no deadline");
        DrainSchedule shutdown = DrainSchedule.forShutdown(0, 1_000 * NANOS_PER_MILLISECOND);
        guard.setSchedule(shutdown);
        assertEquals(
                shutdown.answerUntilNanos(),
                guard.requestDeadlineNanos(0, 9_000 * NANOS_PER_MILLISECOND));
        assertEquals(
                100 * NANOS_PER_MILLISECOND,
                guard.requestDeadlineNanos(0, 100 * NANOS_PER_MILLISECOND));
        guard.setSchedule(null);
        guard.setSchedule(DrainSchedule.forDrain(0));
        assertTrue(guard.isShuttingDown());
        assertTrue(guard.mayAccept(shutdown.acceptUntilNanos() - 1));
        assertFalse(guard.mayAccept(shutdown.acceptUntilNanos()));
    }

    @Test
    void idleConnectionIsClosedOnlyIfNoRequestIsInTransit() {
        assertFalse(guard.mayCloseIdle(NEVER - 1, true, 0, false), "not closed while serving");
        DrainSchedule shutdown = DrainSchedule.forShutdown(0, 3_000 * NANOS_PER_MILLISECOND);
        guard.setSchedule(shutdown);
        long idleUntil = shutdown.idleUntilNanos();
        assertFalse(guard.mayCloseIdle(idleUntil - 1, true, 0, false));
        assertTrue(guard.mayCloseIdle(idleUntil, true, 0, false));
        assertFalse(guard.mayCloseIdle(idleUntil, true, 0, true), "part of a request was received");
        assertFalse(
                guard.mayCloseIdle(
                        idleUntil, false, idleUntil - 299 * NANOS_PER_MILLISECOND, false),
                "the first request may be in transit");
        assertTrue(
                guard.mayCloseIdle(
                        idleUntil, false, idleUntil - 300 * NANOS_PER_MILLISECOND, false));
        assertTrue(
                guard.mayCloseIdle(
                        shutdown.answerUntilNanos(), false, shutdown.answerUntilNanos(), true),
                "every connection may be closed when all answers are due");
    }
}
