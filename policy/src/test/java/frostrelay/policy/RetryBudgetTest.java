package frostrelay.policy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import frostrelay.policy.api.AttemptResult;

import org.junit.jupiter.api.Test;

/** The default retry budget, and the retries that are exempt from it. */
class RetryBudgetTest {
    private static PolicyTestFixture fixture() {
        return new PolicyTestFixture(new PolicyTestFixture.SettingsBuilder());
    }

    /** Rejections must not send each request to all servers in turn. */
    @Test
    void retriesStayWithinTheBudget() {
        PolicyTestFixture fixture = fixture().servers(10);
        for (int i = 0; i < 300; i++) {
            fixture.request(i, PolicyTestFixture.READ, i);
            fixture.completeAll(i, AttemptResult.TIMEOUT);
        }
        int retries = fixture.sends.size() - 300;
        assertTrue(retries > 10 && retries <= 10 + 300 * 0.2 + 1, "retries: " + retries);
    }

    /**
     * With many dead servers and an endpoint list that is seconds late, the budget is used up. An
     * attempt that reached no server caused no load, so its first retry is exempt from the budget;
     * further ones are not.
     */
    @Test
    void attemptThatReachedNoServerIsRetriedOnceWithoutBudget() {
        PolicyTestFixture fixture = fixture().servers(10);
        for (int i = 0; i < 300; i++) {
            fixture.request(i, PolicyTestFixture.READ, i);
            fixture.completeAll(i, AttemptResult.CONNECT_FAILED);
        }
        int retries = fixture.sends.size() - 300;
        assertTrue(retries >= 300 && retries <= 300 + 10 + 300 * 0.2 + 1, "retries: " + retries);
    }
}
