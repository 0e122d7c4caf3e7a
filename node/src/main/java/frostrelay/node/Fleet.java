package frostrelay.node;

import com.fasterxml.jackson.jr.ob.JSON;

import frostrelay.audit.AuditLog;
import frostrelay.audit.Recorder;
import frostrelay.audit.Ring;
import frostrelay.audit.store.RecordFolder;
import frostrelay.judgements.Seen;
import frostrelay.log.Event;
import frostrelay.log.Log;
import frostrelay.peers.Hold;
import frostrelay.peers.Incarnation;
import frostrelay.peers.Known;
import frostrelay.peers.PeerSettings;
import frostrelay.peers.Peers;
import frostrelay.peers.Stamp;
import frostrelay.peers.State;

import io.netty.channel.EventLoop;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.URISyntaxException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.zip.CRC32;

/**
 * This balancer's part in its tier: its talk with the others and its account of itself. Both may be
 * off.
 */
class Fleet {
    private static final Fleet ALONE = new Fleet();
    private static final long TICK = Clock.SECOND;
    private static final int MOST_PEERS = 4096;
    private static final int PIECE = 16 * 1024;

    /** A section of no build so far. */
    private static final int FORM_TO_COME = 250;

    /** What the fleet may lead this balancer to. */
    interface Lead {
        /** Discovery is asked anew. */
        void refresh();

        /** The configuration's file is read again. */
        void reread();

        /**
         * Exactly these caches are avoided on others' word: by their lists, and as their operators
         * hold them.
         */
        void avoid(Set<Long> caches, Set<Long> held);

        /** It steps aside, or comes back. */
        void aside(boolean on);

        /** Exactly these caches are found bad by others, as far as that is to be gone by. */
        void lower(Set<Long> caches);

        /** What is shared of the configuration that holds, as it can be handed to another. */
        byte[] settings();

        /** Likewise from another: true if it has that digest and holds from now on. */
        boolean take(long digest, byte[] packed);
    }

    /** What the options and the platform allow; both have to. */
    static Fleet of(
            Config config,
            FleetOptions options,
            Seams seams,
            EventLoop loop,
            Counters counters,
            Lead lead) {
        if (!options.peers() && !options.audit()) {
            return ALONE;
        }
        return new Member(config, options, seams, loop, counters, lead);
    }

    Witness witness() {
        return Witness.NOBODY;
    }

    /** The process serves from now on. */
    void serve() {}

    /** Whether this process talks for its balancer. */
    void speak(boolean on) {}

    /** The process begins to end; {@code replaced}: another goes on under its name. */
    void leave(boolean replaced) {}

    /** To be called a few times a second. */
    void tick() {}

    /** What is known, as JSON; null where nothing is kept. */
    byte[] statement() {
        return null;
    }

    /** The record so far; null where none is kept. */
    byte[] record() {
        return null;
    }

    /** Whether it minds how it stands to the others, so that operators may decide in its place. */
    boolean minds() {
        return false;
    }

    /** What operators decided, as {@link frostrelay.stragglers.Overrides} has it. */
    void overrides(Set<String> words) {}

    /** A configuration with that number was read and cannot be used. */
    void refused(long number) {}

    /** The process ends in order. */
    void close() {}

    private static final class Member extends Fleet implements Peers.Listener, Acting.Changes {
        private final FleetOptions options;
        private final Seams seams;
        private final Config config;
        private final Counters counters;
        private final long born;
        private final long incarnation;
        private final int rank;
        private final Ring ring;
        private final RecordFolder folder;
        private final AuditLog audit;
        private final Acting acting;
        private final PeerPort port;

        /** Null where it does not care, or has no peers. */
        private final Lagging lagging;

        /** Likewise. */
        private final Judging judging;

        private final Counting counting;
        private final int count;
        private boolean serving;
        private long tickAt;
        private volatile String lacks;

        Member(
                Config config,
                FleetOptions options,
                Seams seams,
                EventLoop loop,
                Counters counters,
                Lead lead) {
            this.config = config;
            this.options = options;
            this.seams = seams;
            this.counters = counters;
            // Both clocks at one moment: what is loaded between them would put the whole record in
            // a wrong place.
            born = Clock.now();
            long bornWall = seams.wall().getAsLong();
            incarnation = Incarnation.of(bornWall);
            List<InetSocketAddress> addresses = options.peers() ? addresses(config) : List.of();
            rank = config.site().settings.rank();
            count = addresses.size();
            ring = new Ring(options.ring());
            folder = options.audit() && options.folder() != null ? folder() : null;
            Recorder both =
                    !options.audit()
                            ? entry -> {}
                            : entry -> {
                                ring.append(entry);
                                if (folder != null) {
                                    folder.append(entry);
                                }
                            };
            Stamp first = Acting.first(config, build());
            audit =
                    new AuditLog(
                            seams.recorder().apply(both),
                            options.each(),
                            born,
                            bornWall,
                            config.name(),
                            rank,
                            incarnation,
                            first);
            port =
                    addresses.isEmpty()
                            ? null
                            : new PeerPort(
                                    loop,
                                    Catalog.address(
                                            Json.get(config.json(), "peer_listen", String.class)),
                                    addresses,
                                    this::begin);
            lagging =
                    port == null || !options.stragglers()
                            ? null
                            : new Lagging(
                                    options,
                                    loop,
                                    lead,
                                    audit,
                                    counters,
                                    port,
                                    rank,
                                    count,
                                    config.seed() ^ incarnation,
                                    seams.stragglers());
            judging =
                    port == null || !options.judgements()
                            ? null
                            : new Judging(
                                    loop,
                                    lead,
                                    counters,
                                    port,
                                    this::counts,
                                    rank,
                                    count,
                                    incarnation,
                                    seams.judgements());
            counting =
                    port == null || !options.counts()
                            ? null
                            : new Counting(port, rank, count, incarnation, seams.counts());
            acting = new Acting(audit, seams.wall(), this);
        }

        /** Those of all balancers; none where the platform gives none, or does not allow it. */
        private static List<InetSocketAddress> addresses(Config config) {
            Map<?, ?> ceilings =
                    Json.get(
                            Json.get(config.json(), "settings", Map.class),
                            "ceilings",
                            Map.class,
                            Map.of());
            String why = null;
            List<InetSocketAddress> addresses = new ArrayList<>();
            if (!"true".equals(String.valueOf(ceilings.get("peer-messages")))) {
                why = "'ceilings.peer-messages' does not allow it";
            } else if (Json.get(config.json(), "peer_listen", String.class, null) == null) {
                why = "'peer_listen' is missing";
            } else {
                for (Object one : Json.list(config.json(), "peers")) {
                    addresses.add(Catalog.address(String.valueOf(one)));
                }
                int rank = config.site().settings.rank();
                if (rank >= addresses.size()
                        || addresses.size() < 2
                        || addresses.size() > MOST_PEERS) {
                    why = "number " + rank + " of " + addresses.size() + " peers";
                }
            }
            if (why != null) {
                Log.write(Event.PEERS_SILENT, why);
                return List.of();
            }
            return addresses;
        }

        private RecordFolder folder() {
            String temporary = System.getenv("TMPDIR");
            Path at =
                    Path.of(
                                    temporary == null || temporary.isEmpty()
                                            ? System.getProperty("java.io.tmpdir")
                                            : temporary)
                            .resolve(options.folder());
            return new RecordFolder(
                    at,
                    String.format(Locale.ROOT, "%016x", incarnation),
                    options.most(),
                    reason -> {
                        lacks = reason;
                        Log.write(Event.AUDIT_LACKS, reason);
                    });
        }

        /** A digest of the program's own bytes, so that two builds of one version differ. */
        private int build() {
            if (seams.build() != 0) {
                return seams.build();
            }
            CRC32 crc = new CRC32();
            try {
                Path source =
                        Path.of(
                                Fleet.class
                                        .getProtectionDomain()
                                        .getCodeSource()
                                        .getLocation()
                                        .toURI());
                if (Files.isRegularFile(source)) {
                    // Piece by piece: the whole of it would stay in the heap's memory for good.
                    try (InputStream in = Files.newInputStream(source)) {
                        byte[] piece = new byte[PIECE];
                        for (int read = in.read(piece); read >= 0; read = in.read(piece)) {
                            crc.update(piece, 0, read);
                        }
                    }
                } else {
                    crc.update(source.toString().getBytes(StandardCharsets.UTF_8));
                }
            } catch (IOException | URISyntaxException | RuntimeException e) {
                return 0;
            }
            return (int) crc.getValue();
        }

        private Peers begin(Peers.Actions actions) {
            Log.write(
                    Event.PEERS_TALK,
                    config.json().get("peer_listen"),
                    rank,
                    count,
                    options.ceiling());
            PeerSettings settings = PeerSettings.STANDARD.under(options.ceiling()).as(seams.form());
            Peers peers =
                    new Peers(
                            settings,
                            rank,
                            count,
                            born,
                            incarnation,
                            config.seed() ^ Clock.now(),
                            audit.stamp(),
                            audit.sequence(),
                            actions,
                            this);
            peers.carry(this::load);
            peers.cargoChanged(Clock.now());
            return peers;
        }

        private void load(long now, int to, Hold hold) {
            if (lagging != null) {
                lagging.cargo().load(now, to, hold);
            }
            if (judging != null) {
                judging.cargo().load(now, to, hold);
            }
            if (counting != null) {
                counting.cargo().load(now, to, hold);
            }
            if (seams.form() > PeerSettings.STANDARD.form()) {
                // A build to come says something that this one does not know.
                hold.add(FORM_TO_COME, ByteBuffer.wrap(new byte[] {1, 2, 3}));
            }
        }

        @Override
        public void onStamp(Stamp stamp) {
            if (port != null && port.peers() != null) {
                port.peers().onStamp(Clock.now(), stamp, audit.sequence());
                port.schedule();
            }
            if (lagging != null) {
                lagging.onStamp(stamp, acting.ready());
            }
        }

        /**
         * Whether another's word on shared state counts: it is heard, and acts on no old list as
         * far as that is minded.
         */
        private boolean counts(long now, int number) {
            return port.peers() != null
                    && port.peers().known(now, number).state() == State.ALIVE
                    && (lagging == null || lagging.counts(number));
        }

        @Override
        public void onListed(Map<Long, Long> ready, Map<Long, String> names) {
            if (judging != null) {
                judging.onList(ready, names);
            }
        }

        @Override
        public void onSeen(long cache, Seen seen, long sentAt) {
            if (judging != null) {
                judging.onSeen(cache, seen, sentAt);
            }
        }

        @Override
        public Witness counting() {
            return counting == null ? Witness.NOBODY : counting;
        }

        @Override
        public void onHolds(long digest, Set<Long> caches) {
            if (lagging != null) {
                lagging.onHolds(digest, caches);
            }
        }

        @Override
        public void onCache(long rev, long cache, boolean ready) {
            if (lagging == null || port.peers() == null) {
                return;
            }
            port.peers().tellCache(Clock.now(), rev, cache, ready);
            port.schedule();
        }

        /** What is known of a peer may have changed. */
        private void consider(int number) {
            // Within the talk's own first words there is nothing to ask yet.
            if (lagging != null && port.peers() != null && number != rank) {
                lagging.onPeer(port.peers().known(Clock.now(), number));
            }
        }

        @Override
        Witness witness() {
            return acting;
        }

        @Override
        void serve() {
            serving = true;
            speak(true);
        }

        @Override
        void speak(boolean on) {
            if (port == null) {
                return;
            }
            if (on && serving) {
                port.open();
            } else if (!on) {
                // Another process goes on under this name: nobody is to hear that it ends.
                port.close(false);
            }
        }

        @Override
        void leave(boolean replaced) {
            serving = false;
            if (port != null) {
                port.close(!replaced);
            }
        }

        @Override
        void tick() {
            long now = Clock.now();
            if (now >= tickAt) {
                // Looks come four times a second: without this a second would be one and a quarter.
                tickAt = Math.max(tickAt + TICK, now + TICK / 2);
                audit.tick(now, seams.wall().getAsLong());
                if (lagging != null && port.peers() != null) {
                    lagging.tick(now, port.peers().deaf(now));
                }
                if (judging != null && port.peers() != null) {
                    judging.tick(now, port.peers().deaf(now));
                }
                if (counting != null) {
                    counting.tick(now);
                }
            }
        }

        @Override
        boolean minds() {
            return lagging != null;
        }

        @Override
        void overrides(Set<String> words) {
            if (lagging != null) {
                lagging.onOverrides(words);
            }
        }

        @Override
        void refused(long number) {
            if (lagging != null) {
                lagging.onRefused(number);
            }
        }

        @Override
        byte[] record() {
            return options.audit() ? ring.record() : null;
        }

        @Override
        void close() {
            audit.end(Clock.now());
            if (folder != null) {
                folder.close();
            }
        }

        @Override
        byte[] statement() {
            long now = Clock.now();
            Map<String, Object> told = new LinkedHashMap<>();
            told.put("balancer", config.name());
            told.put("number", rank);
            Peers peers = port == null ? null : port.peers();
            told.put("incarnation", peers == null ? incarnation : peers.incarnation());
            told.put("livedMs", (now - born) / Clock.MILLISECOND);
            told.put("wallMs", seams.wall().getAsLong());
            told.put("actsOn", stamp(audit.stamp()));
            told.put("stamps", audit.sequence());
            told.put("sinceMs", (now - audit.since()) / Clock.MILLISECOND);
            told.put("why", audit.cause().name().toLowerCase(Locale.ROOT));
            told.put(
                    "record",
                    folder == null
                            ? "memory"
                            : lacks == null ? "folder" : "folder, lacking: " + lacks);
            if (lagging != null) {
                lagging.state(told);
            }
            if (judging != null) {
                told.put("judgements", judging.statement());
            }
            if (counting != null) {
                counting.statement(told);
            }
            told.put("peers", peers == null ? "silent" : peers(peers, now));
            if (peers != null) {
                told.put("datagrams", counts(peers));
            }
            try {
                return JSON.std.asBytes(told);
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }

        private Map<String, Object> counts(Peers peers) {
            Peers.Counts counts = peers.counts();
            Map<String, Object> told = new LinkedHashMap<>();
            told.put("sent", counts.sent);
            told.put("sentBytes", counts.sentBytes);
            told.put("received", counts.received);
            told.put("damaged", counts.damaged);
            told.put("foreign", counts.foreign + port.foreign());
            told.put("oversized", counts.oversized);
            told.put("newer", counts.newer);
            told.put("wrongSender", counts.wrongSender);
            told.put("implausible", counts.implausible);
            told.put("overCeiling", counts.overCeiling);
            told.put("suspicions", counts.suspicions);
            told.put("objections", counts.objections);
            told.put("pauses", counts.pauses);
            return told;
        }

        private List<Object> peers(Peers peers, long now) {
            List<Object> told = new ArrayList<>();
            for (int i = 0; i < peers.count(); i++) {
                if (i == rank) {
                    continue;
                }
                Known known = peers.known(now, i);
                Map<String, Object> one = new LinkedHashMap<>();
                one.put("number", i);
                one.put("state", known.state().name().toLowerCase(Locale.ROOT));
                one.put("incarnation", known.incarnation());
                one.put("stamps", known.sequence());
                // What was last known is told with its age; that it still holds is only said of
                // those that are alive.
                one.put(
                        "actsOn",
                        known.stamp() == null || known.state() != State.ALIVE
                                ? "unknown"
                                : stamp(known.stamp()));
                if (known.stamp() != null && known.state() != State.ALIVE) {
                    one.put("lastKnown", stamp(known.stamp()));
                }
                if (lagging != null) {
                    one.put("heeded", lagging.heeds(i));
                }
                one.put("ageMs", known.age() < 0 ? -1 : known.age() / Clock.MILLISECOND);
                told.add(one);
            }
            return told;
        }

        private static Map<String, Object> stamp(Stamp stamp) {
            Map<String, Object> told = new LinkedHashMap<>();
            told.put("build", String.format(Locale.ROOT, "%08x", stamp.build()));
            told.put("config", stamp.confNumber());
            told.put("configDigest", String.format(Locale.ROOT, "%016x", stamp.confDigest()));
            told.put("list", stamp.listRev());
            told.put("listDigest", String.format(Locale.ROOT, "%016x", stamp.listDigest()));
            told.put("holds", String.format(Locale.ROOT, "%016x", stamp.holds()));
            return told;
        }

        @Override
        public void onState(long now, int number, long of, State state, int by) {
            audit.onState(now, number, of, state, by);
            if (counters.mayTell()) {
                Log.write(Event.PEER_STATE, number, state.name().toLowerCase(Locale.ROOT), by);
            }
            consider(number);
        }

        @Override
        public void onAway(long now, int from, long rev, long cache) {
            if (lagging != null) {
                lagging.onAway(now, from, rev, cache);
            }
        }

        @Override
        public void onBack(long now, int from, long rev, long cache) {
            if (lagging != null) {
                lagging.onBack(now, from, rev, cache);
            }
        }

        @Override
        public void onCargo(long now, long held, int from, long of, int type, ByteBuffer content) {
            if (lagging != null) {
                lagging.onCargo(now, from, type, content);
            }
            if (judging != null) {
                judging.onCargo(now, held, from, of, type, content);
            }
            if (counting != null) {
                counting.onCargo(now, held, from, of, type, content);
            }
        }

        @Override
        public void onOwn(long now, long own) {
            audit.onOwn(now, own);
            if (judging != null) {
                judging.onLife(own);
            }
        }

        @Override
        public void onRow(long now, int number, long of, int sequence, int ref, long age) {
            audit.onRow(now, number, of, sequence, ref, age);
            consider(number);
        }

        @Override
        public void onContent(long now, int ref, Stamp stamp) {
            // The record of who acts on it has it. Peers that were heard of before their stamp's
            // content was:
            for (int i = 0; lagging != null && port.peers() != null && i < count; i++) {
                consider(i);
            }
        }

        @Override
        public void onClock(long now, int number, long of, long sent, long theirMs) {
            audit.onClock(now, number, of, sent, theirMs);
        }
    }
}
