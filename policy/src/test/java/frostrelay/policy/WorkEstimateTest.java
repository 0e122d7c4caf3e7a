package frostrelay.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

import java.util.Random;

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
            assertTrue(
                    cost > WorkEstimate.MAX_ORDINARY_COST,
                    "cost after " + before + " requests: " + cost);
        }
        WorkEstimate firstWasHeavy = new WorkEstimate();
        firstWasHeavy.record(27 * WORK_NANOS);
        assertTrue(firstWasHeavy.record(WORK_NANOS) >= 0.5);
        assertTrue(firstWasHeavy.record(27 * WORK_NANOS) > WorkEstimate.MAX_ORDINARY_COST);
    }

    /**
     * Guards against cold servers that get too little: an overestimated cost takes their share of
     * ordinary requests.
     */
    @Test
    void ordinaryRequestsCostOneOnAverageAlsoBesideHeavyOnes() {
        Random random = new Random(7);
        WorkEstimate estimate = new WorkEstimate();
        double sum = 0;
        int count = 0;
        for (int i = 0; i < 20_000; i++) {
            boolean isHeavy = random.nextDouble() < 0.023;
            double work = WORK_NANOS * -Math.log(1 - random.nextDouble()) * (isHeavy ? 27 : 1);
            double cost = estimate.record((long) work + 1);
            if (!isHeavy) {
                sum += cost;
                count++;
            }
        }
        assertEquals(1, sum / count, 0.15);
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
