package frostrelay.audit.fleet;

import static frostrelay.audit.fleet.JsonRows.jsonObject;
import static frostrelay.audit.fleet.JsonRows.toMillis;

import frostrelay.audit.Entry;
import frostrelay.audit.fleet.AuditedVersionKind.Version;
import frostrelay.audit.fleet.ClockAlignment.TimeInterval;
import frostrelay.gossip.AppliedVersions;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Queries over the audit records of a fleet. Results are rows as {@code frostrelay audit --json}
 * prints them. Times are milliseconds from the start of the first incarnation, as {@code [earliest,
 * latest]}: if the order of two events is unknown, their intervals overlap. Missing entries are
 * reported, never interpolated.
 */
public final class FleetAudit {
    private final List<IncarnationHistory> histories;
    private final ClockAlignment clocks;

    /**
     * Aligns the clocks of incarnations.
     *
     * @param histories in any order; the first incarnation to start is the reference
     */
    public FleetAudit(List<IncarnationHistory> histories) {
        this.histories = new ArrayList<>(histories);
        this.histories.sort(
                (a, b) -> Long.compare(a.start().incarnation(), b.start().incarnation()));
        this.clocks = new ClockAlignment(this.histories);
    }

    /**
     * Describes each incarnation: start and end, how it ended, how its clock was aligned, and the
     * gaps in its record.
     */
    public List<Map<String, Object>> describeRecords() {
        List<Map<String, Object>> rows = new ArrayList<>();
        for (IncarnationHistory history : histories) {
            List<Object> gaps = new ArrayList<>();
            for (Entry.Gap gap : history.gaps()) {
                gaps.add(
                        jsonObject(
                                "from",
                                toMillis(clocks.intervalOf(history, gap.fromNanos())),
                                "to",
                                toMillis(clocks.intervalOf(history, gap.atNanos())),
                                "entries",
                                gap.lostEntries(),
                                "why",
                                gap.reason()));
            }
            rows.add(
                    jsonObject(
                            "balancer",
                            history.name(),
                            "life",
                            history.label(),
                            "rank",
                            history.start().rank(),
                            "from",
                            toMillis(clocks.intervalOf(history, history.start().atNanos())),
                            "last",
                            toMillis(clocks.intervalOf(history, history.lastEntryNanos())),
                            "end",
                            history.hasStopped() ? "in order" : "unknown: its last entry is no end",
                            "placed",
                            clocks.offset(history).fromPeerSamples()
                                    ? "by what peers heard"
                                    : "by its wall clock alone",
                            "stamps",
                            history.appliedVersions().size(),
                            "gaps",
                            gaps,
                            "unreadBytes",
                            history.unreadBytes(),
                            "beginningLost",
                            history.beginningLost(),
                            "source",
                            history.source()));
        }
        return rows;
    }

    /** Returns the balancers that acted on a version, when, and their number of sends under it. */
    public List<Map<String, Object>> applicationsOf(AuditedVersionKind kind, String versionQuery) {
        List<Map<String, Object>> found = new ArrayList<>();
        for (IncarnationHistory history : histories) {
            for (int i = 0; i < history.appliedVersions().size(); i++) {
                Entry.VersionsApplied applied = history.appliedVersions().get(i);
                Version version = kind.versionIn(applied.versions());
                if (!version.matches(versionQuery)) {
                    continue;
                }
                int first = i;
                while (i + 1 < history.appliedVersions().size()
                        && kind.versionIn(history.appliedVersions().get(i + 1).versions())
                                .equals(version)) {
                    i++;
                }
                boolean last = i + 1 == history.appliedVersions().size();
                found.add(
                        jsonObject(
                                "balancer",
                                history.name(),
                                "life",
                                history.label(),
                                "version",
                                version.text(),
                                "from",
                                toMillis(clocks.intervalOf(history, applied.atNanos())),
                                "to",
                                toMillis(clocks.intervalOf(history, history.appliedUntilNanos(i))),
                                "why",
                                applied.cause().name().toLowerCase(Locale.ROOT),
                                "after",
                                last
                                        ? history.hasStopped() ? "ended" : "unknown"
                                        : "something else",
                                "sends",
                                countSends(
                                        history,
                                        history.appliedVersions().get(first).sequence(),
                                        history.appliedVersions().get(i).sequence())));
            }
        }
        return found;
    }

    private static long countSends(
            IncarnationHistory history, int firstSequence, int lastSequence) {
        long sum = 0;
        for (Entry entry : history.entries()) {
            if (entry instanceof Entry.SendCounts counts
                    && counts.sequence() >= firstSequence
                    && counts.sequence() <= lastSequence) {
                for (int sends : counts.sends()) {
                    sum += sends;
                }
            }
        }
        return sum;
    }

    /** Returns version numbers with more than one content, and the balancers that acted on each. */
    public List<Map<String, Object>> conflicts() {
        List<Map<String, Object>> rows = new ArrayList<>();
        for (AuditedVersionKind kind :
                List.of(AuditedVersionKind.CONFIG, AuditedVersionKind.LIST)) {
            Map<Long, Map<Long, Set<String>>> contents = new TreeMap<>();
            for (IncarnationHistory history : histories) {
                for (Entry.VersionsApplied applied : history.appliedVersions()) {
                    Version version = kind.versionIn(applied.versions());
                    if (version.number() != AppliedVersions.NO_NUMBER) {
                        contents.computeIfAbsent(version.number(), n -> new TreeMap<>())
                                .computeIfAbsent(version.digest(), d -> new LinkedHashSet<>())
                                .add(history.name());
                    }
                }
            }
            contents.forEach(
                    (number, digests) -> {
                        if (digests.size() > 1) {
                            List<Object> each = new ArrayList<>();
                            digests.forEach(
                                    (digest, names) ->
                                            each.add(
                                                    jsonObject(
                                                            "version",
                                                            new Version(number, digest).text(),
                                                            "balancers",
                                                            List.copyOf(names))));
                            rows.add(
                                    jsonObject(
                                            "kind",
                                            kind.label(),
                                            "number",
                                            number,
                                            "contents",
                                            each));
                        }
                    });
        }
        return rows;
    }

    /**
     * Returns, for each version of a kind in order of first appearance, when each balancer applied
     * it and how long after the first one, or that its record does not show it as applied.
     */
    public List<Map<String, Object>> drift(AuditedVersionKind kind) {
        return new VersionDrift(histories, clocks).rows(kind);
    }

    /**
     * Returns the sends to a cache after any balancer of the fleet knew of its drain. {@code
     * certain}: sends that were certainly later; {@code possible}: sends that may have been later,
     * as counts cover a time span and clocks are aligned only to an interval.
     */
    public List<Map<String, Object>> sendsAfterDrain() {
        return new SendsAfterDrain(histories, clocks).rows();
    }

    /** Describes contradictions within and between records; empty if there are none. */
    public List<String> verify() {
        return new RecordVerification(histories, clocks).verify();
    }

    /**
     * Returns the applied versions of each balancer over time, for a diagram: one row of spans for
     * each incarnation.
     */
    public List<Map<String, Object>> spans(AuditedVersionKind kind) {
        List<Map<String, Object>> rows = new ArrayList<>();
        List<IncarnationHistory> named = new ArrayList<>(histories);
        named.sort((a, b) -> a.label().compareTo(b.label()));
        for (IncarnationHistory history : named) {
            List<Object> spans = new ArrayList<>();
            for (int i = 0; i < history.appliedVersions().size(); i++) {
                Entry.VersionsApplied applied = history.appliedVersions().get(i);
                TimeInterval from = clocks.intervalOf(history, applied.atNanos());
                TimeInterval to = clocks.intervalOf(history, history.appliedUntilNanos(i));
                spans.add(
                        jsonObject(
                                "version",
                                kind.versionIn(applied.versions()).text(),
                                "from",
                                toMillis(from),
                                "to",
                                toMillis(to)));
            }
            List<Object> gaps = new ArrayList<>();
            for (Entry.Gap gap : history.gaps()) {
                gaps.add(
                        List.of(
                                toMillis(clocks.intervalOf(history, gap.fromNanos())).get(0),
                                toMillis(clocks.intervalOf(history, gap.atNanos())).get(1)));
            }
            rows.add(
                    jsonObject(
                            "balancer",
                            history.name(),
                            "life",
                            history.label(),
                            "spans",
                            spans,
                            "gaps",
                            gaps));
        }
        return rows;
    }
}
