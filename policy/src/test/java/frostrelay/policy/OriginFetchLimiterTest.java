package frostrelay.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import frostrelay.policy.api.AttemptResult;
import frostrelay.policy.api.ResponseSource;

import org.junit.jupiter.api.Test;

/** Limits on requests to an origin that fails or is late. */
class OriginFetchLimiterTest {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    private static double admittedFraction(OriginFetchLimiter limiter) {
        int admitted = 0;
        for (int i = 0; i < 1_000; i++) {
            admitted += limiter.admits(false, i / 1_000.0) ? 1 : 0;
        }
        return admitted / 1_000.0;
    }

    private static TrackedServer server(int number) {
        return new TrackedServer(number);
    }

    /** Returns a limiter with enough reads to use its table of keys, which a new one ignores. */
    private static OriginFetchLimiter limiterWithHistory() {
        OriginFetchLimiter limiter = new OriginFetchLimiter();
        for (int key = 1; key <= 1_000; key++) {
            limiter.onReadCompleted(
                    0, 1_000_000 + key, server(0), false, ResponseSource.UNKNOWN, false);
        }
        return limiter;
    }

    @Test
    void failuresAtManyServersLowerTheFractionToAMinimumAndSuccessesRaiseIt() {
        OriginFetchLimiter limiter = limiterWithHistory();
        assertFalse(limiter.isFailing());
        for (int i = 1; i <= 50; i++) {
            limiter.onReadCompleted(i, i, server(i), true, ResponseSource.UNKNOWN, false);
        }
        assertTrue(limiter.isFailing());
        assertEquals(
                0.1,
                admittedFraction(limiter),
                0.002,
                "some fetches stay admitted, so that recovery is detected");
        assertTrue(limiter.admits(true, 0.3), "writes are rejected last");
        for (int key = 100; key < 125; key++) {
            limiter.onReadCompleted(key, key, server(key), false, ResponseSource.UNKNOWN, false);
        }
        assertFalse(limiter.isFailing());
    }

    /** Failed reads at one server must not lead to rejected writes. */
    @Test
    void failureAtOneServerRejectsNothing() {
        OriginFetchLimiter limiter = limiterWithHistory();
        limiter.onReadCompleted(1, 1, server(1), true, ResponseSource.UNKNOWN, false);
        assertTrue(limiter.admits(true, 0.999));
        limiter.onReadCompleted(2, 2, server(2), true, ResponseSource.UNKNOWN, false);
        assertFalse(limiter.admits(true, 0.999), "failures at two servers");
    }

    @Test
    void oneServerThatAlwaysFailsDoesNotLowerTheFraction() {
        OriginFetchLimiter limiter = limiterWithHistory();
        TrackedServer failingServer = server(1);
        for (int i = 0; i < 2_000; i++) {
            limiter.onReadCompleted(
                    i * NANOS_PER_SECOND / 50,
                    7 + i,
                    failingServer,
                    true,
                    ResponseSource.UNKNOWN,
                    false);
            limiter.onReadCompleted(
                    i * NANOS_PER_SECOND / 50 + 1,
                    10_000 + i,
                    server(2),
                    false,
                    ResponseSource.UNKNOWN,
                    false);
            assertTrue(limiter.admits(false, 0.999), "after fetch " + i);
        }
    }

    @Test
    void readsOfCachedKeysDoNotChangeTheFraction() {
        OriginFetchLimiter limiter = limiterWithHistory();
        for (int i = 0; i < 3; i++) {
            limiter.onReadCompleted(i, 50_001, server(i), true, ResponseSource.UNKNOWN, false);
        }
        limiter.onReadCompleted(3, 50_001, server(0), false, ResponseSource.UNKNOWN, false);
        double before = admittedFraction(limiter);
        for (int i = 0; i < 100; i++) {
            limiter.onReadCompleted(
                    1_000 + i, 50_001, server(0), false, ResponseSource.UNKNOWN, false);
        }
        assertEquals(before, admittedFraction(limiter), "reads of a cached key");
        assertTrue(limiter.mayBeCached(2_000, 50_001));
        assertFalse(limiter.mayBeCached(60 * NANOS_PER_SECOND, 50_001), "cached values expire");
        limiter.onWriteCompleted(50_001, false);
        assertFalse(limiter.mayBeCached(2_000, 50_001), "a write invalidates cached values");
        assertFalse(limiter.mayBeCached(2_000, 0), "a request without a key is not cached");
    }

    private static OriginFetchLimiter limiterAfterReads(ResponseSource source, boolean slowHits) {
        OriginFetchLimiter limiter = limiterWithHistory();
        TrackedServer server = server(1);
        for (int key = 1; key <= 200; key++) {
            limiter.onReadCompleted(
                    key, 50_001, server, false, ResponseSource.CACHE, slowHits && key % 4 == 0);
        }
        for (int key = 1; key <= 50; key++) {
            limiter.onReadCompleted(1_000 + key, key, server, false, source, true);
        }
        return limiter;
    }

    /**
     * A queue at the origin can make every fetch late without any failure, and it persists unless
     * late fetches lower the admitted fraction. Seen with 200 caches.
     */
    @Test
    void lateFetchesLowerTheFractionIfHitsAreTimelyAndTheSourceIsReported() {
        OriginFetchLimiter limiter = limiterAfterReads(ResponseSource.ORIGIN, false);
        assertEquals(0.1, admittedFraction(limiter), 0.002);
        for (int key = 1; key <= 25; key++) {
            limiter.onReadCompleted(
                    2_000 + key, 60_000 + key, server(1), false, ResponseSource.ORIGIN, false);
        }
        assertEquals(1, admittedFraction(limiter), "timely fetches raise the fraction");
        assertEquals(
                1,
                admittedFraction(limiterAfterReads(ResponseSource.ORIGIN, true)),
                "hits at the cache are slow too");
        assertEquals(
                1,
                admittedFraction(limiterAfterReads(ResponseSource.CACHE, false)),
                "late hits are not origin fetches");
        assertEquals(
                1,
                admittedFraction(limiterAfterReads(ResponseSource.UNKNOWN, false)),
                "the cache does not report the source");
    }

    /**
     * Tests the complete module: while fetches fail, reads of cached keys are forwarded and most
     * others are rejected.
     */
    @Test
    void whileOriginFetchesFailCachedKeysAreServedAndOthersMostlyRejected() {
        PolicyTestFixture fixture =
                new PolicyTestFixture(new PolicyTestFixture.SettingsBuilder()).servers(8);
        long id = 0;
        for (int key = 1; key <= 1_000; key++) {
            fixture.request(++id, PolicyTestFixture.READ, 1 + key % 40);
            fixture.outcome(id, 0, AttemptResult.OK);
        }
        for (int key = 1_000; key < 1_060; key++) {
            fixture.request(++id, PolicyTestFixture.READ, key);
            for (int attempt = 0; attempt < 2 && !fixture.isRejected(id); attempt++) {
                fixture.outcome(id, attempt, AttemptResult.ERROR);
            }
        }
        int cachedSends = 0;
        int uncachedSends = 0;
        for (int key = 1; key <= 40; key++) {
            int before = fixture.sends.size();
            fixture.request(++id, PolicyTestFixture.READ, key);
            cachedSends += fixture.sends.size() - before;
            before = fixture.sends.size();
            fixture.request(++id, PolicyTestFixture.READ, 5_000 + key);
            uncachedSends += fixture.sends.size() - before;
        }
        assertTrue(
                cachedSends >= 38,
                "sends of 40 for cached keys, less collisions in the table of keys: "
                        + cachedSends);
        assertTrue(uncachedSends < 20, "sends of 40 for uncached keys: " + uncachedSends);
    }
}
