package frostrelay.audit;

import java.nio.ByteBuffer;

/** Writes the content of entries, without their frame. {@link EntryDecoder} is its inverse. */
final class EntryEncoder {
    private EntryEncoder() {}

    /** The type under which an entry is written. */
    static EntryType typeOf(Entry entry) {
        if (entry instanceof Entry.Started) {
            return EntryType.STARTED;
        } else if (entry instanceof Entry.VersionsApplied) {
            return EntryType.VERSIONS_APPLIED;
        } else if (entry instanceof Entry.CacheNamed) {
            return EntryType.CACHE_NAMED;
        } else if (entry instanceof Entry.EndpointListed) {
            return EntryType.ENDPOINT_LISTED;
        } else if (entry instanceof Entry.SendCounts) {
            return EntryType.SEND_COUNTS;
        } else if (entry instanceof Entry.AttemptSent) {
            return EntryType.ATTEMPT_SENT;
        } else if (entry instanceof Entry.PeerVersionsHeard) {
            return EntryType.PEER_VERSIONS_HEARD;
        } else if (entry instanceof Entry.PeerStateChanged) {
            return EntryType.PEER_STATE_CHANGED;
        } else if (entry instanceof Entry.PeerClockSampled) {
            return EntryType.PEER_CLOCK_SAMPLED;
        } else if (entry instanceof Entry.WallClockJumped) {
            return EntryType.WALL_CLOCK_JUMPED;
        } else if (entry instanceof Entry.IncarnationChanged) {
            return EntryType.INCARNATION_CHANGED;
        } else if (entry instanceof Entry.UpdateRejected) {
            return EntryType.UPDATE_REJECTED;
        } else if (entry instanceof Entry.Gap) {
            return EntryType.GAP;
        } else if (entry instanceof Entry.Stopped) {
            return EntryType.STOPPED;
        } else {
            return EntryType.RESUMED;
        }
    }

    /** Writes the time of the entry and its fields. */
    static void write(Entry entry, ByteBuffer out) {
        out.putLong(entry.atNanos());
        if (entry instanceof Entry.Started e) {
            writeStarted(e, out);
        } else if (entry instanceof Entry.VersionsApplied e) {
            writeVersionsApplied(e, out);
        } else if (entry instanceof Entry.CacheNamed e) {
            writeCacheNamed(e, out);
        } else if (entry instanceof Entry.EndpointListed e) {
            writeEndpointListed(e, out);
        } else if (entry instanceof Entry.SendCounts e) {
            writeSendCounts(e, out);
        } else if (entry instanceof Entry.AttemptSent e) {
            writeAttemptSent(e, out);
        } else if (entry instanceof Entry.PeerVersionsHeard e) {
            writePeerVersionsHeard(e, out);
        } else if (entry instanceof Entry.PeerStateChanged e) {
            writePeerStateChanged(e, out);
        } else if (entry instanceof Entry.PeerClockSampled e) {
            writePeerClockSampled(e, out);
        } else if (entry instanceof Entry.WallClockJumped e) {
            out.putLong(e.jumpMillis());
        } else if (entry instanceof Entry.IncarnationChanged e) {
            out.putLong(e.incarnation());
        } else if (entry instanceof Entry.UpdateRejected e) {
            EntryText.write(out, e.reason());
        } else if (entry instanceof Entry.Gap e) {
            writeGap(e, out);
        }
    }

    private static void writeStarted(Entry.Started started, ByteBuffer out) {
        EntryText.write(out, started.name());
        out.putShort((short) started.rank())
                .putLong(started.incarnation())
                .putInt(started.build())
                .putLong(started.wallMillis());
    }

    private static void writeVersionsApplied(Entry.VersionsApplied applied, ByteBuffer out) {
        out.putInt(applied.sequence())
                .put((byte) applied.cause().ordinal())
                .putLong(applied.wallMillis());
        applied.versions().write(out);
    }

    private static void writeCacheNamed(Entry.CacheNamed named, ByteBuffer out) {
        out.putShort((short) named.cache());
        EntryText.write(out, named.uid());
    }

    private static void writeEndpointListed(Entry.EndpointListed listed, ByteBuffer out) {
        out.putShort((short) listed.cache())
                .put((byte) (listed.ready() ? 1 : 0))
                .putLong(listed.serverStartMillis());
    }

    private static void writeSendCounts(Entry.SendCounts counts, ByteBuffer out) {
        out.putInt(counts.sequence())
                .putInt(counts.hedgedRequests())
                .putInt(counts.rejectedRequests())
                .putInt(counts.failedRequests())
                .putShort((short) counts.caches().length);
        for (int i = 0; i < counts.caches().length; i++) {
            out.putShort((short) counts.caches()[i]).putInt(counts.sends()[i]);
        }
    }

    private static void writeAttemptSent(Entry.AttemptSent sent, ByteBuffer out) {
        out.putInt(sent.sequence()).putShort((short) sent.cache()).put((byte) sent.attempt());
        EntryText.write(out, sent.requestId());
    }

    private static void writePeerVersionsHeard(Entry.PeerVersionsHeard heard, ByteBuffer out) {
        out.putShort((short) heard.rank())
                .putLong(heard.incarnation())
                .putInt(heard.sequence())
                .putInt(heard.versionsRef())
                .putLong(heard.ageNanos());
    }

    private static void writePeerStateChanged(Entry.PeerStateChanged changed, ByteBuffer out) {
        out.putShort((short) changed.rank())
                .putLong(changed.incarnation())
                .put((byte) changed.state().ordinal())
                .putShort((short) changed.reportedBy());
    }

    private static void writePeerClockSampled(Entry.PeerClockSampled sample, ByteBuffer out) {
        out.putShort((short) sample.rank())
                .putLong(sample.incarnation())
                .putLong(sample.sentAtNanos())
                .putLong(sample.peerUnixMillis());
    }

    private static void writeGap(Entry.Gap gap, ByteBuffer out) {
        out.putLong(gap.fromNanos()).putLong(gap.lostEntries());
        EntryText.write(out, gap.reason());
    }
}
