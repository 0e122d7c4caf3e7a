package frostrelay.audit.fleet;

import frostrelay.audit.Entry;
import frostrelay.audit.fleet.Clocks.Moment;
import frostrelay.audit.fleet.Kind.Version;
import frostrelay.peers.Stamp;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * What the records of a fleet say together. Moments are milliseconds from the first life's start,
 * as {@code [earliest, latest]}: where the order can't be known they overlap. What is missing is
 * named, never filled in.
 */
public final class Statement {
    private static final double MILLISECOND = 1e6;

    private final List<Life> lives;
    private final Clocks clocks;

    /**
     * {@code lives}: in any order; the one that is placed best by its peers becomes the reference.
     */
    public Statement(List<Life> lives) {
        this.lives = new ArrayList<>(lives);
        this.lives.sort((a, b) -> Long.compare(a.start().incarnation(), b.start().incarnation()));
        this.clocks = new Clocks(this.lives);
    }

    private static List<Object> ms(Moment moment) {
        return List.of(
                Math.round(moment.earliest() / MILLISECOND),
                Math.round(moment.latest() / MILLISECOND));
    }

    private static Map<String, Object> object(Object... pairs) {
        Map<String, Object> object = new LinkedHashMap<>();
        for (int i = 0; i < pairs.length; i += 2) {
            object.put((String) pairs[i], pairs[i + 1]);
        }
        return object;
    }

    /**
     * Every life: from when to when, how it ended, how it was placed, and what its record lacks.
     */
    public List<Map<String, Object>> told() {
        List<Map<String, Object>> told = new ArrayList<>();
        for (Life life : lives) {
            List<Object> gaps = new ArrayList<>();
            for (Entry.Gap gap : life.gaps()) {
                gaps.add(
                        object(
                                "from",
                                ms(clocks.moment(life, gap.from())),
                                "to",
                                ms(clocks.moment(life, gap.at())),
                                "entries",
                                gap.entries(),
                                "why",
                                gap.why()));
            }
            told.add(
                    object(
                            "balancer",
                            life.name(),
                            "life",
                            life.label(),
                            "rank",
                            life.start().rank(),
                            "from",
                            ms(clocks.moment(life, life.start().at())),
                            "last",
                            ms(clocks.moment(life, life.last())),
                            "end",
                            life.ended() ? "in order" : "unknown: its last entry is no end",
                            "placed",
                            clocks.offset(life).heard()
                                    ? "by what peers heard"
                                    : "by its wall clock alone",
                            "stamps",
                            life.acts().size(),
                            "gaps",
                            gaps,
                            "unreadBytes",
                            life.unread(),
                            "beginningLost",
                            life.beginningLost(),
                            "source",
                            life.source()));
        }
        return told;
    }

    /** Who acted on a version, and when. */
    public List<Map<String, Object>> who(Kind kind, String word) {
        List<Map<String, Object>> found = new ArrayList<>();
        for (Life life : lives) {
            for (int i = 0; i < life.acts().size(); i++) {
                Entry.Acts acts = life.acts().get(i);
                Version version = kind.of(acts.stamp());
                if (!version.matches(word)) {
                    continue;
                }
                int first = i;
                while (i + 1 < life.acts().size()
                        && kind.of(life.acts().get(i + 1).stamp()).equals(version)) {
                    i++;
                }
                boolean last = i + 1 == life.acts().size();
                found.add(
                        object(
                                "balancer",
                                life.name(),
                                "life",
                                life.label(),
                                "version",
                                version.text(),
                                "from",
                                ms(clocks.moment(life, acts.at())),
                                "to",
                                ms(clocks.moment(life, life.until(i))),
                                "why",
                                acts.cause().name().toLowerCase(java.util.Locale.ROOT),
                                "after",
                                last ? life.ended() ? "ended" : "unknown" : "something else",
                                "sends",
                                sends(
                                        life,
                                        life.acts().get(first).sequence(),
                                        life.acts().get(i).sequence())));
            }
        }
        return found;
    }

    private static long sends(Life life, int from, int to) {
        long sum = 0;
        for (Entry entry : life.entries()) {
            if (entry instanceof Entry.Counts counts
                    && counts.sequence() >= from
                    && counts.sequence() <= to) {
                for (int sends : counts.sends()) {
                    sum += sends;
                }
            }
        }
        return sum;
    }

    /**
     * For each version of a kind, from its first appearance on: when each balancer came to act on
     * it, how far that was behind the first, or that it never did as far as its record goes.
     */
    public List<Map<String, Object>> drift(Kind kind) {
        Map<Version, Map<Life, Entry.Acts>> begun = new LinkedHashMap<>();
        List<Object[]> order = new ArrayList<>();
        for (Life life : lives) {
            for (Entry.Acts acts : life.acts()) {
                order.add(new Object[] {clocks.moment(life, acts.at()), life, acts});
            }
        }
        order.sort((a, b) -> Long.compare(((Moment) a[0]).latest(), ((Moment) b[0]).latest()));
        for (Object[] one : order) {
            Entry.Acts acts = (Entry.Acts) one[2];
            begun.computeIfAbsent(kind.of(acts.stamp()), version -> new LinkedHashMap<>())
                    .putIfAbsent((Life) one[1], acts);
        }
        List<Map<String, Object>> told = new ArrayList<>();
        begun.forEach((version, byLife) -> told.add(drift(version, byLife)));
        return told;
    }

    private Map<String, Object> drift(Version version, Map<Life, Entry.Acts> byLife) {
        Life firstLife = byLife.keySet().iterator().next();
        Moment first = clocks.moment(firstLife, byLife.get(firstLife).at());
        List<Object> balancers = new ArrayList<>();
        for (Life life : lives) {
            Entry.Acts acts = byLife.get(life);
            if (acts != null) {
                Moment moment = clocks.moment(life, acts.at());
                balancers.add(
                        object(
                                "balancer",
                                life.name(),
                                "life",
                                life.label(),
                                "from",
                                ms(moment),
                                "behindMs",
                                List.of(
                                        Math.max(
                                                0,
                                                Math.round(
                                                        (moment.earliest() - first.latest())
                                                                / MILLISECOND)),
                                        Math.max(
                                                0,
                                                Math.round(
                                                        (moment.latest() - first.earliest())
                                                                / MILLISECOND))),
                                "why",
                                acts.cause().name().toLowerCase(java.util.Locale.ROOT)));
            } else if (!clocks.moment(life, life.last()).before(first)) {
                // It went on behind the first appearance and is not known to have taken it.
                balancers.add(
                        object(
                                "balancer",
                                life.name(),
                                "life",
                                life.label(),
                                "from",
                                null,
                                "until",
                                ms(clocks.moment(life, life.last())),
                                "state",
                                life.gaps().isEmpty() && life.ended()
                                        ? "never"
                                        : "not as far as its record goes"));
            }
        }
        return object("version", version.text(), "first", ms(first), "balancers", balancers);
    }

    /** One number with two contents, and who acted on which. */
    public List<Map<String, Object>> conflicts() {
        List<Map<String, Object>> told = new ArrayList<>();
        for (Kind kind : List.of(Kind.CONFIG, Kind.LIST)) {
            Map<Long, Map<Long, Set<String>>> contents = new TreeMap<>();
            for (Life life : lives) {
                for (Entry.Acts acts : life.acts()) {
                    Version version = kind.of(acts.stamp());
                    if (version.number() != Stamp.NO_NUMBER) {
                        contents.computeIfAbsent(version.number(), n -> new TreeMap<>())
                                .computeIfAbsent(version.digest(), d -> new LinkedHashSet<>())
                                .add(life.name());
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
                                                    object(
                                                            "version",
                                                            new Version(number, digest).text(),
                                                            "balancers",
                                                            List.copyOf(names))));
                            told.add(
                                    object(
                                            "kind",
                                            kind.word(),
                                            "number",
                                            number,
                                            "contents",
                                            each));
                        }
                    });
        }
        return told;
    }

    /**
     * What was sent to a cache after its drain was known anywhere in the fleet. {@code certain}:
     * sends surely behind it; {@code possible}: those that may be, as counts cover a span and
     * clocks are known to an interval.
     */
    public List<Map<String, Object>> afterDrain() {
        Map<String, Told> known = new TreeMap<>();
        List<Told> ready = new ArrayList<>();
        for (Life life : lives) {
            List<Entry.Lists> waiting = new ArrayList<>();
            for (Entry entry : life.entries()) {
                if (entry instanceof Entry.Lists lists) {
                    waiting.add(lists);
                } else if (entry instanceof Entry.Acts acts) {
                    for (Entry.Lists lists : waiting) {
                        Told one =
                                new Told(
                                        life,
                                        life.cache(lists.cache()),
                                        clocks.moment(life, lists.at()),
                                        acts.stamp().listRev());
                        if (lists.ready()) {
                            ready.add(one);
                        } else {
                            known.merge(
                                    one.cache,
                                    one,
                                    (a, b) -> a.moment.latest() <= b.moment.latest() ? a : b);
                        }
                    }
                    waiting.clear();
                }
            }
        }
        List<Map<String, Object>> told = new ArrayList<>();
        known.forEach(
                (cache, drain) -> {
                    // Back is what a later version of the list says; an old list that is taken late
                    // brings nothing back.
                    Moment end =
                            ready.stream()
                                    .filter(one -> one.cache.equals(cache) && one.rev > drain.rev)
                                    .map(Told::moment)
                                    .min((a, b) -> Long.compare(a.earliest(), b.earliest()))
                                    .orElse(null);
                    for (Life life : lives) {
                        long[] sums = sent(life, cache, drain.moment, end);
                        if (sums[1] > 0) {
                            told.add(
                                    object(
                                            "cache",
                                            cache,
                                            "drainKnown",
                                            ms(drain.moment),
                                            "firstKnownBy",
                                            drain.life.name(),
                                            "balancer",
                                            life.name(),
                                            "life",
                                            life.label(),
                                            "certain",
                                            sums[0],
                                            "possible",
                                            sums[1]));
                        }
                    }
                });
        return told;
    }

    /** What a list of some version said of a cache, and when it was taken. */
    private record Told(Life life, String cache, Moment moment, long rev) {}

    private long[] sent(Life life, String cache, Moment known, Moment back) {
        boolean each = life.entries().stream().anyMatch(Entry.Sent.class::isInstance);
        long certain = 0;
        long possible = 0;
        long previous = 0;
        for (Entry entry : life.entries()) {
            long sends = 0;
            long from = entry.at();
            if (each
                    && entry instanceof Entry.Sent sent
                    && life.cache(sent.cache()).equals(cache)) {
                sends = 1;
            } else if (entry instanceof Entry.Counts counts) {
                from = previous;
                previous = counts.at();
                for (int i = 0; i < counts.caches().length && !each; i++) {
                    sends += life.cache(counts.caches()[i]).equals(cache) ? counts.sends()[i] : 0;
                }
            }
            if (sends > 0) {
                Moment begin = clocks.moment(life, from);
                Moment end = clocks.moment(life, entry.at());
                if (back == null || begin.earliest() < back.latest()) {
                    certain +=
                            known.latest() < begin.earliest() && (back == null || end.before(back))
                                    ? sends
                                    : 0;
                    possible += known.earliest() < end.latest() ? sends : 0;
                }
            }
        }
        return new long[] {certain, possible};
    }

    /** What contradicts itself or another record, in words; empty where all of it fits together. */
    public List<String> verify() {
        List<String> wrong = new ArrayList<>();
        Map<String, String> seen = new HashMap<>();
        for (Life life : lives) {
            String before = seen.put(life.label(), life.source());
            if (before != null) {
                wrong.add(
                        life.label()
                                + ": two records of one life, "
                                + before
                                + " and "
                                + life.source());
            }
            within(life, wrong);
            between(life, wrong);
        }
        return wrong;
    }

    private void within(Life life, List<String> wrong) {
        long at = Long.MIN_VALUE;
        int sequence = -1;
        boolean gap = life.beginningLost();
        for (Entry entry : life.entries()) {
            if (entry instanceof Entry.Resumes) {
                at = Long.MIN_VALUE;
                continue;
            }
            if (entry.at() < at
                    && !(entry instanceof Entry.Lists)
                    && !(entry instanceof Entry.Names)) {
                wrong.add(
                        life.label()
                                + ": an entry of "
                                + entry.at()
                                + " ns stands behind one of "
                                + at
                                + " ns");
            }
            at = Math.max(at, entry.at());
            gap |= entry instanceof Entry.Gap;
            if (entry instanceof Entry.Acts acts) {
                if (acts.sequence() != sequence + 1 && !gap) {
                    wrong.add(
                            life.label()
                                    + ": stamp "
                                    + acts.sequence()
                                    + " stands behind stamp "
                                    + sequence
                                    + " and no gap is named");
                }
                sequence = acts.sequence();
            } else if (entry instanceof Entry.Counts counts
                    && counts.sequence() > sequence
                    && !gap) {
                wrong.add(
                        life.label()
                                + ": sends under stamp "
                                + counts.sequence()
                                + ", which had not begun");
            } else if (entry instanceof Entry.Sent sent && sent.sequence() > sequence && !gap) {
                wrong.add(
                        life.label()
                                + ": a send under stamp "
                                + sent.sequence()
                                + ", which had not begun");
            }
        }
    }

    /**
     * What it heard of others against what they entered themselves, where their records reach that
     * far.
     */
    private void between(Life life, List<String> wrong) {
        for (Entry entry : life.entries()) {
            if (!(entry instanceof Entry.Heard heard)) {
                continue;
            }
            for (Life other : lives) {
                if (!other.is(heard.rank(), heard.incarnation())) {
                    continue;
                }
                for (Entry.Acts acts : other.acts()) {
                    if ((acts.sequence() & 0xffff) != heard.sequence()) {
                        continue;
                    }
                    if (acts.stamp().ref() != heard.ref()) {
                        wrong.add(
                                life.label()
                                        + " heard that "
                                        + other.label()
                                        + " acts on "
                                        + Integer.toHexString(heard.ref())
                                        + " as its stamp "
                                        + heard.sequence()
                                        + "; its own record has "
                                        + Integer.toHexString(acts.stamp().ref()));
                    } else if (clocks.offset(life).heard()
                            && clocks.offset(other).heard()
                            && clocks.moment(life, heard.at())
                                    .before(clocks.moment(other, acts.at()))) {
                        wrong.add(
                                life.label()
                                        + " heard of stamp "
                                        + heard.sequence()
                                        + " of "
                                        + other.label()
                                        + " before that began");
                    }
                }
            }
        }
    }

    /** Each balancer's stamps across time, for a picture: rows of spans. */
    public List<Map<String, Object>> spans(Kind kind) {
        List<Map<String, Object>> rows = new ArrayList<>();
        List<Life> named = new ArrayList<>(lives);
        named.sort((a, b) -> a.label().compareTo(b.label()));
        for (Life life : named) {
            List<Object> spans = new ArrayList<>();
            for (int i = 0; i < life.acts().size(); i++) {
                Entry.Acts acts = life.acts().get(i);
                Moment from = clocks.moment(life, acts.at());
                Moment to = clocks.moment(life, life.until(i));
                spans.add(
                        object(
                                "version",
                                kind.of(acts.stamp()).text(),
                                "from",
                                ms(from),
                                "to",
                                ms(to)));
            }
            List<Object> gaps = new ArrayList<>();
            for (Entry.Gap gap : life.gaps()) {
                gaps.add(
                        List.of(
                                ms(clocks.moment(life, gap.from())).get(0),
                                ms(clocks.moment(life, gap.at())).get(1)));
            }
            rows.add(
                    object(
                            "balancer",
                            life.name(),
                            "life",
                            life.label(),
                            "spans",
                            spans,
                            "gaps",
                            gaps));
        }
        return rows;
    }
}
