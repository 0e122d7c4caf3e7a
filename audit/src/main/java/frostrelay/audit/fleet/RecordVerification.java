package frostrelay.audit.fleet;

import frostrelay.audit.Entry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Checks records for contradictions, within one record and between those of peers. */
final class RecordVerification {
    /** Gossip carries the sequence number of applied versions modulo 2^16. */
    private static final int GOSSIP_SEQUENCE_MASK = 0xffff;

    private final List<IncarnationHistory> histories;
    private final ClockAlignment clocks;
    private final List<String> violations = new ArrayList<>();

    RecordVerification(List<IncarnationHistory> histories, ClockAlignment clocks) {
        this.histories = histories;
        this.clocks = clocks;
    }

    /** See {@link FleetAudit#verify}. */
    List<String> verify() {
        Map<String, String> sourceByLabel = new HashMap<>();
        for (IncarnationHistory history : histories) {
            String before = sourceByLabel.put(history.label(), history.source());
            if (before != null) {
                report(
                        history,
                        ": two records of one incarnation, " + before + " and " + history.source());
            }
            new HistoryCheck(history).run();
            verifyAgainstPeers(history);
        }
        return violations;
    }

    private void report(IncarnationHistory history, String violation) {
        violations.add(history.label() + violation);
    }

    /** Checks the order of times and sequence numbers within one record. */
    private final class HistoryCheck {
        private final IncarnationHistory history;
        private long latestNanos = Long.MIN_VALUE;
        private int sequence = -1;
        private boolean hasGap;

        HistoryCheck(IncarnationHistory history) {
            this.history = history;
            hasGap = history.beginningLost();
        }

        void run() {
            for (Entry entry : history.entries()) {
                if (entry instanceof Entry.Resumed) {
                    latestNanos = Long.MIN_VALUE;
                    continue;
                }
                checkTime(entry);
                hasGap |= entry instanceof Entry.Gap;
                checkSequence(entry);
            }
        }

        private void checkTime(Entry entry) {
            boolean mayBeRepeated =
                    entry instanceof Entry.EndpointListed || entry instanceof Entry.CacheNamed;
            if (entry.atNanos() < latestNanos && !mayBeRepeated) {
                report(
                        history,
                        ": an entry of "
                                + entry.atNanos()
                                + " ns follows one of "
                                + latestNanos
                                + " ns");
            }
            latestNanos = Math.max(latestNanos, entry.atNanos());
        }

        private void checkSequence(Entry entry) {
            if (entry instanceof Entry.VersionsApplied applied) {
                if (applied.sequence() != sequence + 1 && !hasGap) {
                    report(
                            history,
                            ": applied versions "
                                    + applied.sequence()
                                    + " follow "
                                    + sequence
                                    + " and no gap is named");
                }
                sequence = applied.sequence();
            } else if (entry instanceof Entry.SendCounts counts
                    && counts.sequence() > sequence
                    && !hasGap) {
                report(
                        history,
                        ": sends under versions " + counts.sequence() + ", not applied before");
            } else if (entry instanceof Entry.AttemptSent sent
                    && sent.sequence() > sequence
                    && !hasGap) {
                report(
                        history,
                        ": a send under versions " + sent.sequence() + ", not applied before");
            }
        }
    }

    /** Compares the peers' versions in this record with the peers' own records, where available. */
    private void verifyAgainstPeers(IncarnationHistory history) {
        for (Entry entry : history.entries()) {
            if (!(entry instanceof Entry.PeerVersionsHeard heard)) {
                continue;
            }
            for (IncarnationHistory peer : histories) {
                if (!peer.isIncarnation(heard.rank(), heard.incarnation())) {
                    continue;
                }
                for (Entry.VersionsApplied applied : peer.appliedVersions()) {
                    if ((applied.sequence() & GOSSIP_SEQUENCE_MASK) == heard.sequence()) {
                        compare(history, heard, peer, applied);
                    }
                }
            }
        }
    }

    private void compare(
            IncarnationHistory history,
            Entry.PeerVersionsHeard heard,
            IncarnationHistory peer,
            Entry.VersionsApplied applied) {
        if (applied.versions().fingerprint() != heard.versionsRef()) {
            report(
                    history,
                    " received versions "
                            + heard.sequence()
                            + " of "
                            + peer.label()
                            + " with fingerprint "
                            + Integer.toHexString(heard.versionsRef())
                            + "; its own record has "
                            + Integer.toHexString(applied.versions().fingerprint()));
        } else if (isCertainlyEarlier(history, heard, peer, applied)) {
            report(
                    history,
                    " received versions "
                            + heard.sequence()
                            + " of "
                            + peer.label()
                            + " before they were applied");
        }
    }

    private boolean isCertainlyEarlier(
            IncarnationHistory history,
            Entry.PeerVersionsHeard heard,
            IncarnationHistory peer,
            Entry.VersionsApplied applied) {
        return clocks.offset(history).fromPeerSamples()
                && clocks.offset(peer).fromPeerSamples()
                && clocks.intervalOf(history, heard.atNanos())
                        .isBefore(clocks.intervalOf(peer, applied.atNanos()));
    }
}
