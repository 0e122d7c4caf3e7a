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
 * The settings of a deployment: those of the decision module, the names that the protocol uses for
 * the module's numbers, and the limits of connections. Owned by the event loop; immutable except
 * that new zone and kind names get numbers.
 */
public final class DeploymentSettings {
    /** Names of load report fields in the protocol, and in the settings where these differ. */
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

    /** Keys of the settings that differ from balancer to balancer. */
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

    /** The parsed settings, in the numbering that this process has used since its start. */
    private final Map<?, ?> json;

    /**
     * End of the grace period of each removed class, by name. Removed classes are accepted until
     * then, as clients receive new settings later than balancers.
     */
    private final Map<String, Long> removedClassUntilNanos;

    /**
     * Parses the settings.
     *
     * @throws ConfigException if a value is invalid or there is no request class
     */
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
            throw new ConfigException(e.getMessage(), e);
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
     * Returns the settings that replace these; names keep their numbers, and removed classes are
     * accepted for a grace period.
     *
     * @param now clock reading in nanoseconds, from which the grace period counts
     * @throws ConfigException if the new settings are invalid
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

    /** Returns the settings that all balancers of a tier share, as sorted lines. */
    static String sharedText(Map<?, ?> json) {
        Map<String, String> lines = toLines(json);
        lines.keySet().removeAll(LOCAL_KEYS);
        return joinLines(lines);
    }

    /**
     * Converts an object to the simulator's settings lines, so that both are parsed by the same
     * code.
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
            throw new ConfigException(
                    "setting " + path + " is not a number: " + lines.get(path), e);
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
     * Decodes a name that was read from a line as ISO 8859-1 to the UTF-8 of the settings. Most
     * names are ASCII and returned as they are.
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
     * Returns the number of a request class, or null for an unknown name or a class whose grace
     * period after removal is over.
     */
    public Integer classNumber(String line) {
        String name = decodeName(line);
        Long removedUntilNanos = removedClassUntilNanos.get(name);
        return removedUntilNanos == null || Clock.now() < removedUntilNanos
                ? classNumbers.get(name)
                : null;
    }

    /** Returns the longest deadline of all classes in the settings, in nanoseconds. */
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

    /** Returns the sorted names of all classes in the settings, without removed ones. */
    public List<String> classNames() {
        return classNumbers.keySet().stream()
                .filter(name -> !removedClassUntilNanos.containsKey(name))
                .sorted()
                .toList();
    }

    /** Returns a tenant's number, or null for an unknown one; always 0 if no tenants are set. */
    public Integer tenantNumber(String line) {
        return tenantNumbers.isEmpty() ? Integer.valueOf(0) : tenantNumbers.get(decodeName(line));
    }

    /**
     * Returns the number of a zone. An unknown zone gets a new number, which is no balancer's zone.
     */
    public int zoneNumber(String name) {
        return zoneNumbers.computeIfAbsent(name, n -> zoneNumbers.size());
    }

    int kindNumber(String name) {
        return kindNumbers.computeIfAbsent(name, n -> kindNumbers.size());
    }

    /**
     * Parses a load report. Returns its values in the order of the settings, or an empty array
     * unless it contains all fields, each once, as finite numbers.
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
