package frostrelay.testbed.campaign;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * Datagrams that a broken or hostile balancer may send, by the wire form in docs/design/gossip.md.
 */
final class ForgedDatagrams {
    private ForgedDatagrams() {}

    /**
     * As from one balancer: whole and lying, damaged, foreign, empty, too long, endless in their
     * own lengths.
     */
    static List<byte[]> all(int sender, long seed) {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        List<byte[]> all = new ArrayList<>();
        byte[] randomBytes = new byte[200];
        random.nextBytes(randomBytes);
        all.add(randomBytes);
        all.add(new byte[0]);
        all.add(new byte[400]);
        // A stamp with list and configuration 2^63 - 1, which somebody is said to act on.
        ByteBuffer far = header(sender);
        far.put((byte) 2)
                .put((byte) 48)
                .putInt(1)
                .putLong(Long.MAX_VALUE)
                .putLong(1)
                .putLong(Long.MAX_VALUE)
                .putLong(1)
                .putLong(0)
                .putInt(0);
        all.add(withChecksum(far));
        // An incarnation behind all that can be, of balancer 1, and that it is gone.
        ByteBuffer removedMember = header(sender);
        removedMember
                .put((byte) 4)
                .put((byte) 10)
                .putShort((short) 0)
                .putShort((short) 0xffff)
                .putInt(-1)
                .putShort((short) sender);
        all.add(withChecksum(removedMember));
        // Sections that say they are longer than the datagram.
        ByteBuffer endless = header(sender);
        endless.put((byte) 1).put((byte) 255).putInt(7);
        all.add(withChecksum(endless));
        // A build of the far future.
        ByteBuffer newer = header(sender);
        newer.put(3, (byte) 200);
        all.add(withChecksum(newer));
        // Every cache is away, by a list that cannot be; and operators hold every one.
        for (int section : new int[] {8, 16}) {
            ByteBuffer unavailable = header(sender);
            for (int cache = 1; cache <= Schedule.CACHE_COUNT; cache++) {
                unavailable
                        .put((byte) section)
                        .put((byte) 16)
                        .putLong(Long.MAX_VALUE)
                        .putLong(fnv("cache-" + cache));
            }
            all.add(withChecksum(unavailable));
        }
        // Half of the caches are dead, by each life that it may have.
        for (int incarnation = 1; incarnation <= 3; incarnation++) {
            ByteBuffer dead = header(sender);
            dead.putInt(10, Math.abs(random.nextInt()) + incarnation);
            for (int cache = 1; cache <= Schedule.CACHE_COUNT / 2; cache++) {
                dead.put((byte) 32)
                        .put((byte) 18)
                        .putLong(fnv("cache-" + cache))
                        .putShort((short) incarnation)
                        .putInt(0)
                        .put((byte) 0)
                        .put((byte) 0)
                        .put((byte) 255)
                        .put((byte) 63);
            }
            all.add(withChecksum(dead));
        }
        // Four others said so to it, it claims, two of whom do not exist.
        ByteBuffer forwardedReports = header(sender);
        forwardedReports.put((byte) 33).put((byte) (4 * 26));
        for (int writer = 0; writer < 4; writer++) {
            forwardedReports
                    .putShort((short) (writer * 3))
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
        all.add(withChecksum(forwardedReports));
        // It did more than anybody can.
        ByteBuffer excessiveCounts = header(sender);
        excessiveCounts.put((byte) 34).put((byte) 40);
        for (int count = 0; count < 8; count++) {
            excessiveCounts.put((byte) 100).putInt(-1);
        }
        all.add(withChecksum(excessiveCounts));
        // It fails under every version, of kinds that are none as well.
        ByteBuffer fails = header(sender);
        for (int kind = 0; kind < 4; kind++) {
            fails.put((byte) 17).put((byte) 10).put((byte) kind).putLong(kind).put((byte) 1);
        }
        all.add(withChecksum(fails));
        // A piece of settings that nobody asked for, of a count that none has.
        ByteBuffer piece = header(sender);
        piece.put((byte) 19)
                .put((byte) 20)
                .putLong(1)
                .putShort((short) -1)
                .putShort((short) 0)
                .putLong(7);
        all.add(withChecksum(piece));
        byte[] truncated = withChecksum(header(sender));
        all.add(Arrays.copyOf(truncated, truncated.length - 3));
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

    private static ByteBuffer header(int sender) {
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

    private static byte[] withChecksum(ByteBuffer out) {
        CRC32C crc = new CRC32C();
        crc.update(out.array(), 0, out.position());
        out.putInt((int) crc.getValue());
        return Arrays.copyOf(out.array(), out.position());
    }
}
