package frostrelay.lifecycle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import frostrelay.lifecycle.ActionGuard.Send;
import frostrelay.lifecycle.ActionGuard.Verdict;

import org.junit.jupiter.api.Test;

/** Each thing that forbids an act does so by itself, from its moment on. */
class ActionGuardTest {
    private static final long MS = 1_000_000L;
    private static final long NEVER = ActionGuard.NEVER;
    private final ActionGuard guard = new ActionGuard();

    private static Send send(
            long unseenSince, long cutAt, long answerBy, long serverUntil, long repeatUntil) {
        return new Send(false, unseenSince, cutAt, answerBy, serverUntil, repeatUntil);
    }

    @Test
    void anAttemptIsWrittenOnlyWhileAllAllowIt() {
        assertEquals(Verdict.ALLOWED, guard.maySend(0, send(NEVER, 1, 1, 1, 1)));
        assertEquals(
                Verdict.REQUEST_OVER,
                guard.maySend(0, new Send(true, NEVER, NEVER, NEVER, NEVER, NEVER)));
        assertEquals(Verdict.ALLOWED, guard.maySend(75 * MS, send(0, NEVER, NEVER, NEVER, NEVER)));
        assertEquals(
                Verdict.CLIENT_UNSEEN, guard.maySend(76 * MS, send(0, NEVER, NEVER, NEVER, NEVER)));
        assertEquals(Verdict.TIME_UP, guard.maySend(1, send(NEVER, 1, NEVER, NEVER, NEVER)));
        assertEquals(Verdict.TIME_UP, guard.maySend(1, send(NEVER, NEVER, 1, NEVER, NEVER)));
        assertEquals(Verdict.SERVER_LEFT, guard.maySend(1, send(NEVER, NEVER, NEVER, 1, NEVER)));
        assertEquals(Verdict.MAY_HAVE_RUN, guard.maySend(1, send(NEVER, NEVER, NEVER, NEVER, 1)));
    }

    @Test
    void aServerIsToldLessThanTheClientHasLeft() {
        assertEquals(1_940 * MS, guard.tellableWait(1_000 * MS, 3_000 * MS, 3_000 * MS));
        assertEquals(
                140 * MS,
                guard.tellableWait(0, 160 * MS, 160 * MS),
                "of a short wait an eighth is taken off");
        assertEquals(
                500 * MS,
                guard.tellableWait(0, 500 * MS, 3_000 * MS),
                "an attempt that is cut earlier is waited for until then");
    }

    @Test
    void aShutdownCutsWhatIsPromisedAndNothingEndsIt() {
        assertEquals(9_000 * MS, guard.answerBy(0, 9_000 * MS));
        guard.follow(DrainSchedule.forDrain(0));
        assertEquals(
                9_000 * MS, guard.answerBy(0, 9_000 * MS), "a drain leaves the process running");
        DrainSchedule shutdown = DrainSchedule.forShutdown(0, 1_000 * MS);
        guard.follow(shutdown);
        assertEquals(shutdown.answerUntil(), guard.answerBy(0, 9_000 * MS));
        assertEquals(100 * MS, guard.answerBy(0, 100 * MS));
        guard.follow(null);
        guard.follow(DrainSchedule.forDrain(0));
        assertTrue(guard.isShuttingDown());
        assertTrue(guard.mayAccept(shutdown.acceptUntil() - 1));
        assertFalse(guard.mayAccept(shutdown.acceptUntil()));
    }

    @Test
    void aQuietConnectionIsClosedWhenNothingIsOnItsWay() {
        assertFalse(guard.mayCloseQuiet(NEVER - 1, true, 0, false), "clients are welcome");
        DrainSchedule shutdown = DrainSchedule.forShutdown(0, 3_000 * MS);
        guard.follow(shutdown);
        long idle = shutdown.idleUntil();
        assertFalse(guard.mayCloseQuiet(idle - 1, true, 0, false));
        assertTrue(guard.mayCloseQuiet(idle, true, 0, false));
        assertFalse(guard.mayCloseQuiet(idle, true, 0, true), "a request has come in part");
        assertFalse(
                guard.mayCloseQuiet(idle, false, idle - 299 * MS, false),
                "its first request is on its way");
        assertTrue(guard.mayCloseQuiet(idle, false, idle - 300 * MS, false));
        assertTrue(
                guard.mayCloseQuiet(shutdown.answerUntil(), false, shutdown.answerUntil(), true),
                "the end");
    }
}
