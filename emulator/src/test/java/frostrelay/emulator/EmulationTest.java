package frostrelay.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import frostrelay.emulator.Plant.Fault;
import frostrelay.emulator.Plant.Kind;
import frostrelay.policy.Api;
import frostrelay.policy.Router;

import org.junit.jupiter.api.Test;

import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.UnaryOperator;
import java.util.stream.IntStream;

/** Whole days with the real decision module. */
class EmulationTest {
    private static final long MS = 1_000_000L;
    private static final long SECOND = 1_000 * MS;

    private static Plant plant(long seed, List<Fault> faults) {
        return new Plant(
                seed,
                0,
                30 * SECOND,
                3,
                12,
                1,
                new Plant.Cache(1, 64, 0, 400, Plant.Eviction.LRU, 0.15, 10 * SECOND, false, true),
                new Plant.Origin(12, 60 * MS, 100, 3, 3 * SECOND),
                new Plant.Network(MS, MS, 0, 0),
                new Plant.Links(false, 0, 0, 1, 1, 1, 1),
                new Plant.Clients(300, 0, SECOND, 0, 2_000, 0.95, 0, 2, 200 * MS, 0.7, true, 0),
                new Plant.Balancer(100_000, 4, true),
                new Plant.Discovery(SECOND, 0, 0),
                List.of(),
                List.of(
                        new Plant.Load(
                                0.95,
                                15 * MS,
                                Plant.Spread.EXPONENTIAL,
                                300 * MS,
                                1_500 * MS,
                                1,
                                Api.Effect.RETRYABLE),
                        new Plant.Load(
                                0.05,
                                20 * MS,
                                Plant.Spread.FIXED,
                                600 * MS,
                                2_500 * MS,
                                3,
                                Api.Effect.FRAGILE)),
                faults);
    }

    private static String told(Emulation.Result result) {
        Figures figures = result.figures();
        return String.format(
                Locale.ROOT,
                "%d %d %d %d %d %d %.9f %.3f %.3f %d %d %d %d %d",
                figures.asked(),
                figures.tries(),
                figures.inTime(),
                figures.late(),
                figures.refused(),
                figures.failed(),
                figures.service(),
                figures.ms(50),
                figures.ms(99),
                result.events(),
                result.sends(),
                result.copies(),
                result.hits(),
                result.fetches());
    }

    @Test
    void theSameSeedGivesTheSameDayAloneAndBesideOthers() {
        List<Fault> faults = List.of(new Fault(10 * SECOND, 3 * SECOND, Kind.CACHE_SLOW, 0.3, 6));
        String alone = told(Emulation.play(plant(5, faults)));
        List<String> together =
                IntStream.range(0, 8)
                        .parallel()
                        .mapToObj(i -> told(Emulation.play(plant(5 + i % 2, faults))))
                        .toList();
        for (int i = 0; i < 8; i++) {
            assertEquals(
                    i % 2 == 0, alone.equals(together.get(i)), alone + " / " + together.get(i));
        }
        assertNotEquals(alone, told(Emulation.play(plant(5, List.of()))));
    }

    /**
     * Every first try has one end, nothing that must not runs twice, and the module leaves nothing
     * open.
     */
    @Test
    void everyRuleIsKeptThroughEveryFault() {
        List<Fault> faults = new ArrayList<>();
        for (Kind kind : Kind.values()) {
            faults.add(new Fault((1 + 2L * kind.ordinal()) * SECOND, 2 * SECOND, kind, 0.3, 3));
        }
        for (long seed = 1; seed <= 6; seed++) {
            Emulation.Result result = Emulation.play(plant(seed, faults));
            Figures figures = result.figures();
            assertEquals(
                    figures.asked(),
                    figures.inTime() + figures.late() + figures.refused() + figures.failed());
            assertEquals(Map.of(), result.rulesBroken(), "seed " + seed);
            assertTrue(
                    figures.asked() > 8_000 && figures.service() > 0.3 && figures.service() < 1,
                    told(result));
        }
    }

    /**
     * What measures the emulator alone decides nothing: one send for each try, no copies, one end
     * for each request.
     */
    @Test
    void aPlainModuleSendsEachTryOnce() {
        Emulation.Result result = Emulation.playPlain(plant(4, List.of()));
        // Sends are counted up to the day's end, tries until the last has ended.
        assertTrue(
                result.sends() <= result.taken() && result.sends() > 0.99 * result.taken(),
                told(result));
        assertEquals(0, result.copies());
        assertEquals(0, result.rulesBroken().getOrDefault("UNANSWERED", 0L));
        assertTrue(result.figures().inTime() > 0.5 * result.figures().asked(), told(result));
    }

    /**
     * A quiet day is served, copies are few, and each fault costs something: the model feels what
     * it plays.
     */
    @Test
    void eachFaultCostsService() {
        double quiet = Emulation.play(plant(3, List.of())).figures().service();
        assertTrue(quiet > 0.97, "quiet " + quiet);
        for (Fault fault :
                List.of(
                        new Fault(10 * SECOND, 8 * SECOND, Kind.CACHE_KILL, 0.8, 1),
                        new Fault(10 * SECOND, 8 * SECOND, Kind.CACHE_SLOW, 0.6, 20),
                        new Fault(10 * SECOND, 5 * SECOND, Kind.ORIGIN_OUTAGE, 1, 1),
                        new Fault(10 * SECOND, 0, Kind.COPIES_RELEASED, 1, 1),
                        new Fault(10 * SECOND, 5 * SECOND, Kind.SURGE, 1, 4),
                        new Fault(10 * SECOND, 5 * SECOND, Kind.BALANCER_RESTART, 1, 1))) {
            double hurt = Emulation.play(plant(3, List.of(fault))).figures().service();
            assertTrue(hurt < quiet - 0.002, fault.kind() + ": " + hurt + ", quiet " + quiet);
        }
    }

    /** The real module with one habit that breaks a rule. */
    private static Map<String, Long> broken(
            Plant plant,
            Class<?> what,
            UnaryOperator<Api.Actions> habit,
            UnaryOperator<List<Api.Server>> seen) {
        return Emulation.play(
                        plant,
                        (settings, seed, actions) -> {
                            Api.Events real = new Router(settings, seed, habit.apply(actions));
                            return (Api.Events)
                                    Proxy.newProxyInstance(
                                            what.getClassLoader(),
                                            new Class<?>[] {Api.Events.class},
                                            (proxy, method, values) -> {
                                                if (method.getName().equals("onList")) {
                                                    values[2] = seen.apply(servers(values[2]));
                                                }
                                                return method.invoke(real, values);
                                            });
                        })
                .rulesBroken();
    }

    private static List<Api.Server> servers(Object list) {
        return ((List<?>) list).stream().map(Api.Server.class::cast).toList();
    }

    private static UnaryOperator<Api.Actions> habit(String method, int times) {
        return actions ->
                (Api.Actions)
                        Proxy.newProxyInstance(
                                Api.class.getClassLoader(),
                                new Class<?>[] {Api.Actions.class},
                                (proxy, called, values) -> {
                                    for (int i = called.getName().equals(method) ? times : 1;
                                            i > 0;
                                            i--) {
                                        called.invoke(actions, values);
                                    }
                                    return null;
                                });
    }

    /**
     * A module that breaks a rule is called for that rule, whatever it says of itself; the real one
     * for none.
     */
    @Test
    void theRefereeCallsEachRule() {
        List<Fault> trouble =
                List.of(
                        new Fault(3 * SECOND, 4 * SECOND, Kind.ORIGIN_OUTAGE, 1, 1),
                        new Fault(8 * SECOND, 6 * SECOND, Kind.CACHE_DRAIN, 0.3, 1),
                        new Fault(17 * SECOND, SECOND, Kind.CACHE_RESTART, 0.3, 1));
        Plant plant = plant(4, trouble);
        assertEquals(Map.of(), broken(plant, Api.class, habit("", 1), UnaryOperator.identity()));
        assertTrue(
                broken(plant, Api.class, habit("refuse", 2), UnaryOperator.identity())
                                .get("ANSWERED_TWICE")
                        > 0);
        assertTrue(
                broken(plant, Api.class, habit("send", 2), UnaryOperator.identity())
                                .get("RAN_TWICE")
                        > 0);
        assertTrue(
                broken(plant, Api.class, habit("refuse", 0), UnaryOperator.identity())
                                .get("LEFT_OPEN")
                        > 0);
        Map<String, Long> blind =
                broken(
                        plant,
                        Api.class,
                        habit("", 1),
                        list ->
                                list.stream()
                                        .map(
                                                one ->
                                                        new Api.Server(
                                                                one.id(),
                                                                one.zone(),
                                                                one.kind(),
                                                                one.cell(),
                                                                Api.State.READY,
                                                                one.weight(),
                                                                0))
                                        .toList());
        assertTrue(blind.get("SENT_TO_DRAINING") > 0, blind.toString());
    }

    /** A cache at 15% that can do 10 requests a second stands 39 of them in one and not 41. */
    @Test
    void aColdCacheIsPushedOverByMoreThanItsMultiple() {
        for (int sent : new int[] {39, 41}) {
            SimReferee referee = new SimReferee();
            ColdGuard guard =
                    new ColdGuard(
                            referee,
                            new Plant.Cache(
                                    1,
                                    64,
                                    0,
                                    400,
                                    Plant.Eviction.LRU,
                                    0.15,
                                    10 * SECOND,
                                    false,
                                    true),
                            15 * MS);
            for (int i = 0; i <= sent; i++) {
                guard.arrived(SECOND + i * SECOND / sent, 0.15);
            }
            assertEquals(sent == 39 ? Map.of() : Map.of("COLD_PUSHED_OVER", 1L), referee.breaks());
        }
    }
}
