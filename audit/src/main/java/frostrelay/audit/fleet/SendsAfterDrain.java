package frostrelay.audit.fleet;

import static frostrelay.audit.fleet.JsonRows.jsonObject;
import static frostrelay.audit.fleet.JsonRows.toMillis;

import frostrelay.audit.Entry;
import frostrelay.audit.fleet.ClockAlignment.TimeInterval;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Counts sends to caches that were already draining in any balancer's endpoint list. */
final class SendsAfterDrain {
    private final List<IncarnationHistory> histories;
    private final ClockAlignment clocks;

    /** The first known drain of each cache. */
    private final Map<String, ReadinessChange> drains = new TreeMap<>();

    private final List<ReadinessChange> ready = new ArrayList<>();

    SendsAfterDrain(List<IncarnationHistory> histories, ClockAlignment clocks) {
        this.histories = histories;
        this.clocks = clocks;
        histories.forEach(this::collectChanges);
    }

    /** The state of a cache in a revision of the endpoint list, and when the list was applied. */
    private record ReadinessChange(
            IncarnationHistory history, String cache, TimeInterval interval, long listRevision) {}

    /** Numbers of sends that were certainly and possibly within a drain. */
    private record SendTotals(long certain, long possible) {}

    /**
     * The time span of a cache's drain; {@code end} is null if the cache did not become ready
     * again.
     */
    private record Drain(TimeInterval begin, TimeInterval end) {
        boolean mayContain(TimeInterval sendsBegin) {
            return end == null || sendsBegin.earliestNanos() < end.latestNanos();
        }

        boolean certainlyContains(TimeInterval sendsBegin, TimeInterval sendsEnd) {
            return begin.latestNanos() < sendsBegin.earliestNanos()
                    && (end == null || sendsEnd.isBefore(end));
        }

        boolean possiblyBegunBy(TimeInterval sendsEnd) {
            return begin.earliestNanos() < sendsEnd.latestNanos();
        }
    }

    /** Collects changes; endpoint entries precede the entry of the list revision they belong to. */
    private void collectChanges(IncarnationHistory history) {
        List<Entry.EndpointListed> pending = new ArrayList<>();
        for (Entry entry : history.entries()) {
            if (entry instanceof Entry.EndpointListed listed) {
                pending.add(listed);
            } else if (entry instanceof Entry.VersionsApplied applied) {
                for (Entry.EndpointListed listed : pending) {
                    addChange(history, listed, applied.versions().listRevision());
                }
                pending.clear();
            }
        }
    }

    private void addChange(
            IncarnationHistory history, Entry.EndpointListed listed, long listRevision) {
        ReadinessChange change =
                new ReadinessChange(
                        history,
                        history.cacheName(listed.cache()),
                        clocks.intervalOf(history, listed.atNanos()),
                        listRevision);
        if (listed.ready()) {
            ready.add(change);
        } else {
            drains.merge(change.cache, change, SendsAfterDrain::earlierOf);
        }
    }

    private static ReadinessChange earlierOf(ReadinessChange a, ReadinessChange b) {
        return a.interval.latestNanos() <= b.interval.latestNanos() ? a : b;
    }

    /** See {@link FleetAudit#sendsAfterDrain}. */
    List<Map<String, Object>> rows() {
        List<Map<String, Object>> rows = new ArrayList<>();
        drains.forEach(
                (cache, drain) -> {
                    Drain span = new Drain(drain.interval, readyAgain(drain));
                    for (IncarnationHistory history : histories) {
                        SendTotals totals = countSends(history, cache, span);
                        if (totals.possible > 0) {
                            rows.add(row(drain, history, totals));
                        }
                    }
                });
        return rows;
    }

    private static Map<String, Object> row(
            ReadinessChange drain, IncarnationHistory history, SendTotals totals) {
        return jsonObject(
                "cache",
                drain.cache,
                "drainKnown",
                toMillis(drain.interval),
                "firstKnownBy",
                drain.history.name(),
                "balancer",
                history.name(),
                "life",
                history.label(),
                "certain",
                totals.certain,
                "possible",
                totals.possible);
    }

    /**
     * Returns when a cache was ready again, or null. Only a later revision of the list counts, as
     * an older one may be applied late.
     */
    private TimeInterval readyAgain(ReadinessChange drain) {
        return ready.stream()
                .filter(
                        change ->
                                change.cache.equals(drain.cache)
                                        && change.listRevision > drain.listRevision)
                .map(ReadinessChange::interval)
                .min(Comparator.comparingLong(TimeInterval::earliestNanos))
                .orElse(null);
    }

    /**
     * Counts from entries of single sends if the record has any, otherwise from interval counts.
     */
    private SendTotals countSends(IncarnationHistory history, String cache, Drain drain) {
        boolean hasEachSend =
                history.entries().stream().anyMatch(Entry.AttemptSent.class::isInstance);
        long certain = 0;
        long possible = 0;
        long countsFromNanos = 0;
        for (Entry entry : history.entries()) {
            long sends = 0;
            long fromNanos = entry.atNanos();
            if (entry instanceof Entry.AttemptSent sent) {
                sends = history.cacheName(sent.cache()).equals(cache) ? 1 : 0;
            } else if (entry instanceof Entry.SendCounts counts) {
                fromNanos = countsFromNanos;
                countsFromNanos = counts.atNanos();
                sends = hasEachSend ? 0 : sendsTo(history, cache, counts);
            }
            if (sends == 0) {
                continue;
            }
            TimeInterval begin = clocks.intervalOf(history, fromNanos);
            TimeInterval end = clocks.intervalOf(history, entry.atNanos());
            if (drain.mayContain(begin)) {
                certain += drain.certainlyContains(begin, end) ? sends : 0;
                possible += drain.possiblyBegunBy(end) ? sends : 0;
            }
        }
        return new SendTotals(certain, possible);
    }

    private static long sendsTo(IncarnationHistory history, String cache, Entry.SendCounts counts) {
        long sends = 0;
        for (int i = 0; i < counts.caches().length; i++) {
            if (history.cacheName(counts.caches()[i]).equals(cache)) {
                sends += counts.sends()[i];
            }
        }
        return sends;
    }
}
