package frostrelay.judgements;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import frostrelay.peers.Incarnation;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;

import org.junit.jupiter.api.Test;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/** What a balancer makes of others' word on caches, whoever lies and in whatever order it comes. */
class JudgementsTest implements Judgements.Actions {
    private static final long MS = 1_000_000L;
    private static final long SECOND = 1_000 * MS;
    private static final long LIFE = Incarnation.of(1_790_000_000_000L);
    private static final int BOOT = 7;

    private Set<Long> lowered = Set.of();
    private final List<Integer> posts = new ArrayList<>();
    private boolean full;

    @Override
    public void lower(Set<Long> caches) {
        lowered = caches;
    }

    @Override
    public void findsBad(long cache) {
        // Likewise.
    }

    @Override
    public boolean post(int to, int type, ByteBuffer section) {
        posts.add(to);
        return !full;
    }

    @Override
    public void changed() {
        // Nobody is told here.
    }

    private Judgements of(int count, int caches, Judgements.Trust trust) {
        Judgements one = new Judgements(JudgementSettings.STANDARD, 0, count, LIFE, trust, this);
        Map<Long, Long> listed = new HashMap<>();
        for (long i = 1; i <= caches; i++) {
            listed.put(i, (long) BOOT);
        }
        one.onList(0, listed);
        return one;
    }

    private static Evidence bad(int rank, int seq, Seen seen) {
        return new Evidence(rank, LIFE, seq, BOOT, 0, 2, seen.bit());
    }

    private static Evidence good(int rank, int seq) {
        return new Evidence(rank, LIFE, seq, BOOT, 3, 0, 0);
    }

    /** As the wire form in docs/design/shared-state.md has it. */
    private static void tell(Judgements to, long now, long cache, Evidence one, int age) {
        ByteBuffer out =
                ByteBuffer.allocate(18)
                        .putLong(cache)
                        .putShort((short) one.seq())
                        .putInt(one.boot())
                        .put((byte) age)
                        .put((byte) one.good())
                        .put((byte) one.bad())
                        .put((byte) one.kinds());
        to.onCargo(now, 0, one.rank(), one.life(), 32, out.flip());
    }

    /** Another says that one said so to it. */
    private static void bring(Judgements to, long now, long cache, int bringer, Evidence one) {
        ByteBuffer out = ByteBuffer.allocate(Evidence.BROUGHT_BYTES);
        one.write(out, cache, 0, true);
        to.onCargo(now, 0, bringer, LIFE, 33, out.flip());
    }

    @Provide
    Arbitrary<Evidence> evidence() {
        return Combinators.combine(
                        Arbitraries.longs().between(1, 3),
                        Arbitraries.integers().between(0, 9),
                        Arbitraries.integers().between(0, 2),
                        Arbitraries.integers().between(0, 3),
                        Arbitraries.integers().between(0, 3),
                        Arbitraries.integers().between(0, 7))
                .as(
                        (life, seq, boot, good, bad, kinds) ->
                                new Evidence(5, life << 7, seq, boot, good, bad, kinds));
    }

    @Property(tries = 1_000)
    void joinIsCommutativeAssociativeAndIdempotent(
            @ForAll("evidence") Evidence a,
            @ForAll("evidence") Evidence b,
            @ForAll("evidence") Evidence c) {
        assertEquals(Evidence.join(a, b), Evidence.join(b, a));
        assertEquals(Evidence.join(Evidence.join(a, b), c), Evidence.join(a, Evidence.join(b, c)));
        assertEquals(a, Evidence.join(a, a));
        assertEquals(a, Evidence.join(a, null));
    }

    /** Order, doubles and who brings it change nothing; nor is anybody's evidence counted twice. */
    @Property(tries = 200)
    void whateverOrderItComesInTheSameIsKnown(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 30) int messages) {
        Random random = new Random(seed);
        List<Evidence> all = new ArrayList<>();
        for (int i = 0; i < messages; i++) {
            int rank = 1 + random.nextInt(5);
            all.add(
                    random.nextBoolean()
                            ? bad(rank, random.nextInt(6), Seen.SILENT)
                            : good(rank, random.nextInt(6)));
        }
        List<Evidence> other = new ArrayList<>(all);
        other.addAll(all.subList(0, random.nextInt(messages)));
        Collections.shuffle(other, random);
        // One instance serves all tries.
        lowered = Set.of();
        Judgements one = of(8, 6, (now, rank) -> true);
        all.forEach(evidence -> tell(one, SECOND, 1, evidence, 0));
        Set<Long> first = lowered;
        lowered = Set.of();
        Judgements two = of(8, 6, (now, rank) -> true);
        other.forEach(evidence -> tell(two, SECOND, 1, evidence, 0));
        assertEquals(one.said(SECOND, 1).keySet(), two.said(SECOND, 1).keySet());
        assertEquals(first, lowered);
        assertTrue(one.said(SECOND, 1).size() <= 5);
    }

    @Test
    void theThirdWitnessLowersACacheAndOwnFreshAnswersAgeOrAnotherStartEndThat() {
        Judgements one = of(6, 6, (now, rank) -> true);
        tell(one, SECOND, 2, bad(1, 1, Seen.SILENT), 0);
        tell(one, SECOND, 2, bad(1, 2, Seen.SILENT), 0);
        tell(one, SECOND, 2, bad(2, 1, Seen.RESET), 0);
        assertEquals(Set.of(), lowered, "two, one of them twice");
        tell(one, SECOND, 2, bad(3, 1, Seen.UNREACHABLE), 20);
        assertEquals(Set.of(2L), lowered);
        one.onSeen(2 * SECOND, 2, Seen.ANSWERED, 2 * SECOND);
        assertEquals(Set.of(), lowered, "it has just answered here");
        one.onWake(3 * SECOND + MS);
        assertEquals(Set.of(), lowered, "what they said before that is overtaken");
        tell(one, 4 * SECOND, 2, bad(1, 3, Seen.SILENT), 0);
        tell(one, 4 * SECOND, 2, bad(2, 2, Seen.SILENT), 0);
        tell(one, 4 * SECOND, 2, bad(3, 2, Seen.SILENT), 5);
        assertEquals(Set.of(2L), lowered, "and they see it bad again");
        one.onWake(13 * SECOND + 600 * MS);
        assertEquals(Set.of(), lowered, "the third was half a second old when it came");
        tell(one, 14 * SECOND, 3, bad(1, 1, Seen.SILENT), 0);
        tell(one, 14 * SECOND, 3, bad(2, 1, Seen.SILENT), 0);
        tell(one, 14 * SECOND, 3, bad(4, 1, Seen.SILENT), 0);
        assertEquals(Set.of(3L), lowered);
        one.onList(15 * SECOND, Map.of(1L, 7L, 2L, 7L, 3L, 8L, 4L, 7L, 5L, 7L, 6L, 7L));
        assertEquals(Set.of(), lowered, "it has started anew");
    }

    @Test
    void aLiarAStragglerOneThatIsCutOffAndTheDeafLowerNothing() {
        Judgements one = of(8, 9, (now, rank) -> rank != 5);
        for (long cache = 1; cache <= 9; cache++) {
            tell(one, SECOND, cache, bad(1, 1, Seen.SILENT), 0);
            tell(one, SECOND, cache, bad(5, 1, Seen.SILENT), 0);
            tell(one, SECOND, cache, new Evidence(1, LIFE + (1L << 20), 1, BOOT, 0, 255, 63), 0);
        }
        assertEquals(Set.of(), lowered, "one liar in two lives, and one who is not trusted");
        for (long cache = 1; cache <= 9; cache++) {
            tell(one, SECOND, cache, bad(2, 1, Seen.SILENT), 0);
            tell(one, SECOND, cache, bad(3, 1, Seen.SILENT), 0);
        }
        assertEquals(3, lowered.size(), "three of them lie: a third of the caches, no more");
        one.onDeaf(2 * SECOND, true);
        assertEquals(Set.of(), lowered);
    }

    /**
     * One liar is one voice: in its own name, in others', and where honest ones pass on what it
     * said of itself.
     */
    @Property(tries = 300)
    void aLiarIsOneVoiceWhateverItBringsAndWhoeverRepeatsIt(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 2) int liars) {
        lowered = Set.of();
        Random random = new Random(seed);
        Judgements one = of(40, 6, (now, rank) -> true);
        for (int i = 0; i < 60; i++) {
            long now = SECOND + i * MS;
            int liar = 1 + random.nextInt(liars);
            switch (random.nextInt(3)) {
                case 0 -> tell(one, now, 1, bad(liar, i, Seen.SILENT), 0);
                case 1 -> bring(one, now, 1, liar, bad(random.nextInt(40), i, Seen.SILENT));
                default -> bring(one, now, 1, 3 + random.nextInt(37), bad(liar, i, Seen.SILENT));
            }
            assertEquals(Set.of(), lowered, "two voices at most");
        }
        for (int rank = 10; rank < 13; rank++) {
            tell(one, 2 * SECOND, 1, bad(rank, 1, Seen.SILENT), 0);
        }
        assertEquals(Set.of(1L), lowered);
    }

    @Test
    void whatThreeBringOfThreeOthersCountsUntilOneOfThemSaysOtherwise() {
        Judgements one = of(40, 6, (now, rank) -> true);
        bring(one, SECOND, 1, 5, bad(15, 1, Seen.SILENT));
        bring(one, SECOND, 1, 5, bad(16, 1, Seen.SILENT));
        bring(one, SECOND, 1, 6, bad(16, 1, Seen.SILENT));
        bring(one, SECOND, 1, 6, bad(17, 1, Seen.SILENT));
        assertEquals(Set.of(), lowered, "three say so, and two bring it");
        bring(one, SECOND, 1, 7, bad(17, 1, Seen.SILENT));
        assertEquals(Set.of(1L), lowered);
        bring(one, SECOND, 1, 8, good(16, 9));
        assertEquals(Set.of(1L), lowered, "that it is well again its writer says itself");
        tell(one, SECOND, 1, good(16, 2), 0);
        assertEquals(Set.of(), lowered);
    }

    /**
     * In a small tier each is told twice; what the ceiling held back counts as told to nobody and
     * comes later.
     */
    @Test
    void whatTheCeilingHoldsBackIsToldLater() {
        Judgements one = of(4, 6, (now, rank) -> true);
        full = true;
        one.onSeen(SECOND, 2, Seen.RESET, SECOND);
        one.onWake(one.next());
        assertEquals(List.of(1, 2, 3), posts);
        full = false;
        posts.clear();
        for (int i = 0; i < 12; i++) {
            one.onWake(one.next());
        }
        assertEquals(List.of(1, 2, 3, 1, 2, 3), posts);
    }

    @Test
    void manyThatFailByTheirOwnWordHaveOneCauseBehindThem() {
        Judgements one = of(6, 6, (now, rank) -> true);
        for (long cache = 1; cache <= 4; cache++) {
            for (int rank = 1; rank <= 3; rank++) {
                tell(one, SECOND, cache, bad(rank, 1, Seen.FAILED), 0);
            }
        }
        assertEquals(Set.of(), lowered);
        for (int rank = 1; rank <= 3; rank++) {
            tell(one, SECOND, 5, bad(rank, 1, Seen.UNREACHABLE), 0);
        }
        assertEquals(Set.of(5L), lowered, "one that is not there is another matter");
    }

    /**
     * What needs the origin takes long: caches leave some reads unanswered and answer others
     * meanwhile.
     */
    @Test
    void readsThatAreSlowForTheirKeysTellNothingOfTheirCache() {
        Judgements one = of(6, 6, (now, rank) -> true);
        for (int i = 1; i <= 6; i++) {
            one.onSeen(i * SECOND + 200 * MS, 1, Seen.ANSWERED, i * SECOND + 100 * MS);
            one.onSeen(i * SECOND + 300 * MS, 1, Seen.SILENT, i * SECOND);
        }
        assertEquals(0, one.counts()[0], "nothing was written");
        one.onSeen(9 * SECOND, 1, Seen.SILENT, 8 * SECOND);
        assertEquals(1, one.counts()[0]);
    }

    @Test
    void oneWhomOthersContradictLosesItsWeight() {
        Judgements one = of(8, 9, (now, rank) -> true);
        for (long cache = 1; cache <= 6; cache++) {
            tell(one, SECOND, cache, bad(1, 1, Seen.SILENT), 0);
            tell(one, SECOND, cache, good(2, 1), 0);
            tell(one, SECOND, cache, good(3, 1), 0);
        }
        tell(one, SECOND, 9, bad(1, 1, Seen.SILENT), 0);
        tell(one, SECOND, 9, bad(4, 1, Seen.SILENT), 0);
        tell(one, SECOND, 9, bad(5, 1, Seen.SILENT), 0);
        assertEquals(Set.of(), lowered, "two count: the third calls six healthy ones bad");
        tell(one, SECOND, 9, bad(6, 1, Seen.SILENT), 0);
        assertEquals(Set.of(9L), lowered);
    }

    /**
     * Whatever comes, a third of the listed caches at most is lowered, and damaged sections cost
     * nothing but themselves.
     */
    @Property(tries = 200)
    void theBoundHoldsWhateverComes(
            @ForAll long seed, @ForAll @IntRange(min = 2, max = 12) int count) {
        lowered = Set.of();
        Random random = new Random(seed);
        Judgements one = of(count, 6, (now, rank) -> random.nextInt(4) > 0);
        long now = 0;
        for (int i = 0; i < 300; i++) {
            now += random.nextInt(300) * MS;
            switch (random.nextInt(5)) {
                case 0 ->
                        one.onSeen(
                                now,
                                1 + random.nextInt(8),
                                Seen.values()[random.nextInt(Seen.values().length)],
                                now);
                case 1 -> {
                    byte[] noise = new byte[random.nextInt(120)];
                    random.nextBytes(noise);
                    one.onCargo(now, 0, random.nextInt(14), LIFE, 32, ByteBuffer.wrap(noise));
                }
                case 2 -> one.onWake(Math.max(now, one.next()));
                default ->
                        tell(
                                one,
                                now,
                                1 + random.nextInt(8),
                                random.nextInt(4) > 0
                                        ? bad(random.nextInt(14), i, Seen.SILENT)
                                        : good(random.nextInt(14), i),
                                random.nextInt(256));
            }
            assertTrue(
                    lowered.size() <= 2 && Set.of(1L, 2L, 3L, 4L, 5L, 6L).containsAll(lowered),
                    lowered.toString());
        }
    }
}
