package frostrelay.emulator;

import frostrelay.policy.Api;
import frostrelay.policy.Router;

import org.agrona.collections.Long2LongHashMap;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.ToLongFunction;

/**
 * One day of a plant, from its first request until the last has ended. The same plant gives the
 * same figures.
 */
public final class Emulation {
    private static final long SECOND = 1_000_000_000L;
    static final long DRAIN_GRACE = SECOND / 2;
    private static final long REPEAT_WINDOW = 8 * SECOND;
    private static final long CONNECT = SECOND / 4;

    /** What tenants may ask for, for each request that they ask on the mean. */
    private static final double ROOM = 1.35;

    /**
     * What a day came to. {@code taken}: tries that came to balancers, also while the plant
     * settled; {@code listLines}: entries of lists that were told; {@code waste}: the part of
     * caches' work that nobody waited for when it was done; {@code wall}: nanoseconds that it took
     * to emulate.
     */
    public record Result(
            Figures figures,
            Course course,
            long taken,
            long events,
            long sends,
            long copies,
            long hits,
            long misses,
            long fetches,
            long falls,
            long handshakes,
            long listLines,
            double waste,
            Map<String, Long> rulesBroken,
            long wall) {
        /** How often any of the operators' rules was broken. */
        public long breaks() {
            return rulesBroken.values().stream().mapToLong(Long::longValue).sum();
        }

        /** The share of reads at caches that were served from memory. */
        public double hitShare() {
            return hits + misses == 0 ? 0 : hits / (double) (hits + misses);
        }

        /** A count for each first try. */
        public double each(long count) {
            return count / (double) Math.max(1, figures.asked());
        }

        /** Sends beyond the first, for each try. */
        public double copyShare() {
            return figures.tries() == 0 ? 0 : copies / (double) figures.tries();
        }

        /**
         * Seconds from the end of a trigger until a whole span of five seconds is served as well as
         * 95% of what was before it; -1 if that does not come.
         */
        public int recovery(int trigger, int end) {
            double before = figures.served(Math.max(0, trigger - 10), trigger);
            for (int second = end; second + 5 <= figures.seconds(); second++) {
                if (figures.served(second, second + 5) >= 0.95 * before) {
                    return second - end;
                }
            }
            return -1;
        }
    }

    private final Plant plant;
    private final Timeline timeline = new Timeline();
    private final Figures figures;
    private final Course course;
    private final SimReferee referee = new SimReferee();
    private final SimOrigin origin;
    private final SimDiscovery discovery;
    private final List<SimCache> caches = new ArrayList<>();
    private final List<SimBalancer> balancers = new ArrayList<>();
    private final SimClients clients;
    private final SimFaults faults;

    private Emulation(Plant plant, SimBalancer.Module module) {
        this.plant = plant;
        figures =
                new Figures(
                        plant.settle(),
                        plant.length(),
                        plant.classes().size(),
                        plant.tenants().size());
        origin = new SimOrigin(plant.origin(), timeline, plant.seed());
        int all = plant.caches() + plant.newcomers();
        discovery =
                new SimDiscovery(timeline, plant.discovery(), plant.zones(), plant.caches(), all);
        Wire wire = new Wire(plant.network(), plant.zones(), plant.seed());
        int[] versions = new int[plant.clients().keys()];
        Long2LongHashMap places = new Long2LongHashMap(-1);
        int mostLinks = plant.links().modelled() ? plant.links().atCache() : Integer.MAX_VALUE;
        for (int i = 0; i < all; i++) {
            SimCache cache =
                    new SimCache(
                            plant.cache(),
                            i,
                            mostLinks,
                            timeline,
                            origin,
                            versions,
                            new ColdGuard(referee, plant.cache(), plant.meanWork()));
            caches.add(cache);
            places.put(SimDiscovery.id(i), i);
            if (i >= plant.caches()) {
                cache.kill(0);
            } else if (plant.cache().filled()) {
                for (int key = Math.min(plant.cache().memory(), versions.length) - 1;
                        key >= 0;
                        key--) {
                    cache.fill(key);
                }
            }
        }
        // What answers at each cache's address: another one may take it over.
        List<SimCache> addresses = new ArrayList<>(caches);
        for (int i = 0; i < plant.balancers(); i++) {
            balancers.add(
                    new SimBalancer(
                            plant,
                            timeline,
                            wire,
                            discovery,
                            addresses,
                            places,
                            module,
                            settings(plant, i),
                            referee,
                            plant.seed() * 31 + i));
        }
        clients = new SimClients(plant, timeline, wire, balancers, figures, referee);
        faults =
                new SimFaults(
                        plant, timeline, wire, origin, discovery, caches, addresses, balancers,
                        clients);
        course = new Course(figures.seconds(), caches, balancers);
        course.count("asked", figures::asked);
        course.count("tries", figures::tries);
        course.count("inTime", figures::inTime);
        course.count("refused", figures::refused);
        course.count("failed", figures::failed);
        course.count("hits", () -> sum(caches, SimCache::hits));
        course.count("misses", () -> sum(caches, SimCache::misses));
        course.count("copies", () -> sum(balancers, SimBalancer::copies));
        course.count("sends", () -> sum(balancers, SimBalancer::sends));
        course.count("fetches", origin::calls);
        course.count("handshakes", () -> sum(balancers, SimBalancer::handshakes));
        course.count("listLines", discovery::lines);
        course.count("worked", () -> sum(caches, SimCache::worked));
        course.count("wasted", () -> sum(caches, SimCache::wasted));
    }

    private static <T> long sum(List<T> all, ToLongFunction<T> one) {
        return all.stream().mapToLong(one).sum();
    }

    /** Plays a day with the real decision module. */
    public static Result play(Plant plant) {
        return play(plant, Router::new);
    }

    /**
     * Plays a day with a module that passes each request on and decides nothing: shows what the
     * emulator itself costs.
     */
    public static Result playPlain(Plant plant) {
        return play(plant, (settings, seed, actions) -> new PlainModule(actions));
    }

    /** Plays a day with another module, to compare. */
    static Result play(Plant plant, SimBalancer.Module module) {
        long start = System.nanoTime();
        return new Emulation(plant, module).run(start);
    }

    private Result run(long start) {
        clients.start();
        origin.freeUntil(plant.settle());
        timeline.run(plant.settle());
        course.begin();
        faults.begin();
        long end = plant.settle() + plant.length();
        for (int second = 0; second < figures.seconds(); second++) {
            timeline.run(Math.min(end, plant.settle() + (second + 1) * SECOND));
            course.sample(second, figures, plant.cache().cores());
        }
        long latest =
                end
                        + plant.classes().stream().mapToLong(Plant.Load::deadline).max().orElse(0)
                        + SECOND;
        for (long at = end; clients.open() > 0 && at <= latest; at += SECOND) {
            timeline.run(at);
        }
        referee.broken(SimReferee.Rule.UNANSWERED, clients.open());
        return new Result(
                figures,
                course,
                sum(balancers, SimBalancer::taken),
                timeline.happened(),
                course.total("sends"),
                course.total("copies"),
                course.total("hits"),
                course.total("misses"),
                course.total("fetches"),
                origin.falls(),
                course.total("handshakes"),
                course.total("listLines"),
                course.total("wasted") / (double) Math.max(1, course.total("worked")),
                referee.breaks(),
                System.nanoTime() - start);
    }

    private static Api.Settings settings(Plant plant, int rank) {
        List<Api.RequestClass> classes = new ArrayList<>();
        for (Plant.Load load : plant.classes()) {
            classes.add(
                    new Api.RequestClass(
                            load.aim(),
                            0,
                            load.deadline(),
                            load.worth(),
                            0.3,
                            load.effect(),
                            Api.Group.ALL,
                            REPEAT_WINDOW,
                            false,
                            false));
        }
        double perSecond = plant.clients().rate();
        List<Api.Tenant> tenants =
                plant.tenants().stream()
                        .map(part -> new Api.Tenant(ROOM * part * perSecond, part))
                        .toList();
        return new Api.Settings(
                classes,
                tenants,
                rank % plant.zones(),
                rank,
                plant.balancers(),
                false,
                -1,
                true,
                plant.balancer().maxAttempts(),
                plant.balancer().hedges(),
                true,
                CONNECT,
                true,
                SECOND,
                DRAIN_GRACE,
                5 * SECOND,
                plant.cache().coldFrom(),
                Math.max(1, plant.cache().warmWithin()),
                ColdGuard.TIP_MULTIPLE,
                ColdGuard.FALL_TIME,
                1,
                SECOND,
                null,
                new Api.ReportLayout(-1, -1, -1));
    }
}
