package frostrelay.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import frostrelay.policy.api.AttemptOutcome;
import frostrelay.policy.api.AttemptResult;
import frostrelay.policy.api.EndpointState;
import frostrelay.policy.api.EndpointUpdateMode;
import frostrelay.policy.api.Idempotency;
import frostrelay.policy.api.PolicySettings;
import frostrelay.policy.api.Request;
import frostrelay.policy.api.ResponseSource;
import frostrelay.policy.api.RetryBudget;
import frostrelay.policy.api.Server;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/** Random event sequences against all six rules, judged by a ledger of its own. */
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

    /** What the ledger knows of a request. */
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

    /**
     * Keys in order: the requests taken and not over, oldest first, and when the key's rest ends.
     */
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
    void theInvariantsHold(long seed) {
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
                "cold hosts got " + sendsToWarmingUp + " of " + allSends);
    }

    /** A new full list: some hosts drain, some are missing, some have just started. */
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

    /** Ends what is due, and some more if there is a source of chance. */
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

    /** The fifth and the sixth rule. */
    private void checkOrderAndRetryBudget(
            PolicyTestFixture fixture, PolicyTestFixture.Sent sent, Entry entry) {
        if (fixture.settings.classes().get(entry.requestClass).serializedByKey()) {
            assertEquals(sent.request(), queuesByKey.get(entry.key).get(0), "out of turn: " + sent);
            boolean isQuarantineOver =
                    sent.sentAtNanos() >= quarantinedUntil.getOrDefault(entry.key, 0L);
            assertTrue(isQuarantineOver || sent.attempt() > 0, "the key rests: " + sent);
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
                    "beyond the budget: " + sent + ", " + retries + " of " + allowed);
        }
    }

    /** Judges all actions since the last call. */
    private void checkActions(PolicyTestFixture fixture) {
        for (; rejectionsSeen < fixture.rejections.size(); rejectionsSeen++) {
            Entry entry = ledger.get(fixture.rejections.get(rejectionsSeen).request());
            assertTrue(
                    entry.requestClass != PolicyTestFixture.UNSAFE_WRITE
                            || entry.firstMayHaveRunAtNanos < 0,
                    "an unsafe refusal");
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
            assertTrue(entry != null && !entry.isAnswered, "sent after the end: " + sent);
            assertTrue(
                    listed.contains(sent.server()),
                    "sent to a host that drains or is gone: " + sent);
            assertTrue(
                    fixture.settings.hedgingAllowed() || entry.pendingAttempts.isEmpty(),
                    "two at once: " + sent);
            assertTrue(
                    sent.abandonAtNanos() <= entry.deadlineNanos,
                    "runs past the deadline: " + sent);
            assertTrue(
                    sent.attempt() < fixture.settings.maxAttempts(), "too many attempts: " + sent);
            if (entry.firstMayHaveRunAtNanos >= 0 && entry.requestClass != PolicyTestFixture.READ) {
                assertFalse(
                        entry.requestClass == PolicyTestFixture.UNSAFE_WRITE,
                        "an unsafe repeat: " + sent);
                assertTrue(
                        fixture.now - entry.firstMayHaveRunAtNanos
                                <= 500 * PolicyTestFixture.NANOS_PER_MILLI,
                        "past the window: " + sent);
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
                "answered too late");
        entry.isAnswered = true;
    }

    /** Equal events and seed give equal actions. */
    @ParameterizedTest
    @ValueSource(longs = {21, 22})
    void equalEventsGiveEqualActions(long seed) {
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

    /**
     * The third rule: a host that operators hold counts as draining, whatever the list says of it.
     */
    @Test
    void aDrainedServerGetsNothingNew() {
        PolicyTestFixture fixture =
                new PolicyTestFixture(new PolicyTestFixture.SettingsBuilder()).servers(3);
        fixture.router.onAdminDrains(fixture.now, Set.of(1L, 77L));
        fixture.router.onEndpointUpdate(
                fixture.now,
                EndpointUpdateMode.FULL,
                List.of(PolicyTestFixture.server(2), PolicyTestFixture.server(3)));
        fixture.router.onEndpointUpdate(
                fixture.now,
                EndpointUpdateMode.FULL,
                List.of(
                        PolicyTestFixture.server(1),
                        PolicyTestFixture.server(2),
                        PolicyTestFixture.server(3)));
        for (int i = 0; i < 60; i++) {
            fixture.request(i, PolicyTestFixture.READ, i);
            fixture.advanceMillis(2);
        }
        assertTrue(fixture.sends.stream().noneMatch(sent -> sent.server() == 1));
        fixture.router.onAdminDrains(fixture.now, Set.of());
        fixture.advanceMillis(10_000);
        for (int i = 100; i < 160; i++) {
            fixture.request(i, PolicyTestFixture.READ, i);
            fixture.advanceMillis(2);
        }
        assertTrue(fixture.sends.stream().anyMatch(sent -> sent.server() == 1));
    }

    /**
     * The fourth rule: operators restart what they hold, and the list tells of that late or not at
     * all.
     */
    @Test
    void aServerWhoseDrainEndsCountsAsWarmingUp() {
        PolicyTestFixture fixture =
                new PolicyTestFixture(new PolicyTestFixture.SettingsBuilder()).servers(3);
        fixture.router.onAdminDrains(fixture.now, Set.of(1L));
        fixture.advanceMillis(1_000);
        fixture.router.onAdminDrains(fixture.now, Set.of());
        for (int i = 0; i < 200; i++) {
            fixture.request(i, PolicyTestFixture.READ, i);
            fixture.advanceMillis(2);
        }
        long sendsInSlowStart = fixture.sends.stream().filter(sent -> sent.server() == 1).count();
        assertTrue(
                sendsInSlowStart > 0 && sendsInSlowStart < 40,
                "a third of 200 would be a warm host's part: " + sendsInSlowStart);
    }

    /**
     * The second rule under new settings: what is open is repeated and refused only as both of them
     * allow.
     */
    @Test
    void anOpenRequestGoesByTheStricterOfItsClasses() {
        PolicyTestFixture fixture =
                new PolicyTestFixture(new PolicyTestFixture.SettingsBuilder()).servers(3);
        fixture.request(1, PolicyTestFixture.READ, 5);
        fixture.request(2, PolicyTestFixture.UNSAFE_WRITE, 6);
        PolicyTestFixture.SettingsBuilder swapped = new PolicyTestFixture.SettingsBuilder();
        swapped.readIdempotency = Idempotency.NOT_IDEMPOTENT;
        swapped.unsafeIdempotency = Idempotency.IDEMPOTENT;
        fixture.router.onSettings(fixture.now, swapped.build());
        fixture.outcome(1, 0, AttemptResult.RESET);
        fixture.outcome(2, 0, AttemptResult.RESET);
        assertEquals(2, fixture.sends.size(), "neither is sent again");
        assertEquals(List.of(1L, 2L), fixture.failures, "nor refused");
        fixture.request(3, PolicyTestFixture.UNSAFE_WRITE, 6);
        fixture.outcome(3, 0, AttemptResult.RESET);
        assertEquals(4, fixture.sends.size(), "what comes now goes by the new ones alone");
    }

    @Test
    void fewerAttemptsHoldForWhatIsOpenAndMoreForWhatComes() {
        PolicyTestFixture fixture =
                new PolicyTestFixture(new PolicyTestFixture.SettingsBuilder()).servers(6);
        PolicyTestFixture.SettingsBuilder fewer = new PolicyTestFixture.SettingsBuilder();
        fewer.maxAttempts = 1;
        fixture.request(1, PolicyTestFixture.READ, 5);
        fixture.router.onSettings(fixture.now, fewer.build());
        fixture.outcome(1, 0, AttemptResult.ERROR);
        assertEquals(1, fixture.sends.size());
        fixture.request(2, PolicyTestFixture.READ, 5);
        fixture.router.onSettings(fixture.now, new PolicyTestFixture.SettingsBuilder().build());
        fixture.outcome(2, 0, AttemptResult.ERROR);
        assertEquals(2, fixture.sends.size(), "it came with one");
        fixture.request(3, PolicyTestFixture.READ, 5);
        fixture.outcome(3, 0, AttemptResult.ERROR);
        assertEquals(4, fixture.sends.size());
    }

    /**
     * Others are seldom so full that a host half warm could not take every key: what it gets is
     * paced alone.
     */
    @Test
    void aHalfWarmedUpServerTakesEveryKeyAndANewOneFew() {
        PolicySettings settings = new PolicyTestFixture.SettingsBuilder().build();
        long now = 1_000_000 * PolicyTestFixture.NANOS_PER_MILLI;
        for (long ageMillis : new long[] {0, 5_000}) {
            ServerHealth health = new ServerHealth(settings, new SeededRandom(7));
            health.onEndpointUpdate(
                    now,
                    EndpointUpdateMode.FULL,
                    List.of(
                            PolicyTestFixture.server(
                                    1,
                                    EndpointState.READY,
                                    now - ageMillis * PolicyTestFixture.NANOS_PER_MILLI)));
            long admitted = 0;
            for (int i = 1; i <= 100; i++) {
                health.recordFirstSend(now + i * 20 * PolicyTestFixture.NANOS_PER_MILLI);
                admitted +=
                        health.admits(
                                        now + i * 20 * PolicyTestFixture.NANOS_PER_MILLI,
                                        health.caches[0],
                                        2047)
                                ? 1
                                : 0;
            }
            assertEquals(
                    ageMillis > 0, admitted > 50, "age " + ageMillis + ", admitted " + admitted);
        }
    }

    /**
     * While most is shed a balancer's own sends are few; what warm hosts serve shows what a cold
     * one can take.
     */
    @Test
    void aServerInSlowStartIsPacedByWhatWarmedUpOnesServe() {
        PolicySettings settings = new PolicyTestFixture.SettingsBuilder().build();
        ServerHealth health = new ServerHealth(settings, new SeededRandom(7));
        long now = 1_000_000 * PolicyTestFixture.NANOS_PER_MILLI;
        health.onEndpointUpdate(
                now,
                EndpointUpdateMode.FULL,
                List.of(
                        PolicyTestFixture.server(1),
                        PolicyTestFixture.server(2, EndpointState.READY, now)));
        TrackedServer warmedUpServer = health.caches[0];
        TrackedServer slowStartServer = health.caches[1];
        int sent = 0;
        for (int i = 0; i < 400; i++) {
            now += 10 * PolicyTestFixture.NANOS_PER_MILLI;
            health.onAttemptStarted(now, warmedUpServer);
            health.onAttemptCompleted(now, warmedUpServer, AttemptResult.OK, 0, false);
            if (health.admits(now, slowStartServer, 0)) {
                health.onAttemptStarted(now, slowStartServer);
                sent++;
            }
        }
        // 100 a second are served, the cold one can do a fifth at first: 4 s at 20 or somewhat
        // more.
        assertTrue(sent > 60 && sent < 4 * 100, "sent " + sent);
    }

    /** A balancer that has just begun has counted little; that must not keep cold hosts idle. */
    @Test
    void aNewBalancersFirstCountsStandForAWholeMean() {
        ServerHealth health =
                new ServerHealth(
                        new PolicyTestFixture.SettingsBuilder().build(), new SeededRandom(7));
        long now = 1_000_000 * PolicyTestFixture.NANOS_PER_MILLI;
        health.onEndpointUpdate(
                now,
                EndpointUpdateMode.FULL,
                List.of(
                        PolicyTestFixture.server(1),
                        PolicyTestFixture.server(
                                2,
                                EndpointState.READY,
                                now - 5_000 * PolicyTestFixture.NANOS_PER_MILLI)));
        int sent = 0;
        for (int i = 0; i < 100; i++) {
            now += 10 * PolicyTestFixture.NANOS_PER_MILLI;
            health.recordFirstSend(now);
            if (health.admits(now, health.caches[1], 0)) {
                health.onAttemptStarted(now, health.caches[1]);
                sent++;
            }
        }
        assertTrue(
                sent > 20 && sent < 100,
                "of 100, half of which are the half warm one's part: " + sent);
    }
}
