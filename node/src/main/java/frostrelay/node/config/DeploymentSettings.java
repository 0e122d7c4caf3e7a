package frostrelay.node.config;

import frostrelay.node.time.Clock;
import frostrelay.policy.api.PolicySettings;
import frostrelay.settings.SettingsParser;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The settings of a site: those of the module, the names that stand on sockets for its numbers, and
 * the figures that only sockets need.
 */
public final class DeploymentSettings {
    /** Load report fields: their names on sockets and in the settings, where these differ. */
    private static final Map<String, String> REPORT_FIELD_ALIASES =
            Map.of(
                    "inflight",
                    "rif",
                    "queue",
                    "q",
                    "util",
                    "busy",
                    "latency_ms",
                    "lat_ms",
                    "qps",
                    "rate",
                    "eps",
                    "fail_rate");

    /** Settings that differ from balancer to balancer. */
    static final List<String> LOCAL_KEYS = List.of("my-zone", "rank");

    private static final float[] EMPTY_REPORT = {};
    private static final char MAX_ASCII = 0x7f;
    private static final long REMOVED_CLASS_GRACE_NANOS = 5 * Clock.NANOS_PER_SECOND;

    public final PolicySettings policySettings;
    public final long idleTimeoutNanos;
    public final int maxOpenRequests;
    private final Map<String, Integer> classNumbers;
    private final Map<String, Integer> tenantNumbers;
    private final Map<String, Integer> zoneNumbers;
    private final Map<String, Integer> kindNumbers;
    private final Map<String, Integer> reportFieldNumbers;

    /** The settings as they were told, in the numbering of this program's life. */
    private final Map<?, ?> json;

    /**
     * Until when classes that are named no more are still taken: clients hear of new settings
     * later.
     */
    private final Map<String, Long> removedClassUntilNanos;

    public DeploymentSettings(Map<?, ?> json) {
        this(json, new HashMap<>());
    }

    private DeploymentSettings(Map<?, ?> json, Map<String, Long> removedClassUntilNanos) {
        this.json = json;
        this.removedClassUntilNanos = removedClassUntilNanos;
        Map<String, String> lines = toLines(json);
        try {
            policySettings = SettingsParser.parse(joinLines(lines));
        } catch (RuntimeException e) {
            throw new ConfigException(e.getMessage());
        }
        if (policySettings.classes().isEmpty()) {
            throw new ConfigException("the settings name no request class");
        }
        idleTimeoutNanos = parseLong(lines, "ceilings.conn-idle-ns", 10 * Clock.NANOS_PER_SECOND);
        maxOpenRequests = (int) parseLong(lines, "ceilings.max-open", 20_000);
        classNumbers = numberByName(Json.list(json, "categories"), true);
        tenantNumbers = numberByName(Json.list(json, "tenants"), true);
        zoneNumbers = numberByName(Json.list(json, "zones"), false);
        kindNumbers = numberByName(Json.list(json, "kinds"), false);
        reportFieldNumbers =
                numberByName(
                        Json.list(Json.get(json, "load-report", Map.class, Map.of()), "fields"),
                        false);
    }

    /**
     * What holds once these settings are told: names keep their numbers, and dropped classes live
     * on for a while.
     */
    public DeploymentSettings replacedBy(Map<?, ?> newJson, long now) {
        Map<String, Long> removedUntilNanos = new HashMap<>();
        for (String name : SettingsMerge.removedNames(json, newJson, "categories")) {
            long deadlineNanos =
                    policySettings.classes().get(classNumbers.get(name)).deadlineNanos();
            removedUntilNanos.put(
                    name,
                    removedClassUntilNanos.getOrDefault(
                            name, now + Math.max(REMOVED_CLASS_GRACE_NANOS, deadlineNanos)));
        }
        return new DeploymentSettings(SettingsMerge.merge(json, newJson), removedUntilNanos);
    }

    private static Map<String, String> toLines(Map<?, ?> json) {
        Map<String, String> lines = new TreeMap<>();
        flatten("", json, lines);
        return lines;
    }

    private static String joinLines(Map<String, String> lines) {
        StringBuilder text = new StringBuilder();
        lines.forEach((path, value) -> text.append(path).append('=').append(value).append('\n'));
        return text.toString();
    }

    /** What settings say to every balancer alike, a sorted line each. */
    static String sharedText(Map<?, ?> json) {
        Map<String, String> lines = toLines(json);
        lines.keySet().removeAll(LOCAL_KEYS);
        return joinLines(lines);
    }

    /**
     * Writes an object in the form of the simulator's settings lines, so that both sides parse
     * alike.
     */
    private static void flatten(String path, Object value, Map<String, String> lines) {
        if (value instanceof Map<?, ?> map) {
            String prefix = path.isEmpty() ? "" : path + ".";
            map.forEach((name, inner) -> flatten(prefix + name, inner, lines));
        } else if (value instanceof List<?> list && list.stream().anyMatch(Map.class::isInstance)) {
            lines.put(path + ".count", Integer.toString(list.size()));
            for (int i = 0; i < list.size(); i++) {
                flatten(path + "." + i, list.get(i), lines);
            }
        } else if (value instanceof List<?> list) {
            lines.put(
                    path,
                    String.join(",", list.stream().map(DeploymentSettings::formatScalar).toList()));
        } else if (value != null) {
            lines.put(path, formatScalar(value));
        }
    }

    private static String formatScalar(Object value) {
        return String.valueOf(value).replaceAll("[\\s,]", "_");
    }

    private static long parseLong(Map<String, String> lines, String path, long defaultValue) {
        try {
            String value = lines.get(path);
            return value == null ? defaultValue : (long) Double.parseDouble(value);
        } catch (NumberFormatException e) {
            throw new ConfigException("setting " + path + " is no number");
        }
    }

    private static Map<String, Integer> numberByName(List<?> list, boolean areObjects) {
        List<String> names = new ArrayList<>();
        for (Object item : list) {
            names.add(
                    areObjects
                            ? Json.get(Json.object(item), "name", String.class)
                            : String.valueOf(item));
        }
        Map<String, Integer> numbers = new HashMap<>();
        for (int i = 0; i < names.size(); i++) {
            numbers.put(names.get(i), i);
        }
        return numbers;
    }

    /**
     * A name in the settings' characters, as read from a line byte by byte; most have none beyond
     * ASCII.
     */
    private static String decodeName(String line) {
        for (int i = 0; line != null && i < line.length(); i++) {
            if (line.charAt(i) > MAX_ASCII) {
                return new String(
                        line.getBytes(StandardCharsets.ISO_8859_1), StandardCharsets.UTF_8);
            }
        }
        return line;
    }

    /**
     * The number of a request class, or null for a name that the settings do not hold, or no
     * longer.
     */
    public Integer classNumber(String line) {
        String name = decodeName(line);
        Long removedUntilNanos = removedClassUntilNanos.get(name);
        return removedUntilNanos == null || Clock.now() < removedUntilNanos
                ? classNumbers.get(name)
                : null;
    }

    /** The longest deadline of a class that the settings name. */
    public long longestDeadlineNanos() {
        return classNames().stream()
                .mapToLong(
                        name ->
                                policySettings
                                        .classes()
                                        .get(classNumbers.get(name))
                                        .deadlineNanos())
                .max()
                .orElse(0);
    }

    /** The classes that the settings name, those named no more left out. */
    public List<String> classNames() {
        return classNumbers.keySet().stream()
                .filter(name -> !removedClassUntilNanos.containsKey(name))
                .sorted()
                .toList();
    }

    /** The number of a tenant; where the site has none, every name is tenant 0. */
    public Integer tenantNumber(String line) {
        return tenantNumbers.isEmpty() ? Integer.valueOf(0) : tenantNumbers.get(decodeName(line));
    }

    /** A zone that the settings do not name gets a number of its own: it is nobody's own zone. */
    public int zoneNumber(String name) {
        return zoneNumbers.computeIfAbsent(name, n -> zoneNumbers.size());
    }

    int kindNumber(String name) {
        return kindNumbers.computeIfAbsent(name, n -> kindNumbers.size());
    }

    /**
     * The values of a load report, as the settings order them; empty unless it holds all of them.
     */
    public float[] parseReport(String text) {
        if (text == null || reportFieldNumbers.isEmpty()) {
            return EMPTY_REPORT;
        }
        float[] report = new float[reportFieldNumbers.size()];
        int foundCount = 0;
        for (String part : text.split(",")) {
            int equals = part.indexOf('=');
            String name = part.substring(0, Math.max(0, equals));
            Integer index = reportFieldNumbers.get(REPORT_FIELD_ALIASES.getOrDefault(name, name));
            try {
                if (index != null) {
                    report[index] = Float.parseFloat(part.substring(equals + 1));
                    if (!Float.isFinite(report[index])) {
                        return EMPTY_REPORT;
                    }
                    foundCount++;
                }
            } catch (NumberFormatException e) {
                return EMPTY_REPORT;
            }
        }
        return foundCount == report.length ? report : EMPTY_REPORT;
    }
}
