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
    private static final int EVERY = 4;
    /** Caches of six that hearsay may take away. */
    private static final int AWAY = 2;
    /** Sends that slip through while a peer is suspected or its word is lost again and again. */
    private static final int TOLERATED = 12;
    private static final long WINDOW = 2_000 * MILLISECOND;
    private static final int BUSY = 50;

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
        traffic();
        atTheEnd();
        quiet();
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
        Map<String, Integer> proved = new HashMap<>();
        for (History.Command command : history.commands()) {
            commands++;
            int knowers = 0;
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
                    knowers++;
                }
            }
            stale += knowers > 0 ? 1 : 0;
            long newest = names.stream().mapToLong(name -> rev(told, name, command.at())).max().orElse(1);
            long out = versions.getOrDefault(newest, Map.of()).values().stream().filter(state -> !state.startsWith("Ready")).count();
            // Two that could be heard knew it, no more caches are away than may be avoided, and it had time to hear them.
            if (knowers >= 2 && out <= AWAY && ran(me, command.at() - 2 * KNOWN, command.at())) {
                proved.merge(command.balancer(), 1, Integer::sum);
            }
        }
        proved.forEach((name, sends) -> {
            if (sends > TOLERATED) {
                found.add(new Violation("hearsay", name + " sent " + sends + " commands to caches that two others, which it"
                        + " could hear, had known as draining for a second and more"));
            }
        });
    }

    /**
     * No balancer leaves more caches alone than hearsay may take away, and at the end hardly any that its list names. A
     * balancer sends so much that a cache of six that it uses is not passed over by chance for two seconds.
     */
    private void traffic() {
        Map<Long, Map<String, String>> versions = history.versions();
        Map<String, List<History.Told>> told = new HashMap<>();
        history.told().forEach(one -> told.computeIfAbsent(one.balancer(), name -> new ArrayList<>()).add(one));
        for (String name : names) {
            int balancer = names.indexOf(name);
            for (long from = WINDOW; from + WINDOW <= end; from += WINDOW / 2) {
                long to = from + WINDOW;
                long begin = from;
                Map<String, Integer> sends = new HashMap<>();
                history.commands().stream().filter(one -> one.balancer().equals(name) && one.at() >= begin && one.at() < to)
                        .forEach(one -> sends.merge(one.cache(), 1, Integer::sum));
                int all = sends.values().stream().mapToInt(Integer::intValue).sum();
                if (all < BUSY || !ran(balancer, from - WINDOW, to) || cutFromCaches(balancer, from, to)) {
                    continue;
                }
                Map<String, String> list = versions.getOrDefault(rev(told, name, from), Map.of());
                Map<String, String> later = versions.getOrDefault(rev(told, name, to), Map.of());
                long alone = list.keySet().stream().filter(cache -> list.get(cache).startsWith("Ready")
                        && later.getOrDefault(cache, "").startsWith("Ready") && !sends.containsKey(cache)).count();
                boolean last = to + WINDOW / 2 > end;
                // One that has just come back is taken up slowly.
                if (alone > (last ? 1 : AWAY)) {
                    found.add(new Violation("traffic", String.format(Locale.ROOT,
                            "%s sent nothing to %d caches that its list names as ready, from %.1f to %.1f s, and %d commands to"
                            + " others", name, alone, from / 1e9, to / 1e9, all)));
                }
            }
        }
    }

    private boolean cutFromCaches(int balancer, long from, long to) {
        return history.spans().stream().anyMatch(span -> span.from() <= to && span.to() >= from
                && (span.happening().kind() == Happening.Kind.CACHE_RESTART
                || span.happening().kind() == Happening.Kind.CACHE_CUT && span.happening().who().contains(balancer)));
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

    /** Who was given a configuration and no signal has taken it, once others acted on it for a while. */
    private void quiet() {
        for (History.Configured one : history.configured()) {
            if (one.told() || !ran(one.balancer(), end - CURRENT, end) || one.at() > end - 3 * CURRENT) {
                continue;
            }
            String name = names.get(one.balancer());
            boolean taken = records.getOrDefault(name, List.of()).stream().flatMap(life -> life.acts.stream())
                    .anyMatch(acts -> acts.confNumber() == one.number() && acts.confDigest() == one.digest());
            if (!taken) {
                found.add(new Violation("current", name + " never took configuration " + one.number()
                        + ", which lay in its place and which others acted on"));
            }
        }
    }

    private void aside() {
        int most = (int) Math.ceil(names.size() * PART);
        int out = 0;
        for (long[] one : asides) {
            out += one[2];
            if (one[2] > 0 && one[1] % EVERY != EVERY - 1) {
                found.add(new Violation("aside", names.get((int) one[1]) + " stepped aside and has no place to"));
            }
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
