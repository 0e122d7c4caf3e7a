package frostrelay.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import frostrelay.policy.api.AttemptOutcome;
import frostrelay.policy.api.AttemptResult;
import frostrelay.policy.api.LoadReportLayout;
import frostrelay.policy.api.ResponseSource;
import frostrelay.policy.api.Tenant;

import org.junit.jupiter.api.Test;

import java.util.List;

/** Load shedding: the signals that cause it, and the order in which requests are shed. */
class LoadSheddingTest {
    private static PolicyTestFixture fixture() {
        return new PolicyTestFixture(new PolicyTestFixture.SettingsBuilder());
    }

    /** Rejections by servers that report spare capacity must not count as load on the fleet. */
    @Test
    void rejectionsByIdleServersShedNothing() {
        for (float utilization : new float[] {0.2f, 0.9f}) {
            PolicyTestFixture.SettingsBuilder builder = new PolicyTestFixture.SettingsBuilder();
            builder.loadReportLayout = new LoadReportLayout(-1, -1, 0);
            PolicyTestFixture fixture = new PolicyTestFixture(builder).servers(8);
            int sent = 0;
            for (long id = 1; id <= 400; id++) {
                sent += fixture.request(id, PolicyTestFixture.READ, id) != null ? 1 : 0;
                fixture.advanceMillis(5);
                for (int attempt = 0; attempt < fixture.settings.maxAttempts(); attempt++) {
                    fixture.router.onAttemptOutcome(
                            fixture.now,
                            new AttemptOutcome(
                                    id,
                                    attempt,
                                    AttemptResult.REJECTED,
                                    0,
                                    false,
                                    ResponseSource.UNKNOWN,
                                    new float[] {utilization}));
                }
            }
            assertEquals(
                    utilization < 0.5f,
                    sent == 400,
                    "utilization " + utilization + ", sent " + sent);
        }
    }

    /**
     * Under lasting overload, with full queues and late answers, requests within their quota are
     * shed too.
     */
    @Test
    void lastingOverloadIsShedAndEndsWithItsCause() {
        PolicyTestFixture fixture = fixture().servers(6);
        for (int i = 0; i < 60; i++) {
            fixture.request(i, PolicyTestFixture.READ, i);
            fixture.completeAll(i, AttemptResult.REJECTED);
        }
        fixture.rejections.clear();
        int reads = 0;
        int writes = 0;
        for (int i = 1000; i < 1400; i++) {
            reads += fixture.request(i, PolicyTestFixture.READ, i) == null ? 1 : 0;
            writes += fixture.request(i + 1000, PolicyTestFixture.KEYED_WRITE, i) == null ? 1 : 0;
        }
        String summary = "shed " + reads + " reads, " + writes + " writes of 400";
        assertTrue(reads > 200 && writes < reads * 0.85 && reads < 400, summary);
        for (int i = 1000; i < 2400; i++) {
            fixture.outcome(i, 0, AttemptResult.OK);
        }
        fixture.rejections.clear();
        for (int i = 3000; i < 3100; i++) {
            fixture.request(i, PolicyTestFixture.READ, i);
        }
        assertTrue(fixture.rejections.isEmpty());
    }

    /**
     * With many balancers, the quota of each is one request a second: random bursts must not count
     * as traffic over quota.
     */
    @Test
    void smallBurstsDoNotCountAsTrafficOverQuota() {
        PolicyTestFixture.SettingsBuilder builder = new PolicyTestFixture.SettingsBuilder();
        builder.instanceCount = 200;
        builder.tenants = List.of(new Tenant(200, 1));
        PolicyTestFixture fixture = new PolicyTestFixture(builder).servers(8);
        for (int i = 0; i < 10; i++) {
            fixture.request(i, PolicyTestFixture.READ, i, 0, false);
            fixture.outcome(i, 0, i == 9 ? AttemptResult.REJECTED : AttemptResult.OK);
            fixture.outcome(i, 1, AttemptResult.OK);
            fixture.advanceMillis(10_000);
        }
        fixture.rejections.clear();
        for (int i = 100; i < 106; i++) {
            fixture.request(i, PolicyTestFixture.READ, i, 0, false);
        }
        assertEquals(0, fixture.rejections.size());
    }

    /** Clients' retries of rejected requests must not use up their tenant's quota. */
    @Test
    void rejectedRequestsDoNotUseUpAQuota() {
        PolicyTestFixture.SettingsBuilder builder = new PolicyTestFixture.SettingsBuilder();
        builder.tenants = List.of(new Tenant(2, 0.5), new Tenant(1_000_000, 0.5));
        PolicyTestFixture fixture = new PolicyTestFixture(builder).servers(8);
        for (int i = 0; i < 100; i++) {
            fixture.request(i, PolicyTestFixture.READ, i, 1, false);
            fixture.completeAll(i, AttemptResult.REJECTED);
        }
        int served = 0;
        for (int i = 1000; i < 1400; i++) {
            served += fixture.request(i, PolicyTestFixture.READ, i, 0, false) != null ? 1 : 0;
        }
        assertTrue(served > 10 && served <= 20, "served of a quota of 20: " + served);
    }

    /** Timeouts indicate overload only after seconds: slow answers must indicate it earlier. */
    @Test
    void unansweredRequestsCauseSheddingBeforeTheyTimeOut() {
        PolicyTestFixture fixture = fixture().servers(8);
        for (int i = 0; i < 150; i++) {
            fixture.request(i, PolicyTestFixture.READ, i);
            fixture.advanceMillis(10);
        }
        assertTrue(
                fixture.rejections.size() > 15,
                "rejected within 1.5 s: " + fixture.rejections.size());
    }

    /** The loss of a third of the answers must not count as overload. */
    @Test
    void lostAnswersAloneShedNothing() {
        PolicyTestFixture fixture = fixture().servers(8);
        for (int i = 0; i < 400; i++) {
            fixture.request(i, PolicyTestFixture.READ, i);
            if (i % 3 != 0) {
                fixture.outcome(i, 0, AttemptResult.OK);
            }
            fixture.advanceMillis(10);
        }
        assertEquals(0, fixture.rejections.stream().filter(r -> r.request() % 2 != 0).count());
    }

    /**
     * A few caches that are full because of hot keys must not make balancers shed reads that idle
     * caches can serve.
     */
    @Test
    void fullCachesDoNotCountAsOverloadWhileTheOriginIsFast() {
        PolicyTestFixture fastOriginFixture = PolicyTestFixture.lookAside(8);
        PolicyTestFixture slowOriginFixture = PolicyTestFixture.lookAside(8);
        slowOriginFixture.slowOrigin();
        for (PolicyTestFixture fixture : List.of(fastOriginFixture, slowOriginFixture)) {
            fixture.rejections.clear();
            for (int i = 0; i < 900; i++) {
                fixture.request(i, PolicyTestFixture.READ, i);
                fixture.outcome(i, 0, i % 2 == 0 ? AttemptResult.REJECTED : AttemptResult.OK);
                fixture.outcome(i, 1, AttemptResult.OK);
            }
        }
        assertEquals(0, countShedImmediately(fastOriginFixture));
        assertTrue(
                countShedImmediately(slowOriginFixture) > 20,
                "with a slow origin: " + countShedImmediately(slowOriginFixture));
    }

    /**
     * Returns how many requests are rejected before any attempt while caches reject every other
     * request.
     */
    private static long countShedImmediately(PolicyTestFixture fixture) {
        return fixture.rejections.stream().filter(r -> r.request() % 2 != 0).count();
    }

    @Test
    void trafficOverQuotaIsShedFirstUnderOverload() {
        PolicyTestFixture.SettingsBuilder builder = new PolicyTestFixture.SettingsBuilder();
        builder.tenants = List.of(new Tenant(10, 0.5), new Tenant(1000, 0.5));
        builder.overQuotaWeight = 0.05;
        PolicyTestFixture fixture = new PolicyTestFixture(builder).servers(4);
        for (int i = 0; i < 40; i++) {
            fixture.request(i, PolicyTestFixture.READ, i, 1, false);
        }
        for (int i = 0; i < 5; i++) {
            fixture.outcome(i, 0, AttemptResult.REJECTED);
        }
        for (int i = 0; i < 120; i++) {
            if (i == 60) {
                fixture.rejections.clear();
            }
            fixture.advanceMillis(2);
            fixture.request(1000 + i, PolicyTestFixture.READ, i, i % 2, false);
        }
        long overQuota = fixture.rejections.stream().filter(r -> r.request() % 2 == 0).count();
        long withinQuota = fixture.rejections.size() - overQuota;
        assertTrue(
                overQuota >= 10 && withinQuota < overQuota / 2,
                "sent: " + overQuota + " over quota, " + withinQuota + " within");
    }
}
