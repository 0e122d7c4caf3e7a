package frostrelay.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import frostrelay.policy.api.AttemptOutcome;
import frostrelay.policy.api.AttemptResult;
import frostrelay.policy.api.EndpointState;
import frostrelay.policy.api.Request;
import frostrelay.policy.api.ResponseSource;
import frostrelay.policy.api.RetryBudget;
import frostrelay.policy.api.Server;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/** Checks the module's invariants for random event sequences, with an independent ledger. */
class PolicyInvariantsTest {
    private static final AttemptResult[] OUTCOMES = {
        AttemptResult.ERROR,
        AttemptResult.REJECTED,
        AttemptResult.TIMEOUT,
        AttemptResult.CONNECT_FAILED,
        AttemptResult.RESET,
        AttemptResult.MISS,
        AttemptResult.OK,
        AttemptResult.OK,
        AttemptResult.OK
    };

    /** The ledger's record of one request. */
    private static final class Entry {
        final int requestClass;
        final long key;
        final long deadlineNanos;
        int sendCount;
        int misses;
        final List<Integer> pendingAttempts = new ArrayList<>();
        boolean isAnswered;
        boolean mayHaveRun;
        long firstMayHaveRunAtNanos = -1;

        Entry(int requestClass, long key, long deadline) {
            this.requestClass = requestClass;
            this.key = key;
            this.deadlineNanos = deadline;
        }
    }

    private final Map<Long, Entry> ledger = new HashMap<>();

    /** Incomplete requests by serialized key, oldest first, and the end of the key's quarantine. */
    private final Map<Long, List<Long>> queuesByKey = new HashMap<>();

    private final Map<Long, Long> quarantinedUntil = new HashMap<>();

    private final List<Long> requestTimes = new ArrayList<>();

    private final List<Long> retryTimes = new ArrayList<>();

    private final Set<Long> listed = new HashSet<>();

    private final Set<Long> warmingUp = new HashSet<>();

    private int sendsSeen;

    private int rejectionsSeen;

    private int failuresSeen;

    private int sendsToWarmingUp;

    private int allSends;

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
    void invariantsHold(long seed) {
        Random random = new Random(seed);
        PolicyTestFixture.SettingsBuilder builder = new PolicyTestFixture.SettingsBuilder();
        builder.lookAside = seed % 2 == 0;
        builder.hedgingAllowed = seed % 3 != 0;
        builder.latePriorityWeight = seed % 4 == 0 ? 0.5 : 0;
        builder.serializedByKey = seed % 5 != 0;
        builder.retryBudget =
                seed % 3 != 1
                        ? new RetryBudget(2, 0.1, 500 * PolicyTestFixture.NANOS_PER_MILLI)
                        : null;
        PolicyTestFixture fixture = new PolicyTestFixture(builder, seed);
        updateEndpoints(fixture, random);
        for (long id = 1; id <= 3000; id++) {
            fixture.advanceMillis(random.nextInt(4));
            int requestClass =
                    random.nextInt(10) < 8 ? PolicyTestFixture.READ : 1 + random.nextInt(2);
            long deadline =
                    fixture.now + (500 + random.nextInt(1500)) * PolicyTestFixture.NANOS_PER_MILLI;
            long key = 1 + random.nextInt(requestClass == PolicyTestFixture.KEYED_WRITE ? 8 : 200);
            ledger.put(id, new Entry(requestClass, key, deadline));
            requestTimes.add(fixture.now);
            if (requestClass == PolicyTestFixture.KEYED_WRITE) {
                queuesByKey.computeIfAbsent(key, k -> new ArrayList<>()).add(id);
            }
            fixture.router.onRequest(
                    fixture.now,
                    new Request(
                            id,
                            requestClass,
                            0,
                            key,
                            deadline,
                            0,
                            false,
                            requestClass != PolicyTestFixture.READ));
            checkActions(fixture);
            completeSome(fixture, random);
            if (random.nextInt(100) == 0) {
                updateEndpoints(fixture, random);
            }
        }
        completeAll(fixture);
        for (Map.Entry<Long, Entry> entry : ledger.entrySet()) {
            assertTrue(entry.getValue().isAnswered, "unanswered: " + entry.getKey());
        }
        assertTrue(
                sendsToWarmingUp <= allSends / 4 + 4,
                "sends to servers in slow start: " + sendsToWarmingUp + " of " + allSends);
    }

    /** Applies a full list in which some servers drain, are missing or have just started. */
    private void updateEndpoints(PolicyTestFixture fixture, Random random) {
        List<Server> list = new ArrayList<>();
        listed.clear();
        for (long id = 1; id <= 10; id++) {
            int dice = random.nextInt(10);
            if (dice == 0) {
                list.add(PolicyTestFixture.server(id, EndpointState.DRAINING, 0));
            } else if (dice > 1) {
                boolean isStarting = dice == 2;
                list.add(
                        PolicyTestFixture.server(
                                id, EndpointState.READY, isStarting ? fixture.now : 0));
                listed.add(id);
                if (isStarting) {
                    warmingUp.add(id);
                } else {
                    warmingUp.remove(id);
                }
            }
        }
        if (fixture.settings.lookAside()) {
            list.add(PolicyTestFixture.origin(99));
            listed.add(99L);
        }
        fixture.updateEndpoints(list);
    }

    /** Completes the attempts that are due, and random other ones if there is a random source. */
    private void completeSome(PolicyTestFixture fixture, Random random) {
        for (long id : new ArrayList<>(ledger.keySet())) {
            Entry entry = ledger.get(id);
            if (fixture.now >= entry.deadlineNanos) {
                while (!entry.pendingAttempts.isEmpty()) {
                    complete(fixture, id, entry.pendingAttempts.get(0), AttemptResult.TIMEOUT);
                }
            } else if (random != null
                    && !entry.pendingAttempts.isEmpty()
                    && random.nextInt(12) == 0) {
                int attempt =
                        entry.pendingAttempts.get(random.nextInt(entry.pendingAttempts.size()));
                complete(
                        fixture,
                        id,
                        attempt,
                        entry.isAnswered
                                ? AttemptResult.CANCELLED
                                : OUTCOMES[random.nextInt(OUTCOMES.length)]);
            } else if (random != null && !entry.isAnswered && random.nextInt(400) == 0) {
                entry.isAnswered = true;
                removeFromQueue(id, entry);
                fixture.router.onClientDisconnect(fixture.now, id);
                checkActions(fixture);
            }
            if (entry.isAnswered && entry.pendingAttempts.isEmpty()) {
                ledger.remove(id);
            }
        }
    }

    private void completeAll(PolicyTestFixture fixture) {
        for (int i = 0; i < 400; i++) {
            fixture.advanceMillis(10);
            checkActions(fixture);
            completeSome(fixture, null);
        }
    }

    private void complete(PolicyTestFixture fixture, long id, int attempt, AttemptResult reason) {
        Entry entry = ledger.get(id);
        entry.pendingAttempts.remove((Integer) attempt);
        entry.misses += reason == AttemptResult.MISS ? 1 : 0;
        if (reason.mayStillRun() && entry.requestClass == PolicyTestFixture.KEYED_WRITE) {
            quarantinedUntil.put(entry.key, fixture.now + fixture.settings.keyQuarantineNanos());
        }
        boolean closes = !entry.isAnswered && reason == AttemptResult.OK;
        entry.isAnswered |= closes;
        entry.mayHaveRun |= !reason.neverRan;
        removeFromQueue(id, entry);
        if (entry.pendingAttempts.isEmpty() && !entry.mayHaveRun) {
            entry.firstMayHaveRunAtNanos = -1;
        }
        fixture.router.onAttemptOutcome(
                fixture.now,
                new AttemptOutcome(
                        id,
                        attempt,
                        reason,
                        0,
                        entry.isAnswered,
                        ResponseSource.UNKNOWN,
                        new float[0]));
        checkActions(fixture);
    }

    private void removeFromQueue(long id, Entry entry) {
        if (entry.requestClass == PolicyTestFixture.KEYED_WRITE
                && entry.isAnswered
                && entry.pendingAttempts.isEmpty()) {
            queuesByKey.get(entry.key).remove(id);
        }
    }

    /** Checks serialization by key and the retry budget. */
    private void checkOrderAndRetryBudget(
            PolicyTestFixture fixture, PolicyTestFixture.Sent sent, Entry entry) {
        if (fixture.settings.classes().get(entry.requestClass).serializedByKey()) {
            assertEquals(
                    sent.request(),
                    queuesByKey.get(entry.key).get(0),
                    "sent out of order: " + sent);
            boolean isQuarantineOver =
                    sent.sentAtNanos() >= quarantinedUntil.getOrDefault(entry.key, 0L);
            assertTrue(
                    isQuarantineOver || sent.attempt() > 0,
                    "sent during the key's quarantine: " + sent);
        }
        RetryBudget budget = fixture.settings.retryBudget();
        if (entry.sendCount++ == 0 || budget == null) {
            return;
        }
        if (entry.misses > 0) {
            entry.misses--;
        } else {
            retryTimes.add(sent.sentAtNanos());
            long from = sent.sentAtNanos() - budget.windowNanos();
            double allowed =
                    budget.minRetries()
                            + budget.retryRatio()
                                    * requestTimes.stream().filter(t -> t > from).count();
            long retries = retryTimes.stream().filter(t -> t >= from).count();
            assertTrue(
                    retries <= allowed,
                    "over the retry budget: " + sent + ", " + retries + " of " + allowed);
        }
    }

    /** Checks all actions since the last call. */
    private void checkActions(PolicyTestFixture fixture) {
        for (; rejectionsSeen < fixture.rejections.size(); rejectionsSeen++) {
            Entry entry = ledger.get(fixture.rejections.get(rejectionsSeen).request());
            assertTrue(
                    entry.requestClass != PolicyTestFixture.UNSAFE_WRITE
                            || entry.firstMayHaveRunAtNanos < 0,
                    "rejected although a retry is unsafe");
            recordFinalAnswer(fixture, entry);
            removeFromQueue(fixture.rejections.get(rejectionsSeen).request(), entry);
        }
        for (; failuresSeen < fixture.failures.size(); failuresSeen++) {
            recordFinalAnswer(fixture, ledger.get(fixture.failures.get(failuresSeen)));
            removeFromQueue(
                    fixture.failures.get(failuresSeen),
                    ledger.get(fixture.failures.get(failuresSeen)));
        }
        for (; sendsSeen < fixture.sends.size(); sendsSeen++) {
            PolicyTestFixture.Sent sent = fixture.sends.get(sendsSeen);
            Entry entry = ledger.get(sent.request());
            assertTrue(entry != null && !entry.isAnswered, "sent after the final answer: " + sent);
            assertTrue(
                    listed.contains(sent.server()),
                    "sent to a draining or removed server: " + sent);
            assertTrue(
                    fixture.settings.hedgingAllowed() || entry.pendingAttempts.isEmpty(),
                    "concurrent attempts: " + sent);
            assertTrue(
                    sent.abandonAtNanos() <= entry.deadlineNanos,
                    "may run after the deadline: " + sent);
            assertTrue(
                    sent.attempt() < fixture.settings.maxAttempts(), "too many attempts: " + sent);
            if (entry.firstMayHaveRunAtNanos >= 0 && entry.requestClass != PolicyTestFixture.READ) {
                assertFalse(
                        entry.requestClass == PolicyTestFixture.UNSAFE_WRITE,
                        "unsafe second execution: " + sent);
                assertTrue(
                        fixture.now - entry.firstMayHaveRunAtNanos
                                <= 500 * PolicyTestFixture.NANOS_PER_MILLI,
                        "sent after the deduplication window: " + sent);
            }
            entry.firstMayHaveRunAtNanos =
                    entry.firstMayHaveRunAtNanos < 0 ? fixture.now : entry.firstMayHaveRunAtNanos;
            checkOrderAndRetryBudget(fixture, sent, entry);
            entry.pendingAttempts.add(sent.attempt());
            allSends++;
            sendsToWarmingUp += warmingUp.contains(sent.server()) ? 1 : 0;
        }
    }

    private static void recordFinalAnswer(PolicyTestFixture fixture, Entry entry) {
        assertFalse(entry.isAnswered, "two final answers");
        assertTrue(
                fixture.now <= entry.deadlineNanos + 20 * PolicyTestFixture.NANOS_PER_MILLI,
                "final answer too late");
        entry.isAnswered = true;
    }

    /** The same events and seed must produce the same actions. */
    @ParameterizedTest
    @ValueSource(longs = {21, 22})
    void equalEventsProduceEqualActions(long seed) {
        assertEquals(run(seed).toString(), run(seed).toString());
    }

    private static List<PolicyTestFixture.Sent> run(long seed) {
        PolicyTestFixture fixture =
                new PolicyTestFixture(new PolicyTestFixture.SettingsBuilder(), seed).servers(12);
        Random random = new Random(seed);
        for (int id = 0; id < 2000; id++) {
            fixture.request(id, random.nextInt(3), random.nextInt(100));
            fixture.advanceMillis(random.nextInt(5));
            fixture.outcome(
                    random.nextInt(id + 1),
                    random.nextInt(2),
                    OUTCOMES[random.nextInt(OUTCOMES.length)]);
        }
        return fixture.sends;
    }
}
