package frostrelay.policy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import frostrelay.policy.api.EndpointUpdateMode;

import org.junit.jupiter.api.Test;

import java.util.List;
import java.util.Set;

/** Servers that operators drain get nothing new, and slow start afterwards. */
class AdminDrainTest {
    /** A server that operators drain counts as draining, whatever the endpoint list says. */
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
     * Operators restart servers that they drain, and the endpoint list reports that late or never.
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
                "a third of 200 would be a warm server's part: " + sendsInSlowStart);
    }
}
