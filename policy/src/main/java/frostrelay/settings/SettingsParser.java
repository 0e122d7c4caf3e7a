package frostrelay.settings;

import frostrelay.policy.api.DeduplicationScope;
import frostrelay.policy.api.Idempotency;
import frostrelay.policy.api.LoadReportLayout;
import frostrelay.policy.api.PolicySettings;
import frostrelay.policy.api.RequestClass;
import frostrelay.policy.api.RetryBudget;
import frostrelay.policy.api.Tenant;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;

/**
 * Parses settings lines into {@link PolicySettings}. Unknown keys are ignored. A missing key gets a
 * safe default: requests are not idempotent, there is no hedging, no cancellation, a single attempt
 * and the longest slow start.
 */
public final class SettingsParser {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final long DEFAULT_DEADLINE_NANOS = NANOS_PER_SECOND;
    private static final long DEFAULT_POLL_INTERVAL_NANOS = 10 * NANOS_PER_SECOND;
    private static final double DEFAULT_SLOW_START_FRACTION = 0.1;
    private static final long DEFAULT_SLOW_START_NANOS = 30 * NANOS_PER_SECOND;
    private static final double DEFAULT_OVERLOAD_MULTIPLE = 2;
    private static final long DEFAULT_OVERLOAD_WINDOW_NANOS = NANOS_PER_SECOND;
    private static final long DEFAULT_KEY_QUARANTINE_NANOS = NANOS_PER_SECOND;
    private static final long DEFAULT_CONNECT_TIMEOUT_NANOS = NANOS_PER_SECOND / 4;
    private static final long DEFAULT_RETRY_BUDGET_WINDOW_NANOS = 10 * NANOS_PER_SECOND;

    private static final String RETRY_BUDGET_MIN = "guarantees.budget-free";
    private static final String RETRY_BUDGET_RATIO = "guarantees.repeat-ratio";
    private static final String RETRY_BUDGET_WINDOW = "guarantees.resend-span-ns";

    private final SettingsText text;

    private SettingsParser(SettingsText text) {
        this.text = text;
    }

    /**
     * Parses settings lines of the form {@code key=value}.
     *
     * @throws SettingsException if a value is not a number, or a list's size is out of range
     */
    public static PolicySettings parse(String text) {
        return new SettingsParser(new SettingsText(text)).parseSettings();
    }

    /** Reads the settings in the order of the record's components. */
    private PolicySettings parseSettings() {
        List<RequestClass> classes = parseRequestClasses();
        List<Tenant> tenants = parseTenants();

        int zone = text.readInt("my-zone", 0);
        int instanceIndex = text.readInt("rank", 0);
        int instanceCount = (int) Math.max(1, text.readLong("n-instances", 1));
        boolean lookAside = text.readText("family-info.mode", "through").equals("aside");
        int originKind = text.readInt("family-info.origin-kind", -1);
        boolean subscribe = text.readText("discovery", "automatic").equals("subscribe");

        int maxAttempts = text.readInt("ceilings.max-attempts", 1);
        boolean hedgingAllowed = text.readBoolean("ceilings.may-duplicate");
        boolean cancellationAllowed = text.readBoolean("ceilings.cancelling");
        long connectTimeoutNanos =
                text.readLong("ceilings.connect-timeout-ns", DEFAULT_CONNECT_TIMEOUT_NANOS);
        boolean retryAfterSupported = text.readBoolean("ceilings.retry-after");
        long maxRetryAfterNanos = text.readLong("ceilings.max-retry-after-ns", 0);

        long drainGraceNanos = text.readLong("guarantees.stop-sending-within-ns", 0);
        long pollIntervalNanos =
                text.readLong("guarantees.ask-within-ns", DEFAULT_POLL_INTERVAL_NANOS);
        double slowStartInitialFraction =
                text.readDouble("guarantees.cold-from", DEFAULT_SLOW_START_FRACTION);
        long slowStartNanos = text.readLong("guarantees.warm-within-ns", DEFAULT_SLOW_START_NANOS);
        double overloadMultiple =
                text.readDouble("guarantees.tip-multiple", DEFAULT_OVERLOAD_MULTIPLE);
        long overloadWindowNanos =
                Math.max(1, text.readLong("guarantees.fall-ns", DEFAULT_OVERLOAD_WINDOW_NANOS));
        double overQuotaWeight = text.readDouble("over-share-worth", 1);
        long keyQuarantineNanos =
                text.readLong("guarantees.key-quiet-ns", DEFAULT_KEY_QUARANTINE_NANOS);

        return new PolicySettings(
                classes,
                tenants,
                zone,
                instanceIndex,
                instanceCount,
                lookAside,
                originKind,
                subscribe,
                maxAttempts,
                hedgingAllowed,
                cancellationAllowed,
                connectTimeoutNanos,
                retryAfterSupported,
                maxRetryAfterNanos,
                drainGraceNanos,
                pollIntervalNanos,
                slowStartInitialFraction,
                slowStartNanos,
                overloadMultiple,
                overloadWindowNanos,
                overQuotaWeight,
                keyQuarantineNanos,
                parseRetryBudget(),
                parseLoadReportLayout());
    }

    private List<RequestClass> parseRequestClasses() {
        int count = text.readCount("categories.count");
        List<RequestClass> classes = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            classes.add(parseRequestClass("categories." + i + "."));
        }
        return List.copyOf(classes);
    }

    private RequestClass parseRequestClass(String prefix) {
        long deadlineNanos = text.readLong(prefix + "deadline-ns", DEFAULT_DEADLINE_NANOS);
        return new RequestClass(
                Math.max(1, text.readLong(prefix + "goal-time-ns", deadlineNanos)),
                text.readDouble(prefix + "aim-stretch", 0),
                deadlineNanos,
                text.readDouble(prefix + "worth", 1),
                text.readDouble(prefix + "late-worth", 0),
                parseIdempotency(prefix + "effect"),
                parseDeduplicationScope(prefix + "group"),
                text.readLong(prefix + "window-ns", 0),
                text.readBoolean(prefix + "stream"),
                text.readBoolean(prefix + "serial-by-key"));
    }

    private Idempotency parseIdempotency(String key) {
        return switch (text.readText(key, "fragile")) {
            case "retryable" -> Idempotency.IDEMPOTENT;
            case "dedup" -> Idempotency.IDEMPOTENCY_KEY;
            default -> Idempotency.NOT_IDEMPOTENT;
        };
    }

    private DeduplicationScope parseDeduplicationScope(String key) {
        return switch (text.readText(key, "cell").toLowerCase(Locale.ROOT)) {
            case "all" -> DeduplicationScope.ALL;
            case "zone" -> DeduplicationScope.ZONE;
            default -> DeduplicationScope.CELL;
        };
    }

    private List<Tenant> parseTenants() {
        int count = text.readCount("tenants.count");
        List<Tenant> tenants = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            String prefix = "tenants." + i + ".";
            tenants.add(
                    new Tenant(
                            text.readDouble(prefix + "allowance-per-s", 0),
                            text.readDouble(prefix + "fraction", 1)));
        }
        return List.copyOf(tenants);
    }

    /**
     * Returns the configured retry budget, or null if none of its settings is present. If only some
     * are present, a missing minimum or ratio counts as 0.
     */
    private RetryBudget parseRetryBudget() {
        boolean isConfigured =
                text.contains(RETRY_BUDGET_MIN)
                        || text.contains(RETRY_BUDGET_RATIO)
                        || text.contains(RETRY_BUDGET_WINDOW);
        if (!isConfigured) {
            return null;
        }
        return new RetryBudget(
                text.readDouble(RETRY_BUDGET_MIN, 0),
                text.readDouble(RETRY_BUDGET_RATIO, 0),
                text.readLong(RETRY_BUDGET_WINDOW, DEFAULT_RETRY_BUDGET_WINDOW_NANOS));
    }

    private LoadReportLayout parseLoadReportLayout() {
        List<String> fields = Arrays.asList(text.readText("load-report.fields", "").split(","));
        return new LoadReportLayout(
                fields.indexOf("rif"), fields.indexOf("q"), fields.indexOf("busy"));
    }
}
