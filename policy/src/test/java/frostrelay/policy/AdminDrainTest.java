package frostrelay.policy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import frostrelay.policy.api.EndpointUpdateMode;

import org.junit.jupiter.api.Test;

import java.util.List;
import java.util.Set;

/** Servers under administrative drain get no new attempts, and go through slow start afterwards. */
class AdminDrainTest {
    /** An administrative drain takes precedence over the server's state in the endpoint list. */
    @Test
    void drainedServerGetsNoNewAttempts() {
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
     * Operators restart servers that they drain, and the endpoint list may not report the restart:
     * the server must go through slow start after the drain anyway.
     */
    @Test
    void serverEntersSlowStartWhenItsDrainEnds() {
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
                "sends of 200 to a cold server, a third for a warm one: " + sendsInSlowStart);
    }
}
