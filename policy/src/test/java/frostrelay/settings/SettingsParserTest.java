package frostrelay.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import frostrelay.policy.api.Idempotency;
import frostrelay.policy.api.PolicySettings;
import frostrelay.policy.api.RetryBudget;

import org.junit.jupiter.api.Test;

/** Defaults for missing settings, and errors for settings with unusable values. */
class SettingsParserTest {
    @Test
    void missingSettingsGetSafeDefaults() {
        PolicySettings settings = SettingsParser.parse("categories.count=1\n");
        assertEquals(Idempotency.NOT_IDEMPOTENT, settings.classes().get(0).idempotency());
        assertEquals(1, settings.maxAttempts());
        assertTrue(
                !settings.hedgingAllowed()
                        && !settings.cancellationAllowed()
                        && !settings.lookAside());
    }

    @Test
    void unusableNumbersAreErrors() {
        for (String line :
                new String[] {
                    "categories.count=x",
                    "rank=NaN",
                    "guarantees.tip-multiple=Infinity",
                    "categories.count=-1",
                    "guarantees.resend-span-ns=soon"
                }) {
            assertThrows(
                    SettingsException.class,
                    () -> SettingsParser.parse("n-instances=1\n" + line + "\n"),
                    line);
        }
    }

    @Test
    void emptyRetryBudgetAllowsNothingAndMissingOneIsNull() {
        assertEquals(null, SettingsParser.parse("categories.count=1\n").retryBudget());
        RetryBudget emptyBudget =
                SettingsParser.parse("categories.count=1\nguarantees.repeat-ratio=\n")
                        .retryBudget();
        assertEquals(0, emptyBudget.minRetries() + emptyBudget.retryRatio());
        assertTrue(
                SettingsParser.parse("guarantees.key-quiet-ns=\n").keyQuarantineNanos() > 0,
                "a serialized key is quarantined");
    }
}
