package frostrelay.gossip;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

import org.junit.jupiter.api.Test;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.zip.CRC32C;

/**
 * Tests of the known member states and applied versions when datagrams are lost, forged or delayed,
 * and processes die, pause and restart.
 */
class GossipNodeTest {
    private final GossipTestNetwork network = new GossipTestNetwork(5);

    private void assertEverybodyKnows(int rank, long listRevision) {
        for (GossipTestNetwork.Node node : network.nodes) {
            if (node.rank != rank && !node.isDead) {
                MemberSnapshot known = node.snapshotOf(rank);
                assertEquals(MemberState.ALIVE, known.state(), node.rank + " of " + rank);
                assertEquals(
                        listRevision,
                        known.appliedVersions().listRevision(),
                        node.rank + " of " + rank);
                assertTrue(
                        known.ageNanos() >= 0
                                && known.ageNanos() < 30 * GossipTestNetwork.NANOS_PER_SECOND);
            }
        }
    }

    /** Guards against random targets leaving out peers: small clusters send to all peers. */
    @Test
    void changeReachesAllMembersWithinTwoSecondsAtThirtyPercentLoss() {
        int uninformedCount = 0;
        for (int trial = 0; trial < 10; trial++) {
            GossipTestNetwork lossyNetwork = new GossipTestNetwork(5);
            for (int skipped = 0; skipped < trial; skipped++) {
                lossyNetwork.random.nextLong();
            }
            lossyNetwork.lossProbability = 0.3;
            lossyNetwork.run(10);
            for (int i = 0; i < 20; i++) {
                lossyNetwork.nodes[i % 5].gossip.updateAppliedVersions(
                        lossyNetwork.nowNanos,
                        GossipTestNetwork.appliedVersions(10 + i),
                        i / 5 + 1);
                lossyNetwork.run(2);
                uninformedCount += countUninformed(lossyNetwork, i % 5, 10 + i);
            }
            assertTrue(lossyNetwork.maxDatagramBytes <= 256);
            assertTrue(lossyNetwork.clockSampleCount > 50, "probes also provide clock samples");
        }
        assertEquals(0, uninformedCount, "of 800 deliveries took longer than two seconds");
    }

    private static int countUninformed(GossipTestNetwork network, int rank, long listRevision) {
        int uninformed = 0;
        for (GossipTestNetwork.Node node : network.nodes) {
            MemberSnapshot known = node.snapshotOf(rank);
            assertEquals(MemberState.ALIVE, known.state(), node.rank + " of " + rank);
            uninformed +=
                    known.appliedVersions() == null
                                    || known.appliedVersions().listRevision() != listRevision
                            ? 1
                            : 0;
        }
        return uninformed;
    }

    @Test
    void deadMemberIsDeclaredGoneAndItsLastVersionsStayKnown() {
        network.run(5);
        network.nodes[3].isDead = true;
        network.run(20);
        for (GossipTestNetwork.Node node : network.nodes) {
            if (node.rank != 3) {
                assertEquals(MemberState.GONE, node.snapshotOf(3).state());
                assertEquals(
                        1,
                        node.snapshotOf(3).appliedVersions().listRevision(),
                        "the versions that it last applied are still known");
            }
        }
        network.nodes[3].start(1_790_000_100_000L, 8);
        network.run(6);
        assertEverybodyKnows(3, 8);
    }

    @Test
    void restartAfterWallClockWasSetBackGetsAHigherIncarnation() {
        network.run(5);
        long before = network.nodes[0].snapshotOf(2).incarnation();
        network.nodes[2].isDead = true;
        network.run(1);
        network.nodes[2].start(1_790_000_000_000L - 10_000, 9);
        network.run(6);
        assertEverybodyKnows(2, 9);
        assertTrue(network.nodes[0].snapshotOf(2).incarnation() > before);
    }

    @Test
    void isolatedMemberReportsPeersAsUnknownAndDeclaresNoneDead() {
        network.run(5);
        network.isLinkUp = (from, to) -> to != 4;
        network.run(30);
        for (int peer = 0; peer < 4; peer++) {
            assertEquals(MemberState.UNKNOWN, network.nodes[4].snapshotOf(peer).state());
        }
        assertFalse(
                network.nodes[4].stateEvents.stream().anyMatch(state -> state.contains("GONE")),
                network.nodes[4].stateEvents.toString());
        assertEquals(MemberState.ALIVE, network.nodes[0].snapshotOf(1).state());
    }

    @Test
    void clusterMergesAfterPartitionHeals() {
        network.run(5);
        network.isLinkUp = (from, to) -> from < 2 == to < 2;
        network.run(30);
        assertNotEquals(MemberState.ALIVE, network.nodes[0].snapshotOf(4).state());
        network.nodes[4].gossip.updateAppliedVersions(
                network.nowNanos, GossipTestNetwork.appliedVersions(77), 1);
        network.isLinkUp = (from, to) -> true;
        network.run(30);
        assertEverybodyKnows(4, 77);
        assertEverybodyKnows(0, 1);
    }

    @Test
    void pausedProcessSuspectsNoPeersOnResume() {
        network.run(5);
        network.nodes[1].isPaused = true;
        network.run(20);
        network.nodes[1].isPaused = false;
        network.nodes[1].stateEvents.clear();
        network.run(1);
        assertFalse(
                network.nodes[1].stateEvents.stream()
                        .anyMatch(state -> state.contains("GONE") || state.contains("SUSPECTED")),
                network.nodes[1].stateEvents.toString());
        network.run(20);
        assertEverybodyKnows(1, 1);
    }

    /** One peer repeatedly declares all others dead; each of them refutes the claim. */
    @Test
    void falseDeathClaimsAreRefuted() {
        network.run(5);
        for (int i = 0; i < 20; i++) {
            for (int to = 0; to < 4; to++) {
                for (int declaredDead = 0; declaredDead < 4; declaredDead++) {
                    ByteBuffer datagram = ByteBuffer.allocate(GossipDatagram.MAX_BYTES);
                    GossipDatagram.begin(
                            datagram,
                            GossipDatagram.WIRE_VERSION,
                            GossipDatagram.Kind.UPDATE,
                            4,
                            network.nodes[4].gossip.incarnation(),
                            i,
                            0xffff);
                    datagram.put((byte) SectionType.DEAD.code())
                            .put((byte) GossipDatagram.CLAIM_BYTES)
                            .putShort((short) declaredDead);
                    GossipDatagram.putU48(
                            datagram, network.nodes[declaredDead].gossip.incarnation());
                    datagram.putShort((short) 4);
                    network.deliver(
                            to,
                            4,
                            Arrays.copyOf(datagram.array(), GossipDatagram.finish(datagram)));
                }
            }
            network.run(1);
        }
        network.run(3);
        for (int rank = 0; rank < 4; rank++) {
            assertEverybodyKnows(rank, 1);
        }
    }

    @Test
    void invalidDatagramsAreCountedAndIgnored() {
        network.run(5);
        GossipNode gossip = network.nodes[0].gossip;
        ByteBuffer datagram = ByteBuffer.allocate(GossipDatagram.MAX_BYTES);
        GossipDatagram.begin(
                datagram,
                GossipDatagram.WIRE_VERSION,
                GossipDatagram.Kind.UPDATE,
                1,
                0xffff_ffff_ffffL,
                1,
                0xffff);
        gossip.onDatagram(network.nowNanos, 1, datagram.array(), GossipDatagram.finish(datagram));
        assertEquals(1, gossip.counters().implausible, "incarnation too far in the future");
        GossipDatagram.begin(
                datagram,
                GossipDatagram.WIRE_VERSION,
                GossipDatagram.Kind.UPDATE,
                1,
                network.nodes[1].gossip.incarnation(),
                1,
                0xffff);
        gossip.onDatagram(network.nowNanos, 2, datagram.array(), GossipDatagram.finish(datagram));
        assertEquals(1, gossip.counters().wrongSender, "datagram from another member's address");
        gossip.onDatagram(network.nowNanos, 1, new byte[257], 257);
        assertEquals(1, gossip.counters().oversized);
        gossip.onDatagram(network.nowNanos, 1, new byte[40], 40);
        assertEquals(1, gossip.counters().foreign);
        GossipDatagram.begin(
                datagram,
                GossipDatagram.WIRE_VERSION,
                GossipDatagram.Kind.UPDATE,
                1,
                network.nodes[1].gossip.incarnation(),
                1,
                0xffff);
        datagram.put(3, (byte) (GossipDatagram.WIRE_VERSION + 1));
        gossip.onDatagram(network.nowNanos, 1, datagram.array(), GossipDatagram.finish(datagram));
        assertEquals(
                1,
                gossip.counters().unsupportedVersion,
                "minimum version is newer than this build");
        assertEquals(MemberState.ALIVE, network.nodes[0].snapshotOf(1).state());
    }

    /** Sends a section of an unknown type, and additional bytes in a section of a known type. */
    @Test
    void additionsOfLaterBuildsAreIgnored() {
        network.run(5);
        ByteBuffer datagram = ByteBuffer.allocate(GossipDatagram.MAX_BYTES);
        GossipDatagram.begin(
                datagram,
                GossipDatagram.WIRE_VERSION,
                GossipDatagram.Kind.UPDATE,
                1,
                network.nodes[1].gossip.incarnation(),
                1,
                0xffff);
        datagram.put((byte) 99).put((byte) 5).put(new byte[5]);
        datagram.put((byte) SectionType.APPLIED_VERSIONS.code())
                .put((byte) (AppliedVersions.BYTES + 4));
        GossipTestNetwork.appliedVersions(55).write(datagram);
        datagram.putInt(123);
        datagram.put((byte) SectionType.MEMBER_ENTRIES.code())
                .put((byte) (Integer.BYTES + GossipDatagram.MEMBER_ENTRY_BYTES))
                .putInt(GossipTestNetwork.appliedVersions(55).fingerprint())
                .putShort((short) 1);
        GossipDatagram.putU48(datagram, network.nodes[1].gossip.incarnation());
        datagram.putShort((short) 9).put((byte) 0);
        network.deliver(0, 1, Arrays.copyOf(datagram.array(), GossipDatagram.finish(datagram)));
        assertEquals(55, network.nodes[0].snapshotOf(1).appliedVersions().listRevision());
        assertEquals(9, network.nodes[0].snapshotOf(1).sequence());
    }

    /**
     * Sends arbitrary sections with a valid checksum; the node must not throw and must stay alive.
     */
    @Property(tries = 2_000)
    void arbitrarySectionsNeitherThrowNorEndTheLocalMember(
            @ForAll @Size(max = 232) byte[] body, @ForAll @IntRange(max = 6) int kind) {
        ByteBuffer datagram = ByteBuffer.allocate(GossipDatagram.MAX_BYTES);
        GossipDatagram.begin(
                datagram,
                GossipDatagram.WIRE_VERSION,
                GossipDatagram.Kind.UNKNOWN,
                1,
                Incarnation.fromUnixMillis(1_790_000_000_000L),
                1,
                0xffff);
        datagram.put(4, (byte) kind);
        datagram.put(body, 0, Math.min(body.length, 232));
        CRC32C crc = new CRC32C();
        crc.update(datagram.array(), 0, datagram.position());
        datagram.putInt((int) crc.getValue());
        GossipNode gossip =
                new GossipNode(
                        GossipSettings.STANDARD,
                        0,
                        5,
                        0,
                        Incarnation.fromUnixMillis(1_790_000_000_000L),
                        1,
                        GossipTestNetwork.appliedVersions(1),
                        0,
                        (to, data, length) -> assertTrue(length <= GossipDatagram.MAX_BYTES),
                        new GossipTestNetwork(2).nodes[0]);
        gossip.onDatagram(1, 1, datagram.array(), datagram.position());
        gossip.onTimer(GossipTestNetwork.NANOS_PER_SECOND);
        assertEquals(
                MemberState.ALIVE, gossip.snapshot(GossipTestNetwork.NANOS_PER_SECOND, 0).state());
    }

    /**
     * Payload queued in the socket of a paused process must be dated by its writer's uptime;
     * otherwise old data would appear new when it is read.
     */
    @Test
    void payloadQueuedWhileProcessIsPausedHasItsQueueingDelayReported() {
        GossipTestNetwork network = new GossipTestNetwork(4);
        for (GossipTestNetwork.Node node : network.nodes) {
            node.gossip.setPayloadProvider(
                    (atNanos, to, buffer) ->
                            buffer.add(
                                    GossipTestNetwork.PAYLOAD_TYPE,
                                    ByteBuffer.allocate(Long.BYTES).putLong(atNanos).flip()));
        }
        network.run(10);
        GossipTestNetwork.Node pausedNode = network.nodes[0];
        pausedNode.isPaused = true;
        network.run(20);
        pausedNode.payloadDelays.clear();
        pausedNode.isPaused = false;
        network.run(0.05);
        assertTrue(
                pausedNode.payloadDelays.size() > 10
                        && pausedNode.payloadDelays.stream()
                                .anyMatch(
                                        payloadDelay ->
                                                payloadDelay.ageNanos()
                                                        > 15 * GossipTestNetwork.NANOS_PER_SECOND),
                "some payloads were queued for more than 15 s");
        for (GossipTestNetwork.PayloadDelay payloadDelay : pausedNode.payloadDelays) {
            // The clocks may drift apart by 1%, which is 0.2 s in 20 s.
            assertEquals(
                    payloadDelay.ageNanos() - GossipTestNetwork.ONE_WAY_DELAY_NANOS,
                    payloadDelay.queueingNanos(),
                    0.25 * GossipTestNetwork.NANOS_PER_SECOND);
        }
    }
}
