package frostrelay.stragglers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import frostrelay.peers.Stamp;
import frostrelay.peers.State;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** What a balancer makes of others' word, whoever lies, whoever is silent and whatever comes in whatever order. */
class StragglersTest implements Stragglers.Actions {
    private static final long MS = 1_000_000L;
    private static final long SECOND = 1_000 * MS;
    private static final Set<Long> CACHES = Set.of(1L, 2L, 3L, 4L, 5L, 6L);

    private Set<Long> avoided = Set.of();
    private boolean aside;
    private int asked;
    private int reread;
    private final List<String> told = new ArrayList<>();

    @Override
    public void ask() {
        asked++;
    }

    @Override
    public void reread() {
        reread++;
    }

    @Override
    public void avoid(Set<Long> caches) {
        avoided = caches;
    }

    @Override
    public void aside(boolean on, String why) {
        aside = on;
    }

    @Override
    public void tell(String what) {
        told.add(what);
    }

    private static Stamp list(long rev) {
        return new Stamp(1, 1, 1, rev, rev * 31, 0, 0);
    }

    private Stragglers of(int me, int count) {
        Stragglers one = new Stragglers(StragglerSettings.STANDARD, me, count, 1, list(5), this);
        one.onOwn(0, list(5), CACHES);
        return one;
    }

    /** Runs its timers up to a moment. */
    private static void until(Stragglers one, long moment) {
        for (long next = one.next(); next <= moment; next = one.next()) {
            one.onWake(next);
        }
    }

    @Test
    void versionsAreOrderedByNumberAndOneNumberWithTwoContentsIsAConflict() {
        assertEquals(Order.NEWER, Order.list(list(5), list(6)));
        assertEquals(Order.OLDER, Order.list(list(5), list(4)));
        assertEquals(Order.CONFLICT, Order.list(list(5), new Stamp(1, 1, 1, 5, 99, 0, 0)));
        assertEquals(Order.SAME, Order.config(list(5), list(9)));
        Stamp unnumbered = new Stamp(1, Stamp.NO_NUMBER, 7, 5, 1, 0, 0);
        assertEquals(Order.UNORDERED, Order.config(list(5), unnumbered));
    }

    @Test
    void newsMakesItAskEverMoreSeldomAndStepAsideWhenThatBringsNothing() {
        Stragglers one = of(3, 5);
        for (int peer : new int[] {0, 1, 2}) {
            one.onPeer(SECOND, peer, State.ALIVE, list(9));
        }
        assertEquals(Stragglers.Standing.WAITING, one.standing(), "known at once; it may yet come by itself");
        until(one, SECOND + 3 * SECOND);
        assertEquals(Stragglers.Standing.BEHIND, one.standing());
        assertTrue(asked >= 1 && asked <= 4, "asked " + asked + " times in three seconds");
        assertFalse(aside);
        until(one, SECOND + 7 * SECOND);
        assertEquals(Stragglers.Standing.STRAGGLER, one.standing());
        assertTrue(aside);
        until(one, SECOND + 60 * SECOND);
        assertTrue(asked < 15, "a fleet that is told nothing does not mob discovery: " + asked);
        one.onOwn(70 * SECOND, list(9), CACHES);
        assertEquals(Stragglers.Standing.CURRENT, one.standing());
        assertFalse(aside, "it comes back by itself");
    }

    @Test
    void aLaterConfigurationOfTwoMakesItReadItsFileNowAndThen() {
        Stragglers one = of(0, 5);
        Stamp later = new Stamp(1, 2, 8, 5, 5 * 31, 0, 0);
        one.onPeer(SECOND, 1, State.ALIVE, later);
        one.onPeer(SECOND, 2, State.ALIVE, list(5));
        one.onPeer(SECOND, 3, State.ALIVE, list(5));
        until(one, 5 * SECOND);
        assertEquals(0, reread, "one alone proves nothing among three");
        one.onPeer(5 * SECOND, 2, State.ALIVE, later);
        until(one, 27 * SECOND);
        assertEquals(3, reread);
        one.onOwn(28 * SECOND, later, CACHES);
        until(one, 60 * SECOND);
        assertEquals(3, reread);
    }

    @Test
    void operatorsCanKeepItIn() {
        Stragglers one = of(3, 5);
        for (int peer : new int[] {0, 1, 2}) {
            one.onPeer(SECOND, peer, State.ALIVE, list(9));
        }
        until(one, 20 * SECOND);
        assertTrue(aside);
        one.keepIn(21 * SECOND, true);
        assertFalse(aside);
        assertEquals(Stragglers.Standing.STRAGGLER, one.standing(), "it is one all the same");
    }

    @Test
    void whoHearsNothingIsNeitherCurrentNorBehindAndStays() {
        Stragglers one = of(3, 5);
        for (int peer : new int[] {0, 1, 2}) {
            one.onPeer(SECOND, peer, State.ALIVE, list(9));
        }
        until(one, 20 * SECOND);
        assertTrue(aside);
        one.onDeaf(21 * SECOND, true);
        assertEquals(Stragglers.Standing.HEARS_NOTHING, one.standing());
        assertFalse(aside, "hearing nobody is no reason to be aside");
    }

    @Test
    void oneLiarProvesNoVersionAndItsWordOnCachesSoonEnds() {
        Stragglers one = of(3, 5);
        for (int peer : new int[] {0, 1}) {
            one.onPeer(SECOND, peer, State.ALIVE, list(5));
        }
        one.onPeer(SECOND, 2, State.ALIVE, list(Long.MAX_VALUE));
        for (long cache : CACHES) {
            one.onAway(2 * SECOND, 2, Long.MAX_VALUE, cache);
        }
        assertEquals(Stragglers.Standing.CURRENT, one.standing());
        assertTrue(avoided.size() <= 2, "a third of the caches at most");
        until(one, 8 * SECOND + MS);
        assertEquals(Set.of(), avoided, "alone it is believed for six seconds");
        for (int i = 9; i < 30; i++) {
            for (long cache : CACHES) {
                one.onAway(i * SECOND, 2, Long.MAX_VALUE, cache);
            }
            assertEquals(Set.of(), avoided, "and not again for saying it again");
        }
        until(one, 30 * SECOND);
        assertEquals(0, asked);
        assertFalse(aside);
    }

    @Test
    void whatIsBackOrCaughtUpWithIsUsedAgain() {
        Stragglers one = of(0, 5);
        one.onAway(SECOND, 1, 7, 2);
        one.onAway(SECOND, 2, 7, 2);
        one.onAway(SECOND, 1, 8, 3);
        assertEquals(Set.of(2L, 3L), avoided);
        one.onBack(2 * SECOND, 2, 9, 3);
        assertEquals(Set.of(2L), avoided);
        one.onOwn(3 * SECOND, list(7), CACHES);
        assertEquals(Set.of(), avoided, "the own list of that version names it as ready: that stands");
        one.onAway(4 * SECOND, 1, 6, 2);
        assertEquals(Set.of(), avoided, "older than the own list");
    }

    /** Whatever anybody says in whatever order: a third of the caches at most, none that is not the own list's, never too many aside. */
    @Property(tries = 300)
    void boundsHoldWhateverIsSaid(@ForAll long seed, @ForAll @IntRange(min = 2, max = 16) int count) {
        // One instance serves all tries.
        avoided = Set.of();
        aside = false;
        SplittableRandom random = new SplittableRandom(seed);
        int me = random.nextInt(count);
        Stragglers one = new Stragglers(StragglerSettings.STANDARD, me, count, seed, list(5), this);
        Set<Long> own = new HashSet<>(CACHES);
        one.onOwn(0, list(5), Set.copyOf(own));
        long now = 0;
        for (int i = 0; i < 300; i++) {
            now += random.nextLong(SECOND);
            until(one, now);
            int peer = random.nextInt(count);
            switch (peer == me ? 5 : random.nextInt(6)) {
                case 0 -> one.onPeer(now, peer, State.values()[random.nextInt(5)], random.nextBoolean() ? null
                        : list(random.nextInt(20)));
                case 1, 2 -> one.onAway(now, peer, random.nextLong(20), random.nextInt(9));
                case 3 -> one.onBack(now, peer, random.nextLong(20), random.nextInt(9));
                case 4 -> one.onDeaf(now, random.nextInt(5) == 0);
                default -> {
                    if (random.nextInt(10) == 0) {
                        own.remove((long) random.nextInt(7));
                        one.onOwn(now, list(5 + i / 20), Set.copyOf(own));
                    }
                }
            }
            assertTrue(avoided.size() <= Math.ceil(own.size() / 3.0), avoided + " of " + own);
            assertTrue(own.containsAll(avoided));
            assertTrue(!aside || Stragglers.mayLeave(me, count, 0.25));
        }
        int places = 0;
        for (int i = 0; i < count; i++) {
            places += Stragglers.mayLeave(i, count, 0.25) ? 1 : 0;
        }
        assertTrue(places <= Math.ceil(count / 4.0) && (count > 2 || places == 0));
    }
}
