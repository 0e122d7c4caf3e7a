package frostrelay.rig.campaign;

import frostrelay.rig.campaign.History.What;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * What the stand-ins saw of balancers that lag behind: sends to caches that another, which could be heard, knew as not to be
 * used; who acts on what at the end; how many were aside at once. A pure function; it shares no code with the balancer.
 */
final class StragglerCheck {
    private static final long MILLISECOND = 1_000_000L;
    /** What another was told it acts on and tells within this: the drain's grace, and news at its slowest in calm. */
    private static final long KNOWN = 1_000 * MILLISECOND;
    private static final long CURRENT = 2_000 * MILLISECOND;
    private static final double PART = 0.25;

    private final History history;
    private final List<String> names;
    private final Map<String, List<AuditRecord>> records;
    private final List<long[]> asides;
    private final long end;
    private final List<Violation> found = new ArrayList<>();
    private int stale;
    private int commands;
    private int mostAside;

    /** {@code asides}: who stepped aside (1) or came back (-1), as {moment, balancer, step}, in the order of the moments. */
    StragglerCheck(History history, Map<String, List<AuditRecord>> records, List<String> names, List<long[]> asides, long end) {
        this.history = history;
        this.records = records;
        this.names = names;
        this.asides = asides;
        this.end = end;
    }

    List<Violation> run() {
        staleSends();
        atTheEnd();
        aside();
        return found;
    }

    Map<String, Object> figures() {
        Map<String, Object> figures = new LinkedHashMap<>();
        figures.put("staleSends", stale);
        figures.put("sends", commands);
        figures.put("mostAside", mostAside);
        return figures;
    }

    /** Sends to a cache that another, which this one could hear, had been told is not to be used a while before. */
    private void staleSends() {
        Map<String, List<History.Told>> told = new HashMap<>();
        history.told().forEach(one -> told.computeIfAbsent(one.balancer(), name -> new ArrayList<>()).add(one));
        Map<Long, Map<String, String>> versions = history.versions();
        for (History.Command command : history.commands()) {
            commands++;
            long mine = rev(told, command.balancer(), command.at());
            int me = names.indexOf(command.balancer());
            for (String other : names) {
                int them = names.indexOf(other);
                if (them == me || !ran(them, command.at() - 2 * KNOWN, command.at())
                        || apart(them, me, command.at() - 2 * KNOWN, command.at())) {
                    continue;
                }
                long before = rev(told, other, command.at() - KNOWN);
                long now = rev(told, other, command.at());
                if (before > mine && !usable(versions, before, command.cache()) && !usable(versions, now, command.cache())) {
                    stale++;
                    break;
                }
            }
        }
    }

    private static boolean usable(Map<Long, Map<String, String>> versions, long rev, String cache) {
        Map<String, String> list = versions.get(rev);
        return list == null || list.getOrDefault(cache, "").startsWith("Ready");
    }

    private long rev(Map<String, List<History.Told>> told, String balancer, long at) {
        long rev = 1;
        for (History.Told one : told.getOrDefault(balancer, List.of())) {
            if (one.at() <= at) {
                rev = Math.max(rev, one.rev());
            }
        }
        return rev;
    }

    private boolean ran(int balancer, long from, long to) {
        boolean up = false;
        for (History.Process one : history.processes()) {
            if (one.balancer() == balancer && one.what() != What.WALL && one.at() <= to) {
                up = one.what() == What.STARTED || one.what() == What.THAWED || one.what() == What.FED;
                if (one.at() >= from && one.at() > 0 && one.what() != What.STARTED) {
                    return false;
                }
            }
        }
        return up;
    }

    private boolean apart(int from, int to, long begin, long end) {
        return history.spans().stream().filter(span -> span.from() <= end && span.to() >= begin).map(History.Span::happening)
                .anyMatch(one -> one.kind() == Happening.Kind.PARTITION && one.who().contains(from) != one.who().contains(to)
                        || one.kind() == Happening.Kind.SILENCE && one.who().contains(from) && one.whom().contains(to));
    }

    /** Everything has been healed for a while: all that run act on the newest list. */
    private void atTheEnd() {
        long newest = history.versions().keySet().stream().mapToLong(Long::longValue).max().orElse(0);
        for (String name : names) {
            int balancer = names.indexOf(name);
            if (!ran(balancer, end - CURRENT, end)) {
                continue;
            }
            long acts = records.getOrDefault(name, List.of()).stream().flatMap(life -> life.acts.stream())
                    .mapToLong(AuditRecord.Acts::listRev).max().orElse(0);
            if (acts < newest) {
                found.add(new Violation("current", String.format(Locale.ROOT,
                        "%s acts on list %d at the end, healed for two seconds; the newest is %d", name, acts, newest)));
            }
        }
    }

    private void aside() {
        int most = (int) Math.ceil(names.size() * PART);
        int out = 0;
        for (long[] one : asides) {
            out += one[2];
            mostAside = Math.max(mostAside, out);
            if (out > most) {
                found.add(new Violation("aside", out + " balancers are aside at " + one[0] / 1e9 + " s, of " + names.size()));
            }
        }
        if (out > 0) {
            found.add(new Violation("aside", out + " balancers are aside at the end"));
        }
    }
}
