package frostrelay.emulator;

import frostrelay.policy.Api;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.AliasMethodDiscreteSampler;
import org.apache.commons.rng.sampling.distribution.RejectionInversionZipfSampler;
import org.apache.commons.rng.sampling.distribution.SharedStateDiscreteSampler;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;

import java.util.List;
import java.util.stream.IntStream;

/** Clients in an open loop, with patience, retries and back-off, behind a plain front. */
final class SimClients {
    private static final double SECOND = 1e9;
    private static final int MOST_SHIFT = 10;

    /** With less time left than this no client asks again: the answer could not come. */
    private static final long LEAST_WAIT = 20_000_000L;

    private final Plant plant;
    private final Timeline timeline;
    private final Wire wire;
    private final SimFront front;
    private final Figures figures;
    private final SimReferee referee;
    private final UniformRandomProvider random;
    private final ZigguratSampler.Exponential gaps;
    private final SharedStateDiscreteSampler keys;
    private final UniformRandomProvider tenants;
    private double surge = 1;
    private double firstTenant = 1;
    private double eager = 1;
    private double hasty = 1;
    private long open;

    SimClients(
            Plant plant,
            Timeline timeline,
            Wire wire,
            List<SimBalancer> balancers,
            Figures figures,
            SimReferee referee) {
        this.referee = referee;
        this.plant = plant;
        this.timeline = timeline;
        this.wire = wire;
        this.front = new SimFront(plant, balancers);
        this.figures = figures;
        random = Randoms.of(plant.seed(), "clients");
        tenants = Randoms.of(plant.seed(), "tenants");
        gaps = ZigguratSampler.Exponential.of(random);
        keys =
                plant.clients().offset() == 0
                        ? RejectionInversionZipfSampler.of(
                                random, plant.clients().keys(), plant.clients().zipf())
                        : flattened(random, plant.clients());
    }

    /** Zipf and Mandelbrot's law, ranks from 1 on. */
    private static SharedStateDiscreteSampler flattened(
            UniformRandomProvider random, Plant.Clients clients) {
        double[] weights =
                IntStream.rangeClosed(0, clients.keys())
                        .mapToDouble(
                                rank ->
                                        rank == 0
                                                ? 0
                                                : Math.pow(
                                                        rank + clients.offset(), -clients.zipf()))
                        .toArray();
        return AliasMethodDiscreteSampler.of(random, weights);
    }

    void start() {
        next(0);
    }

    private void next(long now) {
        long at =
                now
                        + (long)
                                (gaps.sample()
                                        * SECOND
                                        / (plant.clients().rate() * surge * tide(now)));
        if (at < plant.settle() + plant.length()) {
            timeline.at(
                    at,
                    then -> {
                        new First(then).send(then);
                        next(then);
                    });
        }
    }

    /** Where the day stands in its rise and fall: 1 on the mean. */
    private double tide(long now) {
        double swing = plant.clients().swing();
        return swing == 0 ? 1 : 1 + swing * Math.sin(2 * Math.PI * now / plant.clients().period());
    }

    /**
     * Popularity drifts: ranks move through the keys, so that the most popular ones are others
     * after a while.
     */
    private int key(long now) {
        long moved = (long) (plant.clients().drift() * now / SECOND);
        return (int) ((keys.sample() - 1 + moved) % plant.clients().keys());
    }

    /** From now on so many times the usual rate. */
    void surge(double factor) {
        surge = factor;
    }

    /** First tries that have not ended. */
    long open() {
        return open;
    }

    SimFront front() {
        return front;
    }

    /** From now on the first tenant asks for so many times its part. */
    void tenantSurge(double factor) {
        firstTenant = factor;
    }

    /** From now on they come again at once, so many times as often. */
    void eager(double factor) {
        eager = factor;
    }

    /** From now on they give up so many times as early. */
    void hasty(double factor) {
        hasty = factor;
    }

    private int tenant() {
        List<Double> parts = plant.tenants();
        if (parts.isEmpty()) {
            return 0;
        }
        double more = parts.get(0) * (firstTenant - 1);
        double rest = tenants.nextDouble() * (1 + more) - more;
        for (int i = 0; i < parts.size(); i++) {
            rest -= parts.get(i);
            if (rest < 0) {
                return i;
            }
        }
        return parts.size() - 1;
    }

    private int loadClass(double draw) {
        double rest = draw;
        for (int i = 0; i < plant.classes().size(); i++) {
            rest -= plant.classes().get(i).share();
            if (rest < 0) {
                return i;
            }
        }
        return plant.classes().size() - 1;
    }

    /** A first try with all that follows from it. */
    private final class First {
        private final long at;
        private final int number;
        private final Plant.Load load;
        private final int key;
        private final double work;
        private final int tenant;
        private int tries;
        private int runs;

        First(long at) {
            this.at = at;
            number = loadClass(random.nextDouble());
            load = plant.classes().get(number);
            key = key(at);
            work = load.work() * (load.spread() == Plant.Spread.FIXED ? 1 : gaps.sample());
            tenant = tenant();
            open++;
            figures.asked(at, number, tenant, load.worth());
        }

        void send(long now) {
            tries++;
            figures.tried(at);
            Try fresh = new Try(this, now);
            timeline.at(now + wire.delay(), then -> fresh.arrive(then));
        }

        void ended(long now, SimBalancer.Answer answer, long comeAgain) {
            if (answer == SimBalancer.Answer.SERVED) {
                open--;
                figures.served(at, now - at, now - at <= load.aim(), number, tenant, load.worth());
                return;
            }
            // What may have run is made again only where a repeat does no harm or is dropped by its
            // key.
            boolean may =
                    answer == SimBalancer.Answer.REFUSED || load.effect() != Api.Effect.FRAGILE;
            long backoff =
                    (long)
                            ((plant.clients().backoff() << Math.min(tries - 1, MOST_SHIFT))
                                    * (0.5 + random.nextDouble()));
            long wait =
                    eager > 1
                            ? 0
                            : plant.clients().comeAgain() ? Math.max(comeAgain, backoff) : backoff;
            if (may
                    && tries <= plant.clients().retries() * eager
                    && now + wait + LEAST_WAIT < at + load.deadline()) {
                timeline.at(now + wait, this::send);
            } else {
                open--;
                figures.ended(at, answer == SimBalancer.Answer.REFUSED);
            }
        }

        void ran() {
            if (load.effect() == Api.Effect.FRAGILE && ++runs > 1) {
                referee.broken(SimReferee.Rule.RAN_TWICE);
            }
        }
    }

    private final class Try implements SimBalancer.Caller {
        private final First first;
        private final long waits;
        private SimBalancer balancer;
        private long id;
        private boolean over;

        /** The end of its patience, on the timeline. */
        private final long patience;

        Try(First first, long now) {
            this.first = first;
            long whole = (long) (first.load.deadline() * plant.clients().patience() / hasty);
            waits = Math.min(whole, first.at + first.load.deadline() - now);
            patience = timeline.at(now + waits, this::late);
        }

        void arrive(long now) {
            if (!over) {
                balancer = front.choose(random);
                id = balancer.take(now, this);
            }
        }

        private void late(long now) {
            if (!over) {
                over = true;
                if (balancer != null) {
                    timeline.at(now + wire.delay(), then -> balancer.gone(then, id));
                }
                first.ended(now, SimBalancer.Answer.FAILED, 0);
            }
        }

        @Override
        public Api.Request request(long number, long deadline) {
            return new Api.Request(
                    number,
                    first.number,
                    first.tenant,
                    Long.reverse(first.key + 1L),
                    deadline,
                    (long) first.work,
                    first.tries > 1,
                    write());
        }

        @Override
        public long waits() {
            return waits;
        }

        @Override
        public int key() {
            return first.key;
        }

        @Override
        public double work() {
            return first.work;
        }

        @Override
        public boolean write() {
            return first.load.effect() != Api.Effect.RETRYABLE;
        }

        @Override
        public void ran(long now) {
            first.ran();
        }

        @Override
        public void answered(long now, SimBalancer.Answer answer, long comeAgain) {
            if (!over) {
                over = true;
                timeline.cancel(patience);
                first.ended(now, answer, comeAgain);
            }
        }
    }
}
