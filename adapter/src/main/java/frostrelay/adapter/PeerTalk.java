package frostrelay.adapter;

import frostrelay.peers.Incarnation;
import frostrelay.peers.Known;
import frostrelay.peers.PeerSettings;
import frostrelay.peers.Peers;
import frostrelay.peers.Stamp;
import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32C;

/** One hosted balancer's talk with its peers on the simulator's wire: the same {@link Peers} as on sockets. */
final class PeerTalk implements Peers.Actions, Peers.Listener {
    /** No timer of the decision module has it. */
    static final int TOKEN = Integer.MIN_VALUE;
    private static final String ALLOWED = "ceilings.peer-messages=true";
    /** The simulator's clock begins at 0; lives are numbered as though that were a day in this century. */
    private static final long WALL_MS = 1_790_000_000_000L;
    private static final long MILLISECOND = 1_000_000L;

    private final ReplyWriter reply;
    private final int balancer;
    private final Peers peers;
    private Stamp stamp;
    private int sequence;
    private long now;
    private long wakeAt = Long.MAX_VALUE;

    private PeerTalk(ReplyWriter reply, int balancer, long now, long seed, int rank, int count, String settings) {
        this.reply = reply;
        this.balancer = balancer;
        this.now = now;
        CRC32C digest = new CRC32C();
        digest.update(settings.getBytes(StandardCharsets.UTF_8));
        stamp = new Stamp(1, Stamp.NO_NUMBER, digest.getValue(), 0, 0, 0, 0);
        peers = new Peers(PeerSettings.STANDARD, rank, count, now, Incarnation.of(WALL_MS + now / MILLISECOND), seed, stamp,
                0, this, this);
        schedule();
    }

    /** Begins to talk where it is wanted and the settings allow it; null elsewhere. */
    static PeerTalk of(boolean wanted, ReplyWriter reply, int balancer, long now, long seed, int rank, int count,
                       String settings) {
        boolean allowed = settings.lines().anyMatch(ALLOWED::equals);
        return wanted && allowed && count > 1 && rank < count
                ? new PeerTalk(reply, balancer, now, seed, rank, count, settings) : null;
    }

    /** It has taken this version of the list. */
    void acts(long moment, long list) {
        now = moment;
        stamp = new Stamp(stamp.build(), stamp.confNumber(), stamp.confDigest(), list, 0, 0, 0);
        peers.onStamp(now, stamp, ++sequence);
        schedule();
    }

    void heard(long moment, int from, byte[] data) {
        now = moment;
        peers.onDatagram(now, from, data, data.length);
        schedule();
    }

    void wake(long moment) {
        now = moment;
        wakeAt = Long.MAX_VALUE;
        if (now >= peers.next()) {
            peers.onWake(now);
        }
        schedule();
    }

    private void schedule() {
        long next = peers.next();
        if (next < wakeAt) {
            wakeAt = next;
            reply.of(balancer).wakeAt(Math.max(now + 1, next), TOKEN);
        }
    }

    /** What is known of another. */
    Known known(long moment, int rank) {
        return peers.known(moment, rank);
    }

    @Override
    public void send(int to, byte[] data, int length) {
        reply.tell(balancer, to, data, length);
    }
}
