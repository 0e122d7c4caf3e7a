package frostrelay.rig.campaign;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * Datagrams that a broken or hostile balancer may send, by the wire form in docs/design/peers.md.
 */
final class Forgeries {
    private Forgeries() {}

    /**
     * As from one balancer: whole and lying, damaged, foreign, empty, too long, endless in their
     * own lengths.
     */
    static List<byte[]> all(int sender, long seed) {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        List<byte[]> all = new ArrayList<>();
        byte[] noise = new byte[200];
        random.nextBytes(noise);
        all.add(noise);
        all.add(new byte[0]);
        all.add(new byte[400]);
        // A stamp with list and configuration 2^63 - 1, which somebody is said to act on.
        ByteBuffer far = head(sender);
        far.put((byte) 2)
                .put((byte) 48)
                .putInt(1)
                .putLong(Long.MAX_VALUE)
                .putLong(1)
                .putLong(Long.MAX_VALUE)
                .putLong(1)
                .putLong(0)
                .putInt(0);
        all.add(sum(far));
        // An incarnation behind all that can be, of balancer 1, and that it is gone.
        ByteBuffer gone = head(sender);
        gone.put((byte) 4)
                .put((byte) 10)
                .putShort((short) 0)
                .putShort((short) 0xffff)
                .putInt(-1)
                .putShort((short) sender);
        all.add(sum(gone));
        // Sections that say they are longer than the datagram.
        ByteBuffer endless = head(sender);
        endless.put((byte) 1).put((byte) 255).putInt(7);
        all.add(sum(endless));
        // A build of the far future.
        ByteBuffer newer = head(sender);
        newer.put(3, (byte) 200);
        all.add(sum(newer));
        // Every cache is away, by a list that cannot be; and operators hold every one.
        for (int section : new int[] {8, 16}) {
            ByteBuffer away = head(sender);
            for (int cache = 1; cache <= Schedule.CACHES; cache++) {
                away.put((byte) section)
                        .put((byte) 16)
                        .putLong(Long.MAX_VALUE)
                        .putLong(fnv("cache-" + cache));
            }
            all.add(sum(away));
        }
        // Half of the caches are dead, by each life that it may have.
        for (int life = 1; life <= 3; life++) {
            ByteBuffer dead = head(sender);
            dead.putInt(10, Math.abs(random.nextInt()) + life);
            for (int cache = 1; cache <= Schedule.CACHES / 2; cache++) {
                dead.put((byte) 32)
                        .put((byte) 18)
                        .putLong(fnv("cache-" + cache))
                        .putShort((short) life)
                        .putInt(0)
                        .put((byte) 0)
                        .put((byte) 0)
                        .put((byte) 255)
                        .put((byte) 63);
            }
            all.add(sum(dead));
        }
        // Four others said so to it, it claims, two of whom do not exist.
        ByteBuffer brought = head(sender);
        brought.put((byte) 33).put((byte) (4 * 26));
        for (int writer = 0; writer < 4; writer++) {
            brought.putShort((short) (writer * 3))
                    .putShort((short) 0)
                    .putInt(1)
                    .putLong(fnv("cache-" + (1 + writer % 3)))
                    .putShort((short) 9)
                    .putInt(0)
                    .put((byte) 0)
                    .put((byte) 0)
                    .put((byte) 255)
                    .put((byte) 63);
        }
        all.add(sum(brought));
        // It did more than anybody can.
        ByteBuffer much = head(sender);
        much.put((byte) 34).put((byte) 40);
        for (int count = 0; count < 8; count++) {
            much.put((byte) 100).putInt(-1);
        }
        all.add(sum(much));
        // It fails under every version, of kinds that are none as well.
        ByteBuffer fails = head(sender);
        for (int kind = 0; kind < 4; kind++) {
            fails.put((byte) 17).put((byte) 10).put((byte) kind).putLong(kind).put((byte) 1);
        }
        all.add(sum(fails));
        // A piece of settings that nobody asked for, of a count that none has.
        ByteBuffer piece = head(sender);
        piece.put((byte) 19)
                .put((byte) 20)
                .putLong(1)
                .putShort((short) -1)
                .putShort((short) 0)
                .putLong(7);
        all.add(sum(piece));
        byte[] torn = sum(head(sender));
        all.add(Arrays.copyOf(torn, torn.length - 3));
        return all;
    }

    /** FNV-1a, by which balancers number caches. */
    private static long fnv(String text) {
        long hash = 0xcbf29ce484222325L;
        for (byte b : text.getBytes(StandardCharsets.UTF_8)) {
            hash = (hash ^ (b & 0xff)) * 0x100000001b3L;
        }
        return hash;
    }

    private static ByteBuffer head(int sender) {
        return ByteBuffer.allocate(256)
                .putShort((short) 0xF05E)
                .put((byte) 1)
                .put((byte) 1)
                .put((byte) 4)
                .put((byte) 0)
                .putShort((short) sender)
                .putShort((short) 0)
                .putInt(1)
                .putInt(99)
                .putShort((short) 0xffff);
    }

    private static byte[] sum(ByteBuffer out) {
        CRC32C crc = new CRC32C();
        crc.update(out.array(), 0, out.position());
        out.putInt((int) crc.getValue());
        return Arrays.copyOf(out.array(), out.position());
    }
}
