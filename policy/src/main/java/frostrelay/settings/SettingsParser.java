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
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Reads the settings lines of the wire. Unknown keys are skipped; a missing key gets a default that
 * is safe: the strictest effect, no copies, no cancelling, one attempt, the slowest warm-up.
 */
public final class SettingsParser {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final long DEFAULT_DEADLINE_NANOS = NANOS_PER_SECOND;
    private static final double DEFAULT_SLOW_START_FRACTION = 0.1;
    private static final double DEFAULT_OVERLOAD_MULTIPLE = 2;
    private static final long DEFAULT_KEY_IDLE_NANOS = NANOS_PER_SECOND;
    private static final long DEFAULT_CONNECT_TIMEOUT_NANOS = NANOS_PER_SECOND / 4;
    private static final long DEFAULT_RETRY_BUDGET_SPAN_NANOS = 10 * NANOS_PER_SECOND;

    /** More items than this in a list are taken for a damaged message. */
    private static final int MAX_ITEMS = 10_000;

    private final Map<String, String> values = new HashMap<>();

    private SettingsParser(String text) {
        for (String line : text.split("\n")) {
            int equals = line.indexOf('=');
            if (equals > 0) {
                values.put(line.substring(0, equals).trim(), line.substring(equals + 1).trim());
            }
        }
    }

    /** Both sides read their settings here, so that the same text means the same to them. */
    public static PolicySettings parse(String text) {
        return new SettingsParser(text).parseSettings();
    }

    private PolicySettings parseSettings() {
        List<RequestClass> classes = new ArrayList<>();
        for (int i = 0; i < readCount("categories.count"); i++) {
            classes.add(parseRequestClass("categories." + i + "."));
        }
        List<Tenant> tenants = new ArrayList<>();
        for (int i = 0; i < readCount("tenants.count"); i++) {
            tenants.add(
                    new Tenant(
                            readDouble("tenants." + i + ".allowance-per-s", 0),
                            readDouble("tenants." + i + ".fraction", 1)));
        }
        List<String> loadReportFields =
                Arrays.asList(readText("load-report.fields", "").split(","));
        return new PolicySettings(
                List.copyOf(classes),
                List.copyOf(tenants),
                (int) readLong("my-zone", 0),
                (int) readLong("rank", 0),
                (int) Math.max(1, readLong("n-instances", 1)),
                readText("family-info.mode", "through").equals("aside"),
                (int) readLong("family-info.origin-kind", -1),
                readText("discovery", "automatic").equals("subscribe"),
                (int) readLong("ceilings.max-attempts", 1),
                readBoolean("ceilings.may-duplicate"),
                readBoolean("ceilings.cancelling"),
                readLong("ceilings.connect-timeout-ns", DEFAULT_CONNECT_TIMEOUT_NANOS),
                readBoolean("ceilings.retry-after"),
                readLong("ceilings.max-retry-after-ns", 0),
                readLong("guarantees.stop-sending-within-ns", 0),
                readLong("guarantees.ask-within-ns", 10 * NANOS_PER_SECOND),
                readDouble("guarantees.cold-from", DEFAULT_SLOW_START_FRACTION),
                readLong("guarantees.warm-within-ns", 30 * NANOS_PER_SECOND),
                readDouble("guarantees.tip-multiple", DEFAULT_OVERLOAD_MULTIPLE),
                Math.max(1, readLong("guarantees.fall-ns", NANOS_PER_SECOND)),
                readDouble("over-share-worth", 1),
                readLong("guarantees.key-quiet-ns", DEFAULT_KEY_IDLE_NANOS),
                parseRetryBudget(),
                new LoadReportLayout(
                        loadReportFields.indexOf("rif"),
                        loadReportFields.indexOf("q"),
                        loadReportFields.indexOf("busy")));
    }

    private RequestClass parseRequestClass(String prefix) {
        long deadlineNanos = readLong(prefix + "deadline-ns", DEFAULT_DEADLINE_NANOS);
        Idempotency idempotency =
                switch (readText(prefix + "effect", "fragile")) {
                    case "retryable" -> Idempotency.IDEMPOTENT;
                    case "dedup" -> Idempotency.IDEMPOTENCY_KEY;
                    default -> Idempotency.NOT_IDEMPOTENT;
                };
        DeduplicationScope deduplicationScope =
                switch (readText(prefix + "group", "cell").toLowerCase(Locale.ROOT)) {
                    case "all" -> DeduplicationScope.ALL;
                    case "zone" -> DeduplicationScope.ZONE;
                    default -> DeduplicationScope.CELL;
                };
        return new RequestClass(
                Math.max(1, readLong(prefix + "goal-time-ns", deadlineNanos)),
                readDouble(prefix + "aim-stretch", 0),
                deadlineNanos,
                readDouble(prefix + "worth", 1),
                readDouble(prefix + "late-worth", 0),
                idempotency,
                deduplicationScope,
                readLong(prefix + "window-ns", 0),
                readBoolean(prefix + "stream"),
                readBoolean(prefix + "serial-by-key"));
    }

    /**
     * There is a budget as soon as one of its settings is named; what is left out of it allows
     * nothing.
     */
    private RetryBudget parseRetryBudget() {
        boolean isConfigured =
                values.containsKey("guarantees.budget-free")
                        || values.containsKey("guarantees.repeat-ratio")
                        || values.containsKey("guarantees.resend-span-ns");
        return isConfigured
                ? new RetryBudget(
                        readDouble("guarantees.budget-free", 0),
                        readDouble("guarantees.repeat-ratio", 0),
                        readLong("guarantees.resend-span-ns", DEFAULT_RETRY_BUDGET_SPAN_NANOS))
                : null;
    }

    private int readCount(String key) {
        long size = readLong(key, 0);
        if (size < 0 || size > MAX_ITEMS) {
            throw new SettingsException("setting " + key + " has an impossible value: " + size);
        }
        return (int) size;
    }

    private String readText(String key, String defaultValue) {
        return values.getOrDefault(key, defaultValue);
    }

    private boolean readBoolean(String key) {
        return readText(key, "false").equals("true");
    }

    private long readLong(String key, long defaultValue) {
        String value = values.get(key);
        try {
            return value == null || value.isEmpty() ? defaultValue : Long.parseLong(value);
        } catch (NumberFormatException e) {
            return (long) readDouble(key, defaultValue);
        }
    }

    private double readDouble(String key, double defaultValue) {
        String value = values.get(key);
        if (value == null || value.isEmpty()) {
            return defaultValue;
        }
        try {
            double number = Double.parseDouble(value);
            if (Double.isFinite(number)) {
                return number;
            }
        } catch (NumberFormatException e) {
            // Told below, as for numbers that are not finite.
        }
        throw new SettingsException("setting " + key + " is no number: " + value);
    }
}
