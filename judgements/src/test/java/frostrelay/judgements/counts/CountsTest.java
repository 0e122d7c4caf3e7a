package frostrelay.judgements.counts;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import frostrelay.peers.Datagrams;
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
import java.util.Arrays;
import java.util.List;
import java.util.Random;

/**
 * What the tier does together lies within what is said of it, whatever is lost, late, doubled or
 * cut off.
 */
class CountsTest {
    private static final long MS = 1_000_000L;
    private static final long SECOND = 1_000 * MS;
    private static final long WALL = 1_790_000_000_000L;
    private static final int SECTION = 34;

    @Provide
    Arbitrary<Vector> vectors() {
        return Combinators.combine(
                        Arbitraries.longs().between(1, 2),
                        Arbitraries.longs().between(0, 4).list().ofSize(Vector.KINDS))
                .as(
                        (life, values) ->
                                new Vector(
                                        life,
                                        values.stream().mapToLong(Long::longValue).toArray()));
    }

    @Property(tries = 1_000)
    void joinIsCommutativeAssociativeAndIdempotent(
            @ForAll("vectors") Vector a, @ForAll("vectors") Vector b, @ForAll("vectors") Vector c) {
        assertEquals(Vector.join(a, b), Vector.join(b, a));
        assertEquals(Vector.join(Vector.join(a, b), c), Vector.join(a, Vector.join(b, c)));
        assertEquals(a, Vector.join(a, a));
        assertEquals(a, Vector.join(null, a));
    }

    private static Counts of(int me, int count, long now, long wallMs) {
        return new Counts(
                CountSettings.STANDARD,
                me,
                count,
                now,
                Incarnation.of(wallMs),
                rank -> true,
                (to, type, section) -> {});
    }

    /** What one would tell another now; empty for nothing. */
    private static ByteBuffer told(Counts from, long now, int to) {
        ByteBuffer loaded = Datagrams.loaded(from, now, to);
        return loaded.hasRemaining() ? loaded.slice(2, loaded.remaining() - 2) : loaded;
    }

    private record Late(long sent, long at, int from, long life, ByteBuffer section) {}

    /**
     * Four balancers, of whom some send much: at each moment the truth lies between what is known
     * and what is taken for the most, for words that are lost, doubled, late by two seconds and out
     * of order, and lives that end.
     */
    @Property(tries = 150)
    void theTruthLiesWithinTheBounds(
            @ForAll long seed, @ForAll @IntRange(min = 0, max = 60) int lost) {
        Random random = new Random(seed);
        int count = 4;
        Counts[] all = new Counts[count];
        long[] lives = new long[count];
        long[] truth = new long[count];
        long now = SECOND;
        for (int i = 0; i < count; i++) {
            lives[i] = WALL + i;
            all[i] = of(i, count, now, lives[i]);
        }
        List<Late> way = new ArrayList<>();
        // Each is heard once: of one that never was nobody knows what it has done.
        for (int i = 1; i < count; i++) {
            all[0].onCargo(now, 0, i, Incarnation.of(lives[i]), SECTION, told(all[i], now, 0));
        }
        for (int step = 0; step < 400; step++) {
            now += 20 * MS;
            for (int i = 0; i < count; i++) {
                if (random.nextInt(i + 1) == 0) {
                    all[i].add(Count.SENDS);
                    truth[i]++;
                }
            }
            int i = 1 + random.nextInt(count - 1);
            ByteBuffer section = told(all[i], now, 0);
            if (section.hasRemaining() && random.nextInt(100) >= lost) {
                way.add(new Late(now, now + random.nextInt(2_000) * MS, i, lives[i], section));
                if (random.nextBoolean()) {
                    way.add(
                            new Late(
                                    now,
                                    now + random.nextInt(2_000) * MS,
                                    i,
                                    lives[i],
                                    section.duplicate()));
                }
            }
            long moment = now;
            way.removeIf(
                    one -> {
                        if (one.at <= moment) {
                            all[0].onCargo(
                                    moment,
                                    moment - one.sent,
                                    one.from,
                                    Incarnation.of(one.life),
                                    SECTION,
                                    one.section);
                        }
                        return one.at <= moment;
                    });
            if (step % 50 == 0) {
                all[0].tick(now);
            }
            Sum sum = all[0].sum(now, Count.SENDS);
            long sent = Arrays.stream(truth).sum();
            assertTrue(
                    sum.known() <= sent && sent <= sum.most(), step + ": " + sum + " and " + sent);
            assertEquals(
                    truth[0],
                    all[0].sum(now, Count.SENDS).known()
                            - all[0].rows(now).stream()
                                    .filter(row -> now(row))
                                    .mapToLong(row -> row.values()[Count.SENDS.ordinal()])
                                    .sum());
        }
        all[0].onCargo(
                now,
                0,
                1,
                Incarnation.of(WALL + 99_000),
                SECTION,
                told(of(1, count, now, WALL + 99_000), now, 0));
        assertEquals(
                0,
                all[0].rows(now).get(0).values()[Count.SENDS.ordinal()],
                "a later life begins with nothing");
    }

    private static boolean now(Counts.Row row) {
        return row.age() < CountSettings.STANDARD.forget();
    }

    @Test
    void underSilenceASumSlidesToTheOwnCountTimesTheTierWithoutAStep() {
        Counts mine = of(0, 5, 0, WALL);
        Counts[] others = new Counts[5];
        for (int i = 1; i < 5; i++) {
            others[i] = of(i, 5, 0, WALL + i);
        }
        long now = 0;
        for (int second = 1; second <= 5; second++) {
            now = second * SECOND;
            for (int i = 1; i < 5; i++) {
                for (int n = 0; n < 100; n++) {
                    others[i].add(Count.FIRST_TRIES);
                }
                mine.onCargo(now, 0, i, Incarnation.of(WALL + i), SECTION, told(others[i], now, 0));
            }
            for (int n = 0; n < 10; n++) {
                mine.add(Count.FIRST_TRIES);
            }
            mine.tick(now);
        }
        assertEquals(410, mine.sum(now, Count.FIRST_TRIES).rate(), 1);
        assertEquals(5, mine.sum(now, Count.FIRST_TRIES).covered());
        double before = mine.sum(now, Count.FIRST_TRIES).rate();
        for (int tenth = 1; tenth <= 120; tenth++) {
            now += SECOND / 10;
            if (tenth % 10 == 0) {
                for (int n = 0; n < 10; n++) {
                    mine.add(Count.FIRST_TRIES);
                }
                mine.tick(now);
            }
            double rate = mine.sum(now, Count.FIRST_TRIES).rate();
            assertTrue(
                    rate <= before + 1e-6 && before - rate < 60, "from " + before + " to " + rate);
            before = rate;
        }
        assertEquals(50, before, 1);
        Sum alone = mine.sum(now, Count.FIRST_TRIES);
        assertEquals(1, alone.covered());
        assertEquals(5, alone.of());
        assertTrue(
                alone.most() >= 4 * 500 + alone.known(),
                "who is not heard is not taken as nothing: " + alone);
        Counts fresh = of(0, 5, now, WALL);
        assertEquals(
                Double.POSITIVE_INFINITY,
                fresh.sum(now, Count.SENDS).most(),
                "nor is who was never heard");
    }

    @Test
    void whatNobodyCanHaveDoneAndWhatIsCutOffIsPassedOver() {
        Counts mine = of(0, 3, 0, WALL);
        Counts other = of(1, 3, 0, WALL + 1);
        mine.onCargo(SECOND, 0, 1, Incarnation.of(WALL + 1), SECTION, told(other, SECOND, 0));
        long[] much = new long[Vector.KINDS];
        Arrays.fill(much, 1L << 39);
        ByteBuffer lie = ByteBuffer.allocate(Vector.bytes());
        new Vector(0, much).write(lie);
        mine.onCargo(2 * SECOND, 0, 1, Incarnation.of(WALL + 1), SECTION, lie.flip());
        assertEquals(0, mine.sum(2 * SECOND, Count.SENDS).known());
        assertEquals(1, mine.refused());
        mine.onCargo(
                2 * SECOND,
                0,
                2,
                Incarnation.of(WALL + 2),
                SECTION,
                ByteBuffer.wrap(new byte[] {1, 2, 3}));
        mine.onCargo(2 * SECOND, 0, 9, Incarnation.of(WALL + 2), SECTION, lie.rewind());
        assertEquals(2, mine.sum(2 * SECOND, Count.SENDS).covered());
    }
}
