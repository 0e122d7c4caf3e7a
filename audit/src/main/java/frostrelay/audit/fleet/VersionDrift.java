package frostrelay.audit.fleet;

import static frostrelay.audit.fleet.JsonRows.jsonObject;
import static frostrelay.audit.fleet.JsonRows.toMillis;

import frostrelay.audit.Entry;
import frostrelay.audit.fleet.AuditedVersionKind.Version;
import frostrelay.audit.fleet.ClockAlignment.TimeInterval;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Delays between the first balancer to apply a version and the others. */
final class VersionDrift {
    private final List<IncarnationHistory> histories;
    private final ClockAlignment clocks;

    VersionDrift(List<IncarnationHistory> histories, ClockAlignment clocks) {
        this.histories = histories;
        this.clocks = clocks;
    }

    /** A change of an incarnation's applied versions, and its time. */
    private record Application(
            IncarnationHistory history, TimeInterval interval, Entry.VersionsApplied applied) {}

    /** See {@link FleetAudit#drift}. */
    List<Map<String, Object>> rows(AuditedVersionKind kind) {
        Map<Version, Map<IncarnationHistory, Entry.VersionsApplied>> firstApplied =
                new LinkedHashMap<>();
        for (Application application : applicationsInOrder()) {
            firstApplied
                    .computeIfAbsent(
                            kind.versionIn(application.applied.versions()),
                            version -> new LinkedHashMap<>())
                    .putIfAbsent(application.history, application.applied);
        }
        List<Map<String, Object>> rows = new ArrayList<>();
        firstApplied.forEach((version, firstByHistory) -> rows.add(row(version, firstByHistory)));
        return rows;
    }

    private List<Application> applicationsInOrder() {
        List<Application> applications = new ArrayList<>();
        for (IncarnationHistory history : histories) {
            for (Entry.VersionsApplied applied : history.appliedVersions()) {
                applications.add(
                        new Application(
                                history, clocks.intervalOf(history, applied.atNanos()), applied));
            }
        }
        applications.sort(
                Comparator.comparingLong(application -> application.interval.latestNanos()));
        return applications;
    }

    private Map<String, Object> row(
            Version version, Map<IncarnationHistory, Entry.VersionsApplied> firstByHistory) {
        IncarnationHistory firstHistory = firstByHistory.keySet().iterator().next();
        TimeInterval first =
                clocks.intervalOf(firstHistory, firstByHistory.get(firstHistory).atNanos());
        List<Object> balancers = new ArrayList<>();
        for (IncarnationHistory history : histories) {
            Entry.VersionsApplied applied = firstByHistory.get(history);
            if (applied != null) {
                balancers.add(appliedRow(history, applied, first));
            } else if (!clocks.intervalOf(history, history.lastEntryNanos()).isBefore(first)) {
                balancers.add(notAppliedRow(history));
            }
        }
        return jsonObject(
                "version", version.text(), "first", toMillis(first), "balancers", balancers);
    }

    private Map<String, Object> appliedRow(
            IncarnationHistory history, Entry.VersionsApplied applied, TimeInterval first) {
        TimeInterval moment = clocks.intervalOf(history, applied.atNanos());
        return jsonObject(
                "balancer",
                history.name(),
                "life",
                history.label(),
                "from",
                toMillis(moment),
                "behindMs",
                List.of(
                        delayMillis(first.latestNanos(), moment.earliestNanos()),
                        delayMillis(first.earliestNanos(), moment.latestNanos())),
                "why",
                applied.cause().name().toLowerCase(Locale.ROOT));
    }

    private static long delayMillis(long fromNanos, long toNanos) {
        return Math.max(0, Math.round((toNanos - fromNanos) / JsonRows.NANOS_PER_MILLISECOND));
    }

    /**
     * Describes a balancer whose record continues after the version first appeared but lacks it.
     */
    private Map<String, Object> notAppliedRow(IncarnationHistory history) {
        return jsonObject(
                "balancer",
                history.name(),
                "life",
                history.label(),
                "from",
                null,
                "until",
                toMillis(clocks.intervalOf(history, history.lastEntryNanos())),
                "state",
                history.gaps().isEmpty() && history.hasStopped()
                        ? "never"
                        : "not as far as its record goes");
    }
}
