package frostrelay.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import frostrelay.policy.api.AttemptResult;
import frostrelay.policy.api.Idempotency;

import org.junit.jupiter.api.Test;

import java.util.List;

/** Effects of changed settings on open and on later requests. */
class SettingsChangeTest {
    /** Open requests are retried or rejected only if both the old and the new settings allow it. */
    @Test
    void openRequestFollowsTheStricterOfOldAndNewSettings() {
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
        assertEquals(2, fixture.sends.size(), "no request is retried");
        assertEquals(List.of(1L, 2L), fixture.failures, "both requests fail");
        fixture.request(3, PolicyTestFixture.UNSAFE_WRITE, 6);
        fixture.outcome(3, 0, AttemptResult.RESET);
        assertEquals(4, fixture.sends.size(), "later requests use the new settings only");
    }

    @Test
    void lowerAttemptLimitAppliesToOpenRequestsAndHigherOneToNewRequests() {
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
        assertEquals(2, fixture.sends.size(), "the limit at arrival was one attempt");
        fixture.request(3, PolicyTestFixture.READ, 5);
        fixture.outcome(3, 0, AttemptResult.ERROR);
        assertEquals(4, fixture.sends.size());
    }
}
