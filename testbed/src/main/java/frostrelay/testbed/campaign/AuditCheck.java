package frostrelay.testbed.campaign;

import frostrelay.testbed.campaign.EventHistory.ConfigChange;
import frostrelay.testbed.campaign.EventHistory.ProcessEvent;

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
    private static final long MILLISECOND_NANOS = 1_000_000L;

    /** The record's stated tail, 100 ms, and the time in which this rig's own kill takes effect. */
    private static final long LOST_TAIL_NANOS = 250 * MILLISECOND_NANOS;

    /**
     * How far a record's moments may be from the rig's: wall clocks of a millisecond, read at two
     * places, and a pause.
     */
    private static final long CLOCK_TOLERANCE_NANOS = 60 * MILLISECOND_NANOS;

    /** From being told to acting on it, on a machine that other processes share. */
    private static final long APPLY_TIMEOUT_NANOS = 1_000 * MILLISECOND_NANOS;

    /** News is known within this, or somebody could not be reached. */
    private static final long PROPAGATION_NANOS = 2_000 * MILLISECOND_NANOS;

    /** A balancer hears of a file by a signal, behind which it reads it. */
    private static final long RELOAD_TIMEOUT_NANOS = 2_000 * MILLISECOND_NANOS;

    /** Three doubtful periods behind the turn of a probe, in a tier of twelve. */
    private static final long EXPIRY_NANOS = 12_000 * MILLISECOND_NANOS;

    private static final int MAX_VIOLATIONS = 200;

    private final EventHistory history;
    private final Map<String, List<AuditRecord>> records;
    private final List<String> names;
    private final boolean configTransferEnabled;
    private final long end;
    private final List<Violation> violations = new ArrayList<>();
    private final List<Long> propagationNanos = new ArrayList<>();
    private int commandsChecked;
    private int commandsUnknown;
    private int latePropagations;

    /**
     * {@code records}: of all lives, by balancer; {@code names}: balancers in their order; {@code
     * handsOver}: whether one may act on a configuration that another was given; {@code end}: of
     * the play.
     */
    AuditCheck(
            EventHistory history,
            Map<String, List<AuditRecord>> records,
            List<String> names,
            boolean configTransferEnabled,
            long end) {
        this.configTransferEnabled = configTransferEnabled;
        this.history = history;
        this.records = records;
        this.names = names;
        this.end = end;
    }

    /** Everything that does not fit; at most so many that a person would read. */
    List<Violation> run() {
        checkIncarnations();
        checkCommands();
        checkStamps();
        checkCounts();
        checkPeerStamps();
        checkPropagation();
        checkExpiry();
        return violations.size() > MAX_VIOLATIONS
                ? violations.subList(0, MAX_VIOLATIONS)
                : violations;
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
                propagationNanos.stream()
                        .map(nanos -> nanos / MILLISECOND_NANOS)
                        .sorted()
                        .toList());
        figures.put("knownLate", latePropagations);
        return figures;
    }

    private void violation(String check, String form, Object... values) {
        violations.add(new Violation(check, String.format(Locale.ROOT, form, values)));
    }

    // Moments.

    private int balancerIndex(AuditRecord record) {
        return names.indexOf(record.balancer);
    }

    /**
     * When, by the rig's clock, something of a life was. A life's wall clock is off by what the rig
     * had set when it started that process: of all starts the one that it fits closest behind.
     */
    long toTestbedNanos(AuditRecord record, long at) {
        long began = history.fromWallClockNanos(record.startWallMillis, 0);
        long closest = Long.MAX_VALUE;
        for (EventHistory.ProcessChange one : history.processes()) {
            if (one.balancer() == balancerIndex(record) && one.event() == ProcessEvent.STARTED) {
                long behind =
                        history.fromWallClockNanos(record.startWallMillis, one.wallOffsetMillis())
                                - one.atNanos();
                if (behind >= -CLOCK_TOLERANCE_NANOS && behind < closest) {
                    closest = behind;
                    began = one.atNanos() + behind;
                }
            }
        }
        return began + at;
    }

    /** Whether a balancer's process ran undisturbed all through a span, as one process. */
    private boolean ranThroughout(int balancer, long from, long to) {
        Boolean up = null;
        for (EventHistory.ProcessChange one : history.processes()) {
            if (one.balancer() != balancer) {
                continue;
            }
            boolean inside =
                    one.atNanos() >= from - CLOCK_TOLERANCE_NANOS
                            && one.atNanos() <= to + CLOCK_TOLERANCE_NANOS;
            switch (one.event()) {
                case WALL -> {}
                case STARTED, THAWED, FED -> {
                    if (inside) {
                        return false;
                    }
                    up = one.atNanos() < from ? Boolean.TRUE : up;
                }
                default -> {
                    if (inside) {
                        return false;
                    }
                    up = one.atNanos() < from ? Boolean.FALSE : up;
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
        for (EventHistory.ProcessChange one : history.processes()) {
            if (one.balancer() != balancer) {
                continue;
            }
            if (one.event() == ProcessEvent.FROZEN || one.event() == ProcessEvent.STARVED) {
                frozen = one.atNanos();
            } else if (one.event() == ProcessEvent.THAWED || one.event() == ProcessEvent.FED) {
                frozen = Long.MIN_VALUE;
            } else if (one.event() == ProcessEvent.KILLED) {
                long from = (frozen == Long.MIN_VALUE ? one.atNanos() : frozen) - LOST_TAIL_NANOS;
                if (at >= from && at <= one.atNanos() + LOST_TAIL_NANOS) {
                    return true;
                }
            }
        }
        return false;
    }

    private boolean inGap(AuditRecord record, long at) {
        for (AuditRecord.Gap gap : record.gaps) {
            if (at >= toTestbedNanos(record, gap.fromNanos()) - CLOCK_TOLERANCE_NANOS
                    && at <= toTestbedNanos(record, gap.toNanos()) + LOST_TAIL_NANOS) {
                return true;
            }
        }
        return false;
    }

    /**
     * Whether the folder of its record was away: what it could not write at all it can only say on
     * its console.
     */
    private boolean isDiskUnavailable(int balancer, long at) {
        for (EventHistory.FaultSpan span : history.spans()) {
            if (span.faultEvent().kind() == FaultEvent.Kind.DISK
                    && span.faultEvent().balancers().contains(balancer)
                    && at >= span.fromNanos() - LOST_TAIL_NANOS
                    && at <= span.toNanos() + LOST_TAIL_NANOS) {
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
    private void checkIncarnations() {
        Set<Long> all = new HashSet<>();
        for (String name : names) {
            int balancer = names.indexOf(name);
            List<AuditRecord> auditRecords = records.getOrDefault(name, List.of());
            long starts =
                    history.processes().stream()
                            .filter(
                                    one ->
                                            one.balancer() == balancer
                                                    && one.event() == ProcessEvent.STARTED)
                            .count();
            boolean excused =
                    history.spans().stream()
                                    .anyMatch(
                                            span ->
                                                    span.faultEvent().kind() == FaultEvent.Kind.DISK
                                                            && span.faultEvent()
                                                                    .balancers()
                                                                    .contains(balancer))
                            || wasKilledDuringStartup(balancer);
            if (auditRecords.size() != starts && !excused || auditRecords.size() > starts) {
                violation(
                        "lives",
                        "%s was started %d times and has records of %d lives",
                        name,
                        starts,
                        auditRecords.size());
            }
            for (AuditRecord auditRecord : auditRecords) {
                if (!all.add(auditRecord.incarnation * 31 + balancer)) {
                    violation(
                            "lives",
                            "%s: two lives go by the incarnation %x",
                            name,
                            auditRecord.incarnation);
                }
                if (auditRecord.instanceIndex != balancer || !auditRecord.name.equals(name)) {
                    violation(
                            "lives",
                            "the record of %s says it is %s, number %d",
                            name,
                            auditRecord.name,
                            auditRecord.instanceIndex);
                }
            }
        }
    }

    private boolean wasKilledDuringStartup(int balancer) {
        long started = 0;
        for (EventHistory.ProcessChange one : history.processes()) {
            if (one.balancer() == balancer) {
                if (one.event() == ProcessEvent.STARTED) {
                    started = one.atNanos();
                } else if (one.event() == ProcessEvent.KILLED
                        && one.atNanos() - started < 1_000 * MILLISECOND_NANOS) {
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
    private void checkCommands() {
        Map<String, List<Object[]>> stated = new HashMap<>();
        records.forEach(
                (name, auditRecords) ->
                        auditRecords.forEach(
                                auditRecord ->
                                        auditRecord.sent.forEach(
                                                sent ->
                                                        stated.computeIfAbsent(
                                                                        name
                                                                                + ' '
                                                                                + sent.cache()
                                                                                + ' '
                                                                                + sent.id(),
                                                                        key -> new ArrayList<>())
                                                                .add(
                                                                        new Object[] {
                                                                            auditRecord, sent
                                                                        }))));
        for (EventHistory.Command command : history.commands()) {
            int balancer = names.indexOf(command.balancer());
            List<Object[]> fits =
                    stated.get(command.balancer() + ' ' + command.cache() + ' ' + command.id());
            if (fits == null || fits.isEmpty()) {
                boolean excused =
                        inLostTail(balancer, command.atNanos())
                                || isDiskUnavailable(balancer, command.atNanos())
                                || records.getOrDefault(command.balancer(), List.of()).stream()
                                        .anyMatch(
                                                auditRecord ->
                                                        inGap(auditRecord, command.atNanos()));
                commandsUnknown++;
                if (!excused) {
                    violation(
                            "commands",
                            "%s sent %s to %s at %.3f s; no record of it says so and none names a gap there",
                            command.balancer(),
                            command.id(),
                            command.cache(),
                            command.atNanos() / 1e9);
                }
                continue;
            }
            commandsChecked++;
            Object[] one = fits.remove(0);
            checkAllowed(command, (AuditRecord) one[0], (AuditRecord.Sent) one[1]);
        }
        checkUnreceivedSends(stated);
    }

    private void checkAllowed(
            EventHistory.Command command, AuditRecord auditRecord, AuditRecord.Sent sent) {
        AuditRecord.AppliedStamp appliedStamp = auditRecord.stamp(sent.sequence());
        if (appliedStamp == null) {
            if (auditRecord.gaps.isEmpty() && !auditRecord.beginningLost) {
                violation(
                        "commands",
                        "%s states %s under stamp %d, which its record does not have",
                        command.balancer(),
                        command.id(),
                        sent.sequence());
            }
            return;
        }
        Map<String, String> list = history.versions().get(appliedStamp.listRev());
        if (list == null) {
            violation(
                    "commands",
                    "%s states %s under list %d, which never was",
                    command.balancer(),
                    command.id(),
                    appliedStamp.listRev());
        } else if (!list.getOrDefault(command.cache(), "").startsWith("Ready")) {
            violation(
                    "commands",
                    "%s sent %s to %s at %.3f s, by its record under list %d, which has it as %s",
                    command.balancer(),
                    command.id(),
                    command.cache(),
                    command.atNanos() / 1e9,
                    appliedStamp.listRev(),
                    list.getOrDefault(command.cache(), "absent"));
        }
    }

    /** What is stated and never came must have met a cut, a dead cache or a death. */
    private void checkUnreceivedSends(Map<String, List<Object[]>> stated) {
        boolean cut =
                history.spans().stream()
                        .anyMatch(
                                span ->
                                        span.faultEvent().kind() == FaultEvent.Kind.CACHE_CUT
                                                || span.faultEvent().kind()
                                                        == FaultEvent.Kind.CACHE_RESTART);
        stated.forEach(
                (key, left) -> {
                    for (Object[] one : left) {
                        AuditRecord auditRecord = (AuditRecord) one[0];
                        AuditRecord.Sent sent = (AuditRecord.Sent) one[1];
                        long at = toTestbedNanos(auditRecord, sent.atNanos());
                        boolean died =
                                history.processes().stream()
                                        .anyMatch(
                                                process ->
                                                        process.balancer()
                                                                        == balancerIndex(
                                                                                auditRecord)
                                                                && process.event()
                                                                        == ProcessEvent.KILLED
                                                                && Math.abs(process.atNanos() - at)
                                                                        < APPLY_TIMEOUT_NANOS);
                        if (!cut && !died && at < end - APPLY_TIMEOUT_NANOS) {
                            violation(
                                    "commands",
                                    "%s says that it sent %s to %s at %.3f s, and no cache got it",
                                    auditRecord.balancer,
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
    private void checkStamps() {
        records.forEach(
                (name, auditRecords) -> {
                    int balancer = names.indexOf(name);
                    for (AuditRecord auditRecord : auditRecords) {
                        int before = -1;
                        for (AuditRecord.AppliedStamp appliedStamp : auditRecord.appliedStamps) {
                            if (appliedStamp.sequence() != before + 1
                                    && auditRecord.gaps.isEmpty()
                                    && !auditRecord.beginningLost) {
                                violation(
                                        "stamps",
                                        "%s: stamp %d stands behind stamp %d and no gap is named",
                                        name,
                                        appliedStamp.sequence(),
                                        before);
                            }
                            before = appliedStamp.sequence();
                            checkStamp(auditRecord, balancer, appliedStamp);
                        }
                    }
                    checkUpdatesApplied(name, balancer, auditRecords);
                });
    }

    private void checkStamp(
            AuditRecord auditRecord, int balancer, AuditRecord.AppliedStamp appliedStamp) {
        long at = toTestbedNanos(auditRecord, appliedStamp.atNanos());
        Map<String, String> list = history.versions().get(appliedStamp.listRev());
        // Before its first list it may already know of holds.
        boolean none = appliedStamp.listRev() == 0 && appliedStamp.listDigest() == 0;
        if (appliedStamp.sequence() > 0
                && !none
                && (list == null || SettingsDigest.list(list) != appliedStamp.listDigest())) {
            violation(
                    "stamps",
                    "%s says it acted on list %d with digest %x; discovery's has %x",
                    auditRecord.balancer,
                    appliedStamp.listRev(),
                    appliedStamp.listDigest(),
                    list == null ? 0 : SettingsDigest.list(list));
        }
        long first =
                history.versions().isEmpty() ? 0 : history.versions().keySet().iterator().next();
        if (appliedStamp.sequence() > 0 && appliedStamp.listRev() > first) {
            boolean reported =
                    history.recordNotification().stream()
                            .anyMatch(
                                    one ->
                                            one.balancer().equals(auditRecord.balancer)
                                                    && one.rev() == appliedStamp.listRev()
                                                    && one.atNanos() <= at + CLOCK_TOLERANCE_NANOS);
            if (!reported) {
                violation(
                        "stamps",
                        "%s says it acted on list %d at %.3f s and was not told it by then",
                        auditRecord.balancer,
                        appliedStamp.listRev(),
                        at / 1e9);
            }
        }
        boolean given = false;
        for (ConfigChange one : history.configured()) {
            given |=
                    (one.balancer() == balancer || configTransferEnabled)
                            && one.number() == appliedStamp.confNumber()
                            && one.digest() == appliedStamp.confDigest()
                            && one.atNanos() <= at + CLOCK_TOLERANCE_NANOS;
        }
        if (!given) {
            violation(
                    "stamps",
                    "%s says it acted on configuration %d:%x at %.3f s and was not given it by then",
                    auditRecord.balancer,
                    appliedStamp.confNumber(),
                    appliedStamp.confDigest(),
                    at / 1e9);
        }
    }

    /** What was told to a balancer that nothing hindered it took. */
    private void checkUpdatesApplied(String name, int balancer, List<AuditRecord> auditRecords) {
        for (EventHistory.EndpointUpdate reported : history.recordNotification()) {
            if (!reported.balancer().equals(name)
                    || !ranThroughout(
                            balancer, reported.atNanos(), reported.atNanos() + APPLY_TIMEOUT_NANOS)
                    || isDisturbed(
                            FaultEvent.Kind.DISCOVERY_CUT,
                            balancer,
                            reported.atNanos(),
                            reported.atNanos() + APPLY_TIMEOUT_NANOS)
                    || isDiskUnavailable(balancer, reported.atNanos())) {
                continue;
            }
            if (auditRecords.stream()
                    .noneMatch(
                            auditRecord ->
                                    auditRecord.appliedStamps.stream()
                                                    .anyMatch(
                                                            appliedStamp ->
                                                                    appliedStamp.listRev()
                                                                                    >= reported
                                                                                            .rev()
                                                                            && toTestbedNanos(
                                                                                            auditRecord,
                                                                                            appliedStamp
                                                                                                    .atNanos())
                                                                                    <= reported
                                                                                                    .atNanos()
                                                                                            + APPLY_TIMEOUT_NANOS
                                                                                            + CLOCK_TOLERANCE_NANOS)
                                            || inGap(auditRecord, reported.atNanos()))) {
                violation(
                        "stamps",
                        "%s was told list %d at %.3f s and by its record did not take it within a second",
                        name,
                        reported.rev(),
                        reported.atNanos() / 1e9);
            }
        }
        List<ConfigChange> given =
                history.configured().stream().filter(one -> one.balancer() == balancer).toList();
        for (int i = 0; i < given.size(); i++) {
            ConfigChange one = given.get(i);
            long until = one.atNanos() + RELOAD_TIMEOUT_NANOS;
            boolean replaced = i + 1 < given.size() && given.get(i + 1).atNanos() <= until;
            if (one.digest() == 0
                    || one.atNanos() == 0
                    || !one.signalled()
                    || replaced
                    || !ranThroughout(balancer, one.atNanos(), until)
                    || isDiskUnavailable(balancer, one.atNanos())) {
                continue;
            }
            if (auditRecords.stream()
                    .noneMatch(
                            auditRecord ->
                                    auditRecord.appliedStamps.stream()
                                                    .anyMatch(
                                                            appliedStamp ->
                                                                    appliedStamp.confNumber()
                                                                                    == one.number()
                                                                            && appliedStamp
                                                                                            .confDigest()
                                                                                    == one.digest()
                                                                            && toTestbedNanos(
                                                                                            auditRecord,
                                                                                            appliedStamp
                                                                                                    .atNanos())
                                                                                    <= until
                                                                                            + CLOCK_TOLERANCE_NANOS)
                                            || inGap(auditRecord, one.atNanos()))) {
                violation(
                        "stamps",
                        "%s got configuration %d:%x at %.3f s and by its record did not take it",
                        name,
                        one.number(),
                        one.digest(),
                        one.atNanos() / 1e9);
            }
        }
    }

    private boolean isDisturbed(FaultEvent.Kind kind, int balancer, long from, long to) {
        return history.spans().stream()
                .anyMatch(
                        span ->
                                span.faultEvent().kind() == kind
                                        && span.faultEvent().balancers().contains(balancer)
                                        && span.fromNanos() <= to
                                        && span.toNanos() >= from - LOST_TAIL_NANOS);
    }

    /** Counts and single sends say the same. */
    private void checkCounts() {
        records.forEach(
                (name, auditRecords) ->
                        auditRecords.forEach(
                                auditRecord -> {
                                    if (!auditRecord.gaps.isEmpty() || auditRecord.beginningLost) {
                                        return;
                                    }
                                    Map<Integer, Long> sent = new TreeMap<>();
                                    auditRecord.sent.forEach(
                                            one -> sent.merge(one.sequence(), 1L, Long::sum));
                                    int newest =
                                            auditRecord.appliedStamps.isEmpty()
                                                    ? 0
                                                    : auditRecord
                                                            .appliedStamps
                                                            .get(
                                                                    auditRecord.appliedStamps.size()
                                                                            - 1)
                                                            .sequence();
                                    Set<Integer> all = new HashSet<>(sent.keySet());
                                    all.addAll(auditRecord.sendCounts.keySet());
                                    for (int sequence : all) {
                                        long one = sent.getOrDefault(sequence, 0L);
                                        long sum =
                                                auditRecord.sendCounts.getOrDefault(sequence, 0L);
                                        // The last second of a life that was killed, or goes on, is
                                        // not counted yet.
                                        boolean open =
                                                !auditRecord.endedCleanly && sequence >= newest;
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
    private void checkPeerStamps() {
        records.forEach(
                (name, auditRecords) ->
                        auditRecords.forEach(
                                auditRecord -> {
                                    for (AuditRecord.PeerStamp one : auditRecord.peerStamps) {
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
                                                                                    span.faultEvent()
                                                                                                            .kind()
                                                                                                    == FaultEvent
                                                                                                            .Kind
                                                                                                            .DISK
                                                                                            && span.faultEvent()
                                                                                                    .balancers()
                                                                                                    .contains(
                                                                                                            one
                                                                                                                    .rank()))
                                                            || wasKilledDuringStartup(one.rank())
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
                                        for (AuditRecord.AppliedStamp appliedStamp :
                                                meant.appliedStamps) {
                                            if ((appliedStamp.sequence() & 0xffff) == one.sequence()
                                                    && appliedStamp.ref() != one.ref()) {
                                                violation(
                                                        "heard",
                                                        "%s heard that %s acts on %x as its stamp %d; that one's record has %x",
                                                        name,
                                                        other,
                                                        one.ref(),
                                                        one.sequence(),
                                                        appliedStamp.ref());
                                            }
                                        }
                                    }
                                }));
    }

    /** Of whom nobody could hear for long, nothing is shown as known. */
    private void checkExpiry() {
        for (EventHistory.AdminSnapshot snapshot : history.snapshots()) {
            if (!(snapshot.response().get("peers") instanceof List<?> peers)) {
                continue;
            }
            for (Object one : peers) {
                Map<?, ?> peer = (Map<?, ?>) one;
                int other = ((Number) peer.get("number")).intValue();
                long from = snapshot.requestedAtNanos() - EXPIRY_NANOS;
                boolean away =
                        from > 0
                                && (isPartitionedThroughout(
                                                snapshot.balancer(),
                                                other,
                                                from,
                                                snapshot.requestedAtNanos())
                                        || isDownThroughout(
                                                other, from, snapshot.requestedAtNanos()));
                if (away && !"unknown".equals(peer.get("actsOn"))) {
                    violation(
                            "unknown",
                            "%s shows at %.3f s what %s acts on (%s), who could not be heard for %d s",
                            names.get(snapshot.balancer()),
                            snapshot.requestedAtNanos() / 1e9,
                            names.get(other),
                            peer.get("state"),
                            EXPIRY_NANOS / 1_000_000_000L);
                }
            }
        }
    }

    private boolean isPartitionedThroughout(int a, int b, long from, long to) {
        return history.spans().stream()
                .anyMatch(
                        span ->
                                span.faultEvent().kind() == FaultEvent.Kind.PARTITION
                                        && span.faultEvent().balancers().contains(a)
                                                != span.faultEvent().balancers().contains(b)
                                        && span.fromNanos() <= from
                                        && span.toNanos() >= to);
    }

    private boolean isDownThroughout(int balancer, long from, long to) {
        boolean up = true;
        for (EventHistory.ProcessChange one : history.processes()) {
            if (one.balancer() == balancer && one.event() != ProcessEvent.WALL) {
                boolean runs =
                        one.event() == ProcessEvent.STARTED
                                || one.event() == ProcessEvent.THAWED
                                || one.event() == ProcessEvent.FED
                                || one.event() == ProcessEvent.STARVED;
                if (one.atNanos() > from && one.atNanos() <= to) {
                    return false;
                }
                up = one.atNanos() <= from ? runs : up;
            }
        }
        return !up;
    }

    /** A change is known to every balancer that can be reached. */
    private void checkPropagation() {
        records.forEach(
                (name, auditRecords) ->
                        auditRecords.forEach(
                                auditRecord -> {
                                    for (int i = 0; i < auditRecord.appliedStamps.size(); i++) {
                                        AuditRecord.AppliedStamp appliedStamp =
                                                auditRecord.appliedStamps.get(i);
                                        long at =
                                                toTestbedNanos(auditRecord, appliedStamp.atNanos());
                                        long next =
                                                i + 1 < auditRecord.appliedStamps.size()
                                                        ? toTestbedNanos(
                                                                auditRecord,
                                                                auditRecord
                                                                        .appliedStamps
                                                                        .get(i + 1)
                                                                        .atNanos())
                                                        : Long.MAX_VALUE;
                                        // What holds for a moment only, or while it starts, is news
                                        // to nobody.
                                        if (next - at < PROPAGATION_NANOS
                                                || at > end - PROPAGATION_NANOS
                                                || !ranThroughout(
                                                        balancerIndex(auditRecord),
                                                        at,
                                                        at + PROPAGATION_NANOS)) {
                                            continue;
                                        }
                                        for (String other : names) {
                                            if (!other.equals(name)) {
                                                checkKnownTo(auditRecord, appliedStamp, at, other);
                                            }
                                        }
                                    }
                                }));
    }

    private void checkKnownTo(
            AuditRecord auditRecord, AuditRecord.AppliedStamp appliedStamp, long at, String other) {
        int there = names.indexOf(other);
        if (!ranThroughout(there, at, at + PROPAGATION_NANOS)
                || isPartitioned(balancerIndex(auditRecord), there, at, at + PROPAGATION_NANOS)
                || isDiskUnavailable(there, at)
                || isDiskUnavailable(there, at + PROPAGATION_NANOS)) {
            return;
        }
        long soonest = Long.MAX_VALUE;
        boolean gap = false;
        for (AuditRecord record : records.getOrDefault(other, List.of())) {
            gap |= inGap(record, at) || inGap(record, at + PROPAGATION_NANOS);
            for (AuditRecord.PeerStamp heard : record.peerStamps) {
                if (heard.rank() == auditRecord.instanceIndex
                        && heard.incarnation() >> 7 == auditRecord.incarnation >> 7
                        && heard.sequence() >= appliedStamp.sequence()) {
                    soonest = Math.min(soonest, toTestbedNanos(record, heard.atNanos()) - at);
                }
            }
        }
        if (soonest <= PROPAGATION_NANOS) {
            propagationNanos.add(Math.max(0, soonest));
        } else if (!gap) {
            latePropagations++;
            propagationNanos.add(soonest == Long.MAX_VALUE ? end - at : soonest);
            if (soonest > 3 * PROPAGATION_NANOS && at < end - 3 * PROPAGATION_NANOS) {
                violation(
                        "news",
                        "stamp %d of %s at %.3f s was not known at %s within 6 s, which could be reached",
                        appliedStamp.sequence(),
                        auditRecord.balancer,
                        at / 1e9,
                        other);
            }
        }
    }

    /** Whether one of the two could not be heard by the other for a part of a span. */
    private boolean isPartitioned(int a, int b, long from, long to) {
        for (EventHistory.FaultSpan span : history.spans()) {
            if (span.fromNanos() > to || span.toNanos() < from) {
                continue;
            }
            FaultEvent one = span.faultEvent();
            boolean apart =
                    switch (one.kind()) {
                        case PARTITION ->
                                one.balancers().contains(a) != one.balancers().contains(b);
                        case SILENCE -> one.balancers().contains(a) && one.targets().contains(b);
                        default -> false;
                    };
            if (apart) {
                return true;
            }
        }
        return false;
    }
}
