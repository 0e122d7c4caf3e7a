package frostrelay.rig.campaign;

import frostrelay.rig.campaign.History.Configured;
import frostrelay.rig.campaign.History.What;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Holds what balancers' records say against what the stand-ins saw. A pure function of both; it
 * shares no code with the balancer. What a record may not know, by its own statement or because its
 * process was killed, is not held against it.
 */
public final class AuditCheck {
    private static final long MILLISECOND = 1_000_000L;

    /** The record's stated tail, 100 ms, and the time in which this rig's own kill takes effect. */
    private static final long TAIL = 250 * MILLISECOND;

    /**
     * How far a record's moments may be from the rig's: wall clocks of a millisecond, read at two
     * places, and a pause.
     */
    private static final long APART = 60 * MILLISECOND;

    /** From being told to acting on it, on a machine that other processes share. */
    private static final long TAKES = 1_000 * MILLISECOND;

    /** News is known within this, or somebody could not be reached. */
    private static final long KNOWN = 2_000 * MILLISECOND;

    /** A balancer hears of a file by a signal, behind which it reads it. */
    private static final long RELOADS = 2_000 * MILLISECOND;

    /** Three doubtful periods behind the turn of a probe, in a tier of twelve. */
    private static final long FORGOTTEN = 12_000 * MILLISECOND;

    private static final int MOST = 200;

    private final History history;
    private final Map<String, List<AuditRecord>> records;
    private final List<String> names;
    private final boolean handsOver;
    private final long end;
    private final List<Violation> found = new ArrayList<>();
    private final List<Long> knownAfter = new ArrayList<>();
    private int commandsChecked;
    private int commandsUnknown;
    private int late;

    /**
     * {@code records}: of all lives, by balancer; {@code names}: balancers in their order; {@code
     * handsOver}: whether one may act on a configuration that another was given; {@code end}: of
     * the play.
     */
    AuditCheck(
            History history,
            Map<String, List<AuditRecord>> records,
            List<String> names,
            boolean handsOver,
            long end) {
        this.handsOver = handsOver;
        this.history = history;
        this.records = records;
        this.names = names;
        this.end = end;
    }

    /** Everything that does not fit; at most so many that a person would read. */
    List<Violation> run() {
        lives();
        commands();
        stamps();
        counts();
        heard();
        news();
        unknown();
        return found.size() > MOST ? found.subList(0, MOST) : found;
    }

    /**
     * How many commands were held against a statement, how many no record could know, and times to
     * know in ms.
     */
    Map<String, Object> figures() {
        Map<String, Object> figures = new LinkedHashMap<>();
        figures.put("commands", commandsChecked);
        figures.put("beyondTheRecord", commandsUnknown);
        figures.put(
                "knownAfterMs",
                knownAfter.stream().map(nanos -> nanos / MILLISECOND).sorted().toList());
        figures.put("knownLate", late);
        return figures;
    }

    private void violation(String check, String form, Object... values) {
        found.add(new Violation(check, String.format(Locale.ROOT, form, values)));
    }

    // Moments.

    private int place(AuditRecord record) {
        return names.indexOf(record.balancer);
    }

    /**
     * When, by the rig's clock, something of a life was. A life's wall clock is off by what the rig
     * had set when it started that process: of all starts the one that it fits closest behind.
     */
    long moment(AuditRecord record, long at) {
        long began = history.ofWall(record.wallMs, 0);
        long closest = Long.MAX_VALUE;
        for (History.Process one : history.processes()) {
            if (one.balancer() == place(record) && one.what() == What.STARTED) {
                long behind = history.ofWall(record.wallMs, one.offset()) - one.at();
                if (behind >= -APART && behind < closest) {
                    closest = behind;
                    began = one.at() + behind;
                }
            }
        }
        return began + at;
    }

    /** Whether a balancer's process ran undisturbed all through a span, as one process. */
    private boolean ran(int balancer, long from, long to) {
        Boolean up = null;
        for (History.Process one : history.processes()) {
            if (one.balancer() != balancer) {
                continue;
            }
            boolean inside = one.at() >= from - APART && one.at() <= to + APART;
            switch (one.what()) {
                case WALL -> {}
                case STARTED, THAWED, FED -> {
                    if (inside) {
                        return false;
                    }
                    up = one.at() < from ? Boolean.TRUE : up;
                }
                default -> {
                    if (inside) {
                        return false;
                    }
                    up = one.at() < from ? Boolean.FALSE : up;
                }
            }
        }
        return Boolean.TRUE.equals(up);
    }

    /**
     * When a life of a balancer was ended by SIGKILL and could not write any more: from when on
     * nothing is on its disk.
     */
    private boolean inLostTail(int balancer, long at) {
        long frozen = Long.MIN_VALUE;
        for (History.Process one : history.processes()) {
            if (one.balancer() != balancer) {
                continue;
            }
            if (one.what() == What.FROZEN || one.what() == What.STARVED) {
                frozen = one.at();
            } else if (one.what() == What.THAWED || one.what() == What.FED) {
                frozen = Long.MIN_VALUE;
            } else if (one.what() == What.KILLED) {
                long from = (frozen == Long.MIN_VALUE ? one.at() : frozen) - TAIL;
                if (at >= from && at <= one.at() + TAIL) {
                    return true;
                }
            }
        }
        return false;
    }

    private boolean inGap(AuditRecord record, long at) {
        for (AuditRecord.Gap gap : record.gaps) {
            if (at >= moment(record, gap.from()) - APART && at <= moment(record, gap.to()) + TAIL) {
                return true;
            }
        }
        return false;
    }

    /**
     * Whether the folder of its record was away: what it could not write at all it can only say on
     * its console.
     */
    private boolean diskAway(int balancer, long at) {
        for (History.Span span : history.spans()) {
            if (span.happening().kind() == Happening.Kind.DISK
                    && span.happening().who().contains(balancer)
                    && at >= span.from() - TAIL
                    && at <= span.to() + TAIL) {
                return true;
            }
        }
        return false;
    }

    // Checks.

    /**
     * Every life that the rig began has a record with an incarnation of its own, and ends as it
     * did.
     */
    private void lives() {
        Set<Long> all = new HashSet<>();
        for (String name : names) {
            int balancer = names.indexOf(name);
            List<AuditRecord> lives = records.getOrDefault(name, List.of());
            long starts =
                    history.processes().stream()
                            .filter(one -> one.balancer() == balancer && one.what() == What.STARTED)
                            .count();
            boolean excused =
                    history.spans().stream()
                                    .anyMatch(
                                            span ->
                                                    span.happening().kind() == Happening.Kind.DISK
                                                            && span.happening()
                                                                    .who()
                                                                    .contains(balancer))
                            || killedYoung(balancer);
            if (lives.size() != starts && !excused || lives.size() > starts) {
                violation(
                        "lives",
                        "%s was started %d times and has records of %d lives",
                        name,
                        starts,
                        lives.size());
            }
            for (AuditRecord life : lives) {
                if (!all.add(life.incarnation * 31 + balancer)) {
                    violation(
                            "lives",
                            "%s: two lives go by the incarnation %x",
                            name,
                            life.incarnation);
                }
                if (life.rank != balancer || !life.name.equals(name)) {
                    violation(
                            "lives",
                            "the record of %s says it is %s, number %d",
                            name,
                            life.name,
                            life.rank);
                }
            }
        }
    }

    private boolean killedYoung(int balancer) {
        long started = 0;
        for (History.Process one : history.processes()) {
            if (one.balancer() == balancer) {
                if (one.what() == What.STARTED) {
                    started = one.at();
                } else if (one.what() == What.KILLED && one.at() - started < 1_000 * MILLISECOND) {
                    return true;
                }
            }
        }
        return false;
    }

    /**
     * Each command that a cache received is stated, by that balancer, for that cache, under a stamp
     * that allows it.
     */
    private void commands() {
        Map<String, List<Object[]>> stated = new HashMap<>();
        records.forEach(
                (name, lives) ->
                        lives.forEach(
                                life ->
                                        life.sent.forEach(
                                                sent ->
                                                        stated.computeIfAbsent(
                                                                        name
                                                                                + ' '
                                                                                + sent.cache()
                                                                                + ' '
                                                                                + sent.id(),
                                                                        key -> new ArrayList<>())
                                                                .add(new Object[] {life, sent}))));
        for (History.Command command : history.commands()) {
            int balancer = names.indexOf(command.balancer());
            List<Object[]> fits =
                    stated.get(command.balancer() + ' ' + command.cache() + ' ' + command.id());
            if (fits == null || fits.isEmpty()) {
                boolean excused =
                        inLostTail(balancer, command.at())
                                || diskAway(balancer, command.at())
                                || records.getOrDefault(command.balancer(), List.of()).stream()
                                        .anyMatch(life -> inGap(life, command.at()));
                commandsUnknown++;
                if (!excused) {
                    violation(
                            "commands",
                            "%s sent %s to %s at %.3f s; no record of it says so and none names a gap there",
                            command.balancer(),
                            command.id(),
                            command.cache(),
                            command.at() / 1e9);
                }
                continue;
            }
            commandsChecked++;
            Object[] one = fits.remove(0);
            allowed(command, (AuditRecord) one[0], (AuditRecord.Sent) one[1]);
        }
        phantoms(stated);
    }

    private void allowed(History.Command command, AuditRecord life, AuditRecord.Sent sent) {
        AuditRecord.Acts acts = life.stamp(sent.sequence());
        if (acts == null) {
            if (life.gaps.isEmpty() && !life.beginningLost) {
                violation(
                        "commands",
                        "%s states %s under stamp %d, which its record does not have",
                        command.balancer(),
                        command.id(),
                        sent.sequence());
            }
            return;
        }
        Map<String, String> list = history.versions().get(acts.listRev());
        if (list == null) {
            violation(
                    "commands",
                    "%s states %s under list %d, which never was",
                    command.balancer(),
                    command.id(),
                    acts.listRev());
        } else if (!list.getOrDefault(command.cache(), "").startsWith("Ready")) {
            violation(
                    "commands",
                    "%s sent %s to %s at %.3f s, by its record under list %d, which has it as %s",
                    command.balancer(),
                    command.id(),
                    command.cache(),
                    command.at() / 1e9,
                    acts.listRev(),
                    list.getOrDefault(command.cache(), "absent"));
        }
    }

    /** What is stated and never came must have met a cut, a dead cache or a death. */
    private void phantoms(Map<String, List<Object[]>> stated) {
        boolean cut =
                history.spans().stream()
                        .anyMatch(
                                span ->
                                        span.happening().kind() == Happening.Kind.CACHE_CUT
                                                || span.happening().kind()
                                                        == Happening.Kind.CACHE_RESTART);
        stated.forEach(
                (key, left) -> {
                    for (Object[] one : left) {
                        AuditRecord life = (AuditRecord) one[0];
                        AuditRecord.Sent sent = (AuditRecord.Sent) one[1];
                        long at = moment(life, sent.at());
                        boolean died =
                                history.processes().stream()
                                        .anyMatch(
                                                process ->
                                                        process.balancer() == place(life)
                                                                && process.what() == What.KILLED
                                                                && Math.abs(process.at() - at)
                                                                        < TAKES);
                        if (!cut && !died && at < end - TAKES) {
                            violation(
                                    "commands",
                                    "%s says that it sent %s to %s at %.3f s, and no cache got it",
                                    life.balancer,
                                    sent.id(),
                                    sent.cache(),
                                    at / 1e9);
                        }
                    }
                });
    }

    /**
     * Stamps begin when what they hold had been told, not before, and not long after where nothing
     * hindered it.
     */
    private void stamps() {
        records.forEach(
                (name, lives) -> {
                    int balancer = names.indexOf(name);
                    for (AuditRecord life : lives) {
                        int before = -1;
                        for (AuditRecord.Acts acts : life.acts) {
                            if (acts.sequence() != before + 1
                                    && life.gaps.isEmpty()
                                    && !life.beginningLost) {
                                violation(
                                        "stamps",
                                        "%s: stamp %d stands behind stamp %d and no gap is named",
                                        name,
                                        acts.sequence(),
                                        before);
                            }
                            before = acts.sequence();
                            stamp(life, balancer, acts);
                        }
                    }
                    took(name, balancer, lives);
                });
    }

    private void stamp(AuditRecord life, int balancer, AuditRecord.Acts acts) {
        long at = moment(life, acts.at());
        Map<String, String> list = history.versions().get(acts.listRev());
        // Before its first list it may already know of holds.
        boolean none = acts.listRev() == 0 && acts.listDigest() == 0;
        if (acts.sequence() > 0
                && !none
                && (list == null || SettingsDigest.list(list) != acts.listDigest())) {
            violation(
                    "stamps",
                    "%s says it acted on list %d with digest %x; discovery's has %x",
                    life.balancer,
                    acts.listRev(),
                    acts.listDigest(),
                    list == null ? 0 : SettingsDigest.list(list));
        }
        long first =
                history.versions().isEmpty() ? 0 : history.versions().keySet().iterator().next();
        if (acts.sequence() > 0 && acts.listRev() > first) {
            boolean told =
                    history.told().stream()
                            .anyMatch(
                                    one ->
                                            one.balancer().equals(life.balancer)
                                                    && one.rev() == acts.listRev()
                                                    && one.at() <= at + APART);
            if (!told) {
                violation(
                        "stamps",
                        "%s says it acted on list %d at %.3f s and was not told it by then",
                        life.balancer,
                        acts.listRev(),
                        at / 1e9);
            }
        }
        boolean given = false;
        for (Configured one : history.configured()) {
            given |=
                    (one.balancer() == balancer || handsOver)
                            && one.number() == acts.confNumber()
                            && one.digest() == acts.confDigest()
                            && one.at() <= at + APART;
        }
        if (!given) {
            violation(
                    "stamps",
                    "%s says it acted on configuration %d:%x at %.3f s and was not given it by then",
                    life.balancer,
                    acts.confNumber(),
                    acts.confDigest(),
                    at / 1e9);
        }
    }

    /** What was told to a balancer that nothing hindered it took. */
    private void took(String name, int balancer, List<AuditRecord> lives) {
        for (History.Told told : history.told()) {
            if (!told.balancer().equals(name)
                    || !ran(balancer, told.at(), told.at() + TAKES)
                    || disturbed(
                            Happening.Kind.DISCOVERY_CUT, balancer, told.at(), told.at() + TAKES)
                    || diskAway(balancer, told.at())) {
                continue;
            }
            if (lives.stream()
                    .noneMatch(
                            life ->
                                    life.acts.stream()
                                                    .anyMatch(
                                                            acts ->
                                                                    acts.listRev() >= told.rev()
                                                                            && moment(
                                                                                            life,
                                                                                            acts
                                                                                                    .at())
                                                                                    <= told.at()
                                                                                            + TAKES
                                                                                            + APART)
                                            || inGap(life, told.at()))) {
                violation(
                        "stamps",
                        "%s was told list %d at %.3f s and by its record did not take it within a second",
                        name,
                        told.rev(),
                        told.at() / 1e9);
            }
        }
        List<Configured> given =
                history.configured().stream().filter(one -> one.balancer() == balancer).toList();
        for (int i = 0; i < given.size(); i++) {
            Configured one = given.get(i);
            long until = one.at() + RELOADS;
            boolean replaced = i + 1 < given.size() && given.get(i + 1).at() <= until;
            if (one.digest() == 0
                    || one.at() == 0
                    || !one.told()
                    || replaced
                    || !ran(balancer, one.at(), until)
                    || diskAway(balancer, one.at())) {
                continue;
            }
            if (lives.stream()
                    .noneMatch(
                            life ->
                                    life.acts.stream()
                                                    .anyMatch(
                                                            acts ->
                                                                    acts.confNumber()
                                                                                    == one.number()
                                                                            && acts.confDigest()
                                                                                    == one.digest()
                                                                            && moment(
                                                                                            life,
                                                                                            acts
                                                                                                    .at())
                                                                                    <= until
                                                                                            + APART)
                                            || inGap(life, one.at()))) {
                violation(
                        "stamps",
                        "%s got configuration %d:%x at %.3f s and by its record did not take it",
                        name,
                        one.number(),
                        one.digest(),
                        one.at() / 1e9);
            }
        }
    }

    private boolean disturbed(Happening.Kind kind, int balancer, long from, long to) {
        return history.spans().stream()
                .anyMatch(
                        span ->
                                span.happening().kind() == kind
                                        && span.happening().who().contains(balancer)
                                        && span.from() <= to
                                        && span.to() >= from - TAIL);
    }

    /** Counts and single sends say the same. */
    private void counts() {
        records.forEach(
                (name, lives) ->
                        lives.forEach(
                                life -> {
                                    if (!life.gaps.isEmpty() || life.beginningLost) {
                                        return;
                                    }
                                    Map<Integer, Long> sent = new TreeMap<>();
                                    life.sent.forEach(
                                            one -> sent.merge(one.sequence(), 1L, Long::sum));
                                    int newest =
                                            life.acts.isEmpty()
                                                    ? 0
                                                    : life.acts
                                                            .get(life.acts.size() - 1)
                                                            .sequence();
                                    Set<Integer> all = new HashSet<>(sent.keySet());
                                    all.addAll(life.counted.keySet());
                                    for (int sequence : all) {
                                        long one = sent.getOrDefault(sequence, 0L);
                                        long sum = life.counted.getOrDefault(sequence, 0L);
                                        // The last second of a life that was killed, or goes on, is
                                        // not counted yet.
                                        boolean open = !life.ended && sequence >= newest;
                                        if (sum > one || sum < one && !open) {
                                            violation(
                                                    "counts",
                                                    "%s counts %d sends under stamp %d and lists %d",
                                                    name,
                                                    sum,
                                                    sequence,
                                                    one);
                                        }
                                    }
                                }));
    }

    /** What one says it heard of another the other says of itself. */
    private void heard() {
        records.forEach(
                (name, lives) ->
                        lives.forEach(
                                life -> {
                                    for (AuditRecord.Heard one : life.heard) {
                                        String other =
                                                one.rank() < names.size()
                                                        ? names.get(one.rank())
                                                        : "nobody";
                                        List<AuditRecord> theirs =
                                                records.getOrDefault(other, List.of());
                                        AuditRecord meant =
                                                theirs.stream()
                                                        .filter(
                                                                record ->
                                                                        record.incarnations
                                                                                        .contains(
                                                                                                one
                                                                                                        .incarnation())
                                                                                || record.incarnation
                                                                                                >> 7
                                                                                        == one
                                                                                                        .incarnation()
                                                                                                >> 7)
                                                        .findFirst()
                                                        .orElse(null);
                                        if (meant == null) {
                                            boolean excused =
                                                    history.spans().stream()
                                                                    .anyMatch(
                                                                            span ->
                                                                                    span.happening()
                                                                                                            .kind()
                                                                                                    == Happening
                                                                                                            .Kind
                                                                                                            .DISK
                                                                                            && span.happening()
                                                                                                    .who()
                                                                                                    .contains(
                                                                                                            one
                                                                                                                    .rank()))
                                                            || killedYoung(one.rank())
                                                            || theirs.stream()
                                                                    .anyMatch(
                                                                            record ->
                                                                                    !record.gaps
                                                                                            .isEmpty());
                                            if (!excused) {
                                                violation(
                                                        "heard",
                                                        "%s heard of %s as incarnation %x, which no record of that has",
                                                        name,
                                                        other,
                                                        one.incarnation());
                                            }
                                            continue;
                                        }
                                        for (AuditRecord.Acts acts : meant.acts) {
                                            if ((acts.sequence() & 0xffff) == one.sequence()
                                                    && acts.ref() != one.ref()) {
                                                violation(
                                                        "heard",
                                                        "%s heard that %s acts on %x as its stamp %d; that one's record has %x",
                                                        name,
                                                        other,
                                                        one.ref(),
                                                        one.sequence(),
                                                        acts.ref());
                                            }
                                        }
                                    }
                                }));
    }

    /** Of whom nobody could hear for long, nothing is shown as known. */
    private void unknown() {
        for (History.Look look : history.looks()) {
            if (!(look.said().get("peers") instanceof List<?> peers)) {
                continue;
            }
            for (Object one : peers) {
                Map<?, ?> peer = (Map<?, ?>) one;
                int other = ((Number) peer.get("number")).intValue();
                long from = look.at() - FORGOTTEN;
                boolean away =
                        from > 0
                                && (apartAllThrough(look.balancer(), other, from, look.at())
                                        || downAllThrough(other, from, look.at()));
                if (away && !"unknown".equals(peer.get("actsOn"))) {
                    violation(
                            "unknown",
                            "%s shows at %.3f s what %s acts on (%s), who could not be heard for %d s",
                            names.get(look.balancer()),
                            look.at() / 1e9,
                            names.get(other),
                            peer.get("state"),
                            FORGOTTEN / 1_000_000_000L);
                }
            }
        }
    }

    private boolean apartAllThrough(int a, int b, long from, long to) {
        return history.spans().stream()
                .anyMatch(
                        span ->
                                span.happening().kind() == Happening.Kind.PARTITION
                                        && span.happening().who().contains(a)
                                                != span.happening().who().contains(b)
                                        && span.from() <= from
                                        && span.to() >= to);
    }

    private boolean downAllThrough(int balancer, long from, long to) {
        boolean up = true;
        for (History.Process one : history.processes()) {
            if (one.balancer() == balancer && one.what() != What.WALL) {
                boolean runs =
                        one.what() == What.STARTED
                                || one.what() == What.THAWED
                                || one.what() == What.FED
                                || one.what() == What.STARVED;
                if (one.at() > from && one.at() <= to) {
                    return false;
                }
                up = one.at() <= from ? runs : up;
            }
        }
        return !up;
    }

    /** A change is known to every balancer that can be reached. */
    private void news() {
        records.forEach(
                (name, lives) ->
                        lives.forEach(
                                life -> {
                                    for (int i = 0; i < life.acts.size(); i++) {
                                        AuditRecord.Acts acts = life.acts.get(i);
                                        long at = moment(life, acts.at());
                                        long next =
                                                i + 1 < life.acts.size()
                                                        ? moment(life, life.acts.get(i + 1).at())
                                                        : Long.MAX_VALUE;
                                        // What holds for a moment only, or while it starts, is news
                                        // to nobody.
                                        if (next - at < KNOWN
                                                || at > end - KNOWN
                                                || !ran(place(life), at, at + KNOWN)) {
                                            continue;
                                        }
                                        for (String other : names) {
                                            if (!other.equals(name)) {
                                                known(life, acts, at, other);
                                            }
                                        }
                                    }
                                }));
    }

    private void known(AuditRecord life, AuditRecord.Acts acts, long at, String other) {
        int there = names.indexOf(other);
        if (!ran(there, at, at + KNOWN)
                || cutOff(place(life), there, at, at + KNOWN)
                || diskAway(there, at)
                || diskAway(there, at + KNOWN)) {
            return;
        }
        long soonest = Long.MAX_VALUE;
        boolean gap = false;
        for (AuditRecord record : records.getOrDefault(other, List.of())) {
            gap |= inGap(record, at) || inGap(record, at + KNOWN);
            for (AuditRecord.Heard heard : record.heard) {
                if (heard.rank() == life.rank
                        && heard.incarnation() >> 7 == life.incarnation >> 7
                        && heard.sequence() >= acts.sequence()) {
                    soonest = Math.min(soonest, moment(record, heard.at()) - at);
                }
            }
        }
        if (soonest <= KNOWN) {
            knownAfter.add(Math.max(0, soonest));
        } else if (!gap) {
            late++;
            knownAfter.add(soonest == Long.MAX_VALUE ? end - at : soonest);
            if (soonest > 3 * KNOWN && at < end - 3 * KNOWN) {
                violation(
                        "news",
                        "stamp %d of %s at %.3f s was not known at %s within 6 s, which could be reached",
                        acts.sequence(),
                        life.balancer,
                        at / 1e9,
                        other);
            }
        }
    }

    /** Whether one of the two could not be heard by the other for a part of a span. */
    private boolean cutOff(int a, int b, long from, long to) {
        for (History.Span span : history.spans()) {
            if (span.from() > to || span.to() < from) {
                continue;
            }
            Happening one = span.happening();
            boolean apart =
                    switch (one.kind()) {
                        case PARTITION -> one.who().contains(a) != one.who().contains(b);
                        case SILENCE -> one.who().contains(a) && one.whom().contains(b);
                        default -> false;
                    };
            if (apart) {
                return true;
            }
        }
        return false;
    }
}
