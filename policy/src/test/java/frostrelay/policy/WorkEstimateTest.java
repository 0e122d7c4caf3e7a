package frostrelay.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Guards against hints that make a heavy request look ordinary, or ordinary ones free. */
class WorkEstimateTest {
    private static final long WORK_NANOS = 80_000_000;
    private static final long HOUR_NANOS = 3_600_000_000_000L;

    private static WorkEstimate afterRequests(int count) {
        WorkEstimate estimate = new WorkEstimate();
        for (int i = 0; i < count; i++) {
            estimate.record(WORK_NANOS);
        }
        return estimate;
    }

    @Test
    void aRequestWithoutAHintIsTypical() {
        assertEquals(1, new WorkEstimate().record(0));
        assertEquals(1, afterRequests(100).record(0));
    }

    @Test
    void aHeavyRequestIsRecognizedFromTheSecondRequestOn() {
        for (int before : new int[] {1, 5, 100}) {
            double cost = afterRequests(before).record(27 * WORK_NANOS);
            assertTrue(cost > 13, "cost after " + before + " requests: " + cost);
        }
        WorkEstimate firstWasHeavy = new WorkEstimate();
        firstWasHeavy.record(27 * WORK_NANOS);
        assertTrue(firstWasHeavy.record(WORK_NANOS) >= 0.5);
        assertTrue(firstWasHeavy.record(27 * WORK_NANOS) > 13);
    }

    @Test
    void wrongHintsHardlyChangeTheTypicalWork() {
        WorkEstimate estimate = afterRequests(100);
        estimate.record(HOUR_NANOS);
        assertEquals(1, estimate.record(WORK_NANOS), 0.1);
        estimate.record(1);
        estimate.record(1);
        assertEquals(1, estimate.record(WORK_NANOS), 0.1);
        assertTrue(estimate.record(1) > 0.2, "no request is free");
    }
}
