package frostrelay.testbed.campaign;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.zip.CRC32C;

/**
 * One life's record, read by the form in docs/audit.md and apart from the balancer's own reader: a
 * fault that both shared would not be seen.
 */
final class AuditRecord {
    /** A stamp that it says it acted on. */
    record AppliedStamp(
            long atNanos,
            int sequence,
            long confNumber,
            long confDigest,
            long listRev,
            long listDigest,
            long adminDrains,
            int ref) {}

    /** A send that it says it made. */
    record Sent(long atNanos, int sequence, String cache, String id) {}

    /** A stamp that it says another acted on. */
    record PeerStamp(long atNanos, int rank, long incarnation, int sequence, int ref) {}

    /** Entries that it says are missing. */
    record Gap(long fromNanos, long toNanos, long entries) {}

    private static final long MAGIC = 0x4652_4155_4449_5401L;

    final String balancer;
    String name;
    int instanceIndex;
    long incarnation;
    long startWallMillis;
    final Set<Long> incarnations = new HashSet<>();
    final List<AppliedStamp> appliedStamps = new ArrayList<>();
    final List<Sent> sent = new ArrayList<>();
    final List<PeerStamp> peerStamps = new ArrayList<>();
    final List<Gap> gaps = new ArrayList<>();
    final Map<Integer, Long> sendCounts = new TreeMap<>();
    final Map<Integer, String> caches = new HashMap<>();
    final List<Long> clockJumps = new ArrayList<>();
    boolean hasStart;
    boolean endedCleanly;
    boolean beginningLost;
    int unreadBytes;
    long lastNanos;

    private AuditRecord(String balancer) {
        this.balancer = balancer;
    }

    /** All lives in a folder, the oldest first by their files. */
    static List<AuditRecord> read(String balancer, Path folder) throws IOException {
        TreeMap<String, TreeMap<String, Path>> incarnationFiles = new TreeMap<>();
        if (Files.isDirectory(folder)) {
            try (DirectoryStream<Path> files = Files.newDirectoryStream(folder, "*.rec")) {
                for (Path file : files) {
                    String name = file.getFileName().toString();
                    incarnationFiles
                            .computeIfAbsent(
                                    name.substring(0, name.lastIndexOf('-')),
                                    life -> new TreeMap<>())
                            .put(name, file);
                }
            }
        }
        List<AuditRecord> records = new ArrayList<>();
        for (TreeMap<String, Path> parts : incarnationFiles.values()) {
            AuditRecord record = new AuditRecord(balancer);
            boolean first = true;
            for (Path part : parts.values()) {
                record.readPart(Files.readAllBytes(part), first);
                first = false;
            }
            if (record.hasStart) {
                records.add(record);
            }
        }
        return records;
    }

    private void readPart(byte[] bytes, boolean first) {
        ByteBuffer in = ByteBuffer.wrap(bytes);
        if (bytes.length < 8 || in.getLong() != MAGIC) {
            unreadBytes += bytes.length;
            return;
        }
        List<ByteBuffer> entries = new ArrayList<>();
        List<Integer> types = new ArrayList<>();
        int resumes = -1;
        while (in.remaining() >= 7) {
            int length = in.getShort(in.position()) & 0xffff;
            if (in.remaining() < length + 7) {
                break;
            }
            CRC32C crc = new CRC32C();
            crc.update(bytes, in.position(), length + 3);
            if ((int) crc.getValue() != in.getInt(in.position() + length + 3)) {
                break;
            }
            int type = in.get(in.position() + 2) & 0xff;
            resumes = type == 15 ? entries.size() : resumes;
            types.add(type);
            entries.add(in.slice(in.position() + 3, length));
            in.position(in.position() + length + 7);
        }
        unreadBytes += in.remaining();
        beginningLost |= first && resumes >= 0;
        for (int i = 0; i < entries.size(); i++) {
            int type = types.get(i);
            // Of what a part repeats, names and a later stamp count: the parts before it may have
            // lost them.
            boolean repeated = !first && i <= resumes;
            boolean later =
                    type == 2
                            && (appliedStamps.isEmpty()
                                    || entries.get(i).getInt(Long.BYTES)
                                            > appliedStamps
                                                    .get(appliedStamps.size() - 1)
                                                    .sequence());
            if (!repeated || type == 3 || later) {
                readEntry(type, entries.get(i));
            }
        }
    }

    private void readEntry(int type, ByteBuffer in) {
        long at = in.getLong();
        lastNanos = type == 3 || type == 4 ? lastNanos : Math.max(lastNanos, at);
        switch (type) {
            case 1 -> {
                hasStart = true;
                name = readText(in);
                instanceIndex = in.getShort();
                incarnation = in.getLong();
                incarnations.add(incarnation);
                in.getInt();
                startWallMillis = in.getLong();
            }
            case 2 -> {
                int sequence = in.getInt();
                in.get();
                in.getLong();
                CRC32C crc = new CRC32C();
                crc.update(in.duplicate().limit(in.position() + 48));
                in.getInt();
                appliedStamps.add(
                        new AppliedStamp(
                                at,
                                sequence,
                                in.getLong(),
                                in.getLong(),
                                in.getLong(),
                                in.getLong(),
                                in.getLong(),
                                crc.getValue() == 0 ? 1 : (int) crc.getValue()));
            }
            case 3 -> caches.put(in.getShort() & 0xffff, readText(in));
            case 5 -> {
                int sequence = in.getInt();
                in.position(in.position() + 12);
                long sum = 0;
                for (int n = in.getShort() & 0xffff; n > 0; n--) {
                    in.getShort();
                    sum += in.getInt();
                }
                sendCounts.merge(sequence, sum, Long::sum);
            }
            case 6 -> {
                int sequence = in.getInt();
                String cache = caches.get(in.getShort() & 0xffff);
                in.get();
                sent.add(new Sent(at, sequence, cache, readText(in)));
            }
            case 7 ->
                    peerStamps.add(
                            new PeerStamp(
                                    at,
                                    in.getShort() & 0xffff,
                                    in.getLong(),
                                    in.getInt(),
                                    in.getInt()));
            case 10 -> clockJumps.add(in.getLong());
            case 11 -> incarnations.add(in.getLong());
            case 13 -> gaps.add(new Gap(in.getLong(), at, in.getLong()));
            case 14 -> endedCleanly = true;
            default -> {
                // Nothing that is checked.
            }
        }
    }

    private static String readText(ByteBuffer in) {
        byte[] bytes = new byte[in.get() & 0xff];
        in.get(bytes);
        return new String(bytes, StandardCharsets.UTF_8);
    }

    /** The stamp that it says it acted on by a number; null where it says nothing of it. */
    AppliedStamp stamp(int sequence) {
        for (AppliedStamp one : appliedStamps) {
            if (one.sequence == sequence) {
                return one;
            }
        }
        return null;
    }
}
