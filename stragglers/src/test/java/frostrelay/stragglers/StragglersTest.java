package frostrelay.stragglers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import frostrelay.peers.Stamp;
import frostrelay.peers.State;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * What a balancer makes of others' word, whoever lies, whoever is silent and whatever comes in
 * whatever order.
 */
class StragglersTest implements Stragglers.Actions {
    private static final long MS = 1_000_000L;
    private static final long SECOND = 1_000 * MS;
    private static final Set<Long> CACHES = Set.of(1L, 2L, 3L, 4L, 5L, 6L);

    private Set<Long> avoided = Set.of();
    private boolean aside;
    private int asked;
    private int reread;
    private long fetched;
    private int said;
    private final List<String> stays = new ArrayList<>();
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
    public void fetch(long digest, List<Integer> holders) {
        fetched = digest;
    }

    @Override
    public void says() {
        said++;
    }

    @Override
    public void stays(Kind kind, long number, String why) {
        stays.add(kind + " " + number);
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
        for (long now = 0, next = one.next(now); next <= moment; next = one.next(now)) {
            now = next;
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
            one.onPeer(SECOND, peer, State.ALIVE, list(9), 1, 0);
        }
        assertEquals(
                Stragglers.Standing.WAITING,
                one.standing(),
                "known at once; it may yet come by itself");
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
        one.onPeer(SECOND, 1, State.ALIVE, later, 1, 0);
        one.onPeer(SECOND, 2, State.ALIVE, list(5), 1, 0);
        one.onPeer(SECOND, 3, State.ALIVE, list(5), 1, 0);
        until(one, 5 * SECOND);
        assertEquals(0, reread, "one alone proves nothing among three");
        one.onPeer(5 * SECOND, 2, State.ALIVE, later, 1, 0);
        until(one, 9 * SECOND);
        assertEquals(0, reread, "those that took it have not yet shown what it does");
        until(one, 32 * SECOND);
        assertEquals(3, reread);
        one.onOwn(33 * SECOND, later, CACHES);
        until(one, 60 * SECOND);
        assertEquals(3, reread);
    }

    @Test
    void operatorsCanKeepItIn() {
        Stragglers one = of(3, 5);
        for (int peer : new int[] {0, 1, 2}) {
            one.onPeer(SECOND, peer, State.ALIVE, list(9), 1, 0);
        }
        until(one, 20 * SECOND);
        assertTrue(aside);
        one.onOverrides(21 * SECOND, new Overrides(Set.of(Overrides.KEEP_IN)));
        assertFalse(aside);
        assertEquals(Stragglers.Standing.STRAGGLER, one.standing(), "it is one all the same");
    }

    @Test
    void whoHearsNothingIsNeitherCurrentNorBehindAndStays() {
        Stragglers one = of(3, 5);
        for (int peer : new int[] {0, 1, 2}) {
            one.onPeer(SECOND, peer, State.ALIVE, list(9), 1, 0);
        }
        until(one, 20 * SECOND);
        assertTrue(aside);
        one.onDeaf(21 * SECOND, true);
        assertEquals(Stragglers.Standing.HEARS_NOTHING, one.standing());
        assertFalse(aside, "hearing nobody is no reason to be aside");
    }

    /**
     * Found by a campaign: beside a hold and an older drain, 97 commands went to a cache whose
     * drain three others knew.
     */
    @Test
    void ownHoldsTakeNoRoomAndTheNewestWordGoesFirst() {
        Stragglers one = of(3, 5);
        for (int peer : new int[] {0, 1}) {
            one.onPeer(SECOND, peer, State.ALIVE, list(8), 1, 0);
            one.onHeld(SECOND, peer, 0, 6);
            one.onAway(SECOND, peer, 6, 1);
        }
        assertEquals(Set.of(1L, 6L), avoided, "one is held elsewhere, one drains");
        one.onAway(2 * SECOND, 0, 8, 3);
        one.onAway(2 * SECOND, 1, 8, 3);
        assertEquals(Set.of(3L, 6L), avoided, "the newest word first");
        one.onHolds(3 * SECOND, Set.of(6L));
        assertEquals(Set.of(1L, 3L), avoided, "what is held here is out of use already");
        one.onHolds(4 * SECOND, Set.of());
        assertEquals(Set.of(3L, 6L), avoided);
    }

    @Test
    void oneLiarProvesNoVersionAndItsWordOnCachesSoonEnds() {
        Stragglers one = of(3, 5);
        for (int peer : new int[] {0, 1}) {
            one.onPeer(SECOND, peer, State.ALIVE, list(5), 1, 0);
        }
        one.onPeer(SECOND, 2, State.ALIVE, list(Long.MAX_VALUE), 1, 0);
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
    void aLiarThatClaimsTheFarFutureKeepsNoTrueWordAlive() {
        Stragglers one = of(3, 5);
        for (int peer : new int[] {0, 1, 2}) {
            one.onPeer(SECOND, peer, State.ALIVE, list(7), 1, 0);
            one.onAway(SECOND, peer, peer == 2 ? Long.MAX_VALUE : 7, 4);
        }
        assertEquals(Set.of(4L), avoided);
        until(one, 8 * SECOND);
        for (int peer : new int[] {0, 1}) {
            one.onPeer(8 * SECOND, peer, State.ALIVE, list(9), 1, 0);
            one.onBack(8 * SECOND, peer, 9, 4);
        }
        assertEquals(Set.of(), avoided, "the liar alone has been believed for as long as one is");
    }

    @Test
    void whatIsBackOrCaughtUpWithIsUsedAgain() {
        Stragglers one = of(0, 5);
        one.onAway(SECOND, 1, 7, 2);
        one.onAway(SECOND, 2, 7, 2);
        one.onAway(SECOND, 1, 8, 3);
        assertEquals(Set.of(2L, 3L), avoided);
        one.onBack(2 * SECOND, 2, 9, 3);
        assertEquals(Set.of(2L, 3L), avoided, "nobody is known to act on version 9");
        one.onPeer(2 * SECOND, 2, State.ALIVE, list(9), 1, 0);
        assertEquals(Set.of(2L), avoided);
        one.onAway(2 * SECOND, 1, 8, 3);
        one.onAway(2 * SECOND, 2, 8, 3);
        assertEquals(Set.of(2L), avoided, "a word that was overtaken on its way");
        one.onOwn(3 * SECOND, list(7), CACHES);
        assertEquals(
                Set.of(), avoided, "the own list of that version names it as ready: that stands");
        one.onAway(4 * SECOND, 1, 6, 2);
        assertEquals(Set.of(), avoided, "older than the own list");
    }

    private static Stamp config(long number, long holds) {
        return new Stamp(1, number, number * 7, 5, 5 * 31, holds, 0);
    }

    private Stragglers amongFive() {
        Stragglers one = of(0, 5);
        for (int peer = 1; peer < 5; peer++) {
            one.onPeer(SECOND, peer, State.ALIVE, config(1, 0), 1, 0);
        }
        return one;
    }

    @Test
    void aVersionUnderWhichThoseThatTookItFailIsNotFollowedUntilOperatorsSaySo() {
        Stragglers one = amongFive();
        for (int peer : new int[] {1, 2}) {
            one.onPeer(2 * SECOND, peer, State.ALIVE, config(2, 0), 1, 0);
            one.onFails(2 * SECOND, peer, Kind.CONFIG, 2, true);
        }
        assertEquals(Stragglers.Standing.STAYS_BEHIND, one.configStanding());
        assertEquals(List.of("CONFIG 2"), stays);
        until(one, 30 * SECOND);
        assertEquals(0, reread);
        one.onOverrides(31 * SECOND, new Overrides(Set.of(Overrides.follow(Kind.CONFIG, 2))));
        assertEquals(Stragglers.Standing.BEHIND, one.configStanding());
        until(one, 38 * SECOND);
        assertEquals(1, reread);
    }

    @Test
    void livesThatEndRightBehindAVersionSpeakAgainstItAndFarewellsAndOldFaultsDoNot() {
        Stragglers one = amongFive();
        one.onPeer(2 * SECOND, 1, State.ALIVE, config(2, 0), 1, 0);
        one.onPeer(2 * SECOND, 2, State.ALIVE, config(2, 0), 1, 0);
        one.onPeer(3 * SECOND, 1, State.LEFT, config(2, 0), 1, 0);
        one.onPeer(4 * SECOND, 2, State.GONE, config(2, 0), 1, SECOND);
        one.onPeer(5 * SECOND, 1, State.ALIVE, config(2, 0), 2, 0);
        one.onPeer(5 * SECOND, 2, State.ALIVE, config(2, 0), 2, 0);
        assertEquals(
                Stragglers.Standing.BEHIND, one.configStanding(), "one of the two left in order");
        one.onPeer(6 * SECOND, 1, State.ALIVE, config(2, 0), 3, 0);
        assertEquals(
                Stragglers.Standing.STAYS_BEHIND, one.configStanding(), "and now it died as well");
        // A fault that those feel who did not take it says nothing of the version.
        stays.clear();
        Stragglers other = amongFive();
        for (int peer = 1; peer < 5; peer++) {
            other.onPeer(2 * SECOND, peer, State.ALIVE, config(peer < 3 ? 2 : 1, 0), 1, 0);
            other.onFails(2 * SECOND, peer, Kind.CONFIG, peer < 3 ? 2 : 1, true);
        }
        assertEquals(Stragglers.Standing.BEHIND, other.configStanding());
    }

    @Test
    void itSaysOfItselfThatItServesWorseSinceAVersionAndNotWhereItServedBadlyBefore() {
        Stragglers one = amongFive();
        long ended = 0;
        long served = 0;
        for (int second = 2; second < 15; second++) {
            one.onSecond(second * SECOND, ended += 40, served += 38);
        }
        one.onOwn(15 * SECOND, config(2, 0), CACHES);
        one.onSecond(16 * SECOND, ended += 40, served += 20);
        assertEquals(List.of(), one.failing(), "one bad second is a burst");
        one.onSecond(17 * SECOND, ended += 40, served += 20);
        assertEquals(List.of(Kind.CONFIG), one.failing());
        assertEquals(1, said);
        for (int second = 18; second < 24; second++) {
            one.onSecond(second * SECOND, ended += 40, served += 39);
        }
        assertEquals(List.of(), one.failing());
        for (int second = 24; second < 100; second++) {
            one.onSecond(second * SECOND, ended += 40, served += 20);
        }
        one.onOwn(100 * SECOND, config(3, 0), CACHES);
        one.onSecond(101 * SECOND, ended += 40, served += 20);
        one.onSecond(102 * SECOND, ended += 40, served += 20);
        one.onSecond(103 * SECOND, ended += 40, served += 20);
        assertEquals(List.of(), one.failing(), "as bad as it was");
        one.onOwn(110 * SECOND, new Stamp(1, 3, 21, 6, 1, 0, 0), CACHES);
        for (int second = 111; second < 120; second++) {
            one.onSecond(second * SECOND, ended += 40, served += 15);
        }
        assertEquals(
                List.of(), one.failing(), "a list that leaves less room is not at fault for that");
        for (int second = 120; second < 126; second++) {
            one.onSecond(second * SECOND, ended += 40, served += 1);
        }
        assertTrue(one.failing().contains(Kind.LIST), "one that ends nearly all service is");
    }

    @Test
    void aRefusedConfigurationIsAKnownReasonAndOneThatOnlyOthersHaveIsFetched() {
        Stragglers one = amongFive();
        one.onPeer(2 * SECOND, 1, State.ALIVE, config(2, 0), 1, 0);
        one.onPeer(2 * SECOND, 2, State.ALIVE, config(2, 0), 1, 0);
        until(one, 11 * SECOND);
        assertEquals(14, fetched, "its digest");
        assertEquals(Stragglers.Standing.STRAGGLER, one.configStanding());
        assertFalse(aside, "a roll-out in steps has most of a fleet behind on purpose");
        one.onRefused(12 * SECOND, 2);
        assertEquals(Stragglers.Standing.REFUSED, one.configStanding());
        assertEquals(0, fetched, "what cannot be used is not fetched");
    }

    @Test
    void holdsOfTwoOthersAreHeededAsLongAsTheirStampsHaveThem() {
        Stragglers one = amongFive();
        one.onHeld(2 * SECOND, 1, 99, 4);
        one.onPeer(2 * SECOND, 1, State.ALIVE, config(1, 99), 1, 0);
        assertEquals(Set.of(), avoided, "one balancer's hold is its own");
        one.onHeld(3 * SECOND, 2, 99, 4);
        one.onPeer(3 * SECOND, 2, State.ALIVE, config(1, 99), 1, 0);
        assertEquals(Set.of(4L), avoided);
        until(one, 60 * SECOND);
        assertEquals(Set.of(4L), avoided, "it needs no renewal");
        one.onDeaf(61 * SECOND, true);
        until(one, 80 * SECOND);
        assertEquals(Set.of(4L), avoided, "hearing nobody is no release");
        until(one, 95 * SECOND);
        assertEquals(Set.of(), avoided, "nor does it hold for ever");
        one.onDeaf(96 * SECOND, false);
        for (long cache : CACHES) {
            one.onHeld(97 * SECOND, 1, 77, cache);
            one.onHeld(97 * SECOND, 2, 77, cache);
        }
        assertEquals(2, avoided.size(), "a third of the caches, whoever says what");
        one.onPeer(100 * SECOND, 1, State.ALIVE, config(1, 0), 1, 0);
        assertEquals(Set.of(), avoided, "its stamp has another digest: released");
    }

    @Test
    void aStragglersWordIsPassedOverUntilItIsCurrentAndSilenceIsNeither() {
        Stragglers one = amongFive();
        one.onOwn(2 * SECOND, list(9), CACHES);
        assertEquals(Heed.CURRENT, one.heeds(7 * SECOND, 1));
        assertEquals(Heed.PASSED_OVER, one.heeds(9 * SECOND, 1));
        one.onPeer(10 * SECOND, 1, State.ALIVE, list(9), 1, 0);
        assertEquals(Heed.CURRENT, one.heeds(10 * SECOND, 1));
        one.onPeer(11 * SECOND, 1, State.GONE, list(9), 1, 0);
        assertEquals(Heed.UNKNOWN, one.heeds(11 * SECOND, 1));
        one.onDeaf(12 * SECOND, true);
        assertEquals(Heed.UNKNOWN, one.heeds(12 * SECOND, 2));
    }

    @Test
    void operatorsShutOneOutAndLetItGo() {
        Stragglers one = amongFive();
        one.onOverrides(2 * SECOND, new Overrides(Set.of(Overrides.SHUT_OUT)));
        assertTrue(aside, "without a place, without being behind");
        one.onOverrides(3 * SECOND, Overrides.NONE);
        assertFalse(aside);
    }

    /**
     * Whatever anybody says in whatever order: a third of the caches at most, none that is not the
     * own list's, never too many aside.
     */
    @Property(tries = 300)
    void boundsHoldWhateverIsSaid(
            @ForAll long seed, @ForAll @IntRange(min = 2, max = 16) int count) {
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
            switch (peer == me ? 5 : random.nextInt(8)) {
                case 0 ->
                        one.onPeer(
                                now,
                                peer,
                                State.values()[random.nextInt(5)],
                                random.nextBoolean() ? null : list(random.nextInt(20)),
                                1,
                                0);
                case 1, 2 -> one.onAway(now, peer, random.nextLong(20), random.nextInt(9));
                case 3 -> one.onBack(now, peer, random.nextLong(20), random.nextInt(9));
                case 4 -> one.onDeaf(now, random.nextInt(5) == 0);
                case 6 -> one.onHeld(now, peer, random.nextInt(3), random.nextInt(9));
                case 7 ->
                        one.onFails(
                                now,
                                peer,
                                Kind.values()[random.nextInt(2)],
                                random.nextInt(20),
                                true);
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
