package frostrelay.rig.bench;

import frostrelay.rig.day.ClassSpec;
import frostrelay.rig.day.Day;
import frostrelay.rig.day.DayFile;
import frostrelay.rig.day.TenantSpec;
import frostrelay.rig.discovery.DiscoveryServer;
import frostrelay.rig.discovery.Member;
import frostrelay.rig.fleet.BalancerConfig;
import frostrelay.rig.fleet.BalancerProcess;
import frostrelay.rig.fleet.Children;
import frostrelay.rig.fleet.Program;
import frostrelay.rig.referee.Referee;
import frostrelay.rig.wire.Loopback;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.DefaultThreadFactory;

import org.HdrHistogram.Histogram;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.spi.SelectorProvider;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.DoubleBinaryOperator;
import java.util.function.Supplier;
import java.util.function.ToDoubleFunction;

/**
 * What the balancer costs, in one run against the least that anything between two sockets can cost
 * here: straight to a cache, through a relay that only copies bytes, and through the balancer, each
 * in a closed loop and at a steady rate.
 */
public final class Bench implements AutoCloseable {
    private static final int CACHES = 4;
    private static final int VALUE = 400;
    private static final long SECOND_MS = 1_000;
    private static final long SETTLE_MS = 300;
    private static final int BALANCER = 2;

    static {
        // A selector that never sleeps looks broken to Netty, which would build it anew each time.
        System.setProperty("io.netty.selectorAutoRebuildThreshold", "0");
    }

    /**
     * Over one way. {@code cpuMicros}: of what stands between, a request, and {@code residentKb}:
     * its memory behind that; 0 for nothing.
     */
    public record Figures(
            String way,
            double rate,
            double cpuMicros,
            double p50Micros,
            double p99Micros,
            long bad,
            long residentKb) {
        /** For machines. */
        public Map<String, Object> json() {
            Map<String, Object> all = new LinkedHashMap<>();
            all.put("way", way);
            all.put("perSecond", Math.round(rate));
            all.put("cpuMicros", Math.round(cpuMicros * 100) / 100.0);
            all.put("p50Micros", Math.round(p50Micros * 10) / 10.0);
            all.put("p99Micros", Math.round(p99Micros * 10) / 10.0);
            all.put("bad", bad);
            all.put("residentKb", residentKb);
            return all;
        }
    }

    private record Between(
            String way,
            InetSocketAddress address,
            Supplier<Duration> cpu,
            Supplier<Long> resident) {}

    private final int connections;
    private final long seconds;
    private final int loops;
    private final NioEventLoopGroup cacheGroup =
            new NioEventLoopGroup(2, new DefaultThreadFactory("cache", true));

    /**
     * These never sleep: a sleeping selector wakes by the millisecond, and latencies would be those
     * of the load.
     */
    private final NioEventLoopGroup loadGroup;

    private final List<EchoCache> caches = new ArrayList<>();
    private final List<InetSocketAddress> addresses = new ArrayList<>();
    private final List<AutoCloseable> children = new ArrayList<>();

    /** {@code seconds}: of each measurement. */
    public Bench(int connections, long seconds, int loops) throws InterruptedException {
        this.connections = connections;
        this.seconds = seconds;
        this.loops = loops;
        this.loadGroup =
                new NioEventLoopGroup(
                        loops,
                        new DefaultThreadFactory("load", true),
                        SelectorProvider.provider(),
                        () -> (select, hasTasks) -> select.get());
        for (int i = 0; i < CACHES; i++) {
            EchoCache cache = new EchoCache(VALUE);
            caches.add(cache);
            addresses.add(cache.start(cacheGroup.next()));
        }
    }

    /** A phase: each way's rounds, in the order of the ways. */
    public record Phase(String name, List<List<Figures>> ways) {
        /** The middle one of each figure over a way's rounds. */
        public Figures middle(int way) {
            List<Figures> rounds = ways.get(way);
            return new Figures(
                    rounds.get(0).way,
                    median(rounds, Figures::rate),
                    median(rounds, Figures::cpuMicros),
                    median(rounds, Figures::p50Micros),
                    median(rounds, Figures::p99Micros),
                    rounds.stream().mapToLong(Figures::bad).sum(),
                    (long) median(rounds, Figures::residentKb));
        }

        /**
         * Least, middle and most over the rounds of a figure of two ways taken together, each in
         * its own round.
         */
        public double[] compare(
                int way,
                int against,
                DoubleBinaryOperator operator,
                ToDoubleFunction<Figures> figure) {
            double[] all = new double[ways.get(way).size()];
            for (int i = 0; i < all.length; i++) {
                all[i] =
                        operator.applyAsDouble(
                                figure.applyAsDouble(ways.get(way).get(i)),
                                figure.applyAsDouble(ways.get(against).get(i)));
            }
            Arrays.sort(all);
            return new double[] {all[0], all[all.length / 2], all[all.length - 1]};
        }

        private static double median(List<Figures> rounds, ToDoubleFunction<Figures> figure) {
            double[] all = rounds.stream().mapToDouble(figure).sorted().toArray();
            return all[all.length / 2];
        }
    }

    /**
     * Measures all ways in turn, some rounds over: what else the machine does then meets all of
     * them. {@code relay}: the command of a relay, which gets a port and an address appended;
     * {@code further}: another form of the balancer, or null.
     */
    public List<Phase> run(
            Program program,
            Program further,
            List<String> relay,
            Path folder,
            int rounds,
            Consumer<String> told)
            throws IOException, InterruptedException {
        List<Between> ways =
                new ArrayList<>(
                        List.of(
                                new Between(
                                        "cache", addresses.get(0), () -> Duration.ZERO, () -> 0L),
                                relay(relay),
                                balancer("balancer", program, folder.resolve("balancer-1"))));
        if (further != null) {
            ways.add(balancer("further", further, folder.resolve("balancer-2")));
        }
        told.accept("warming");
        for (int i = 0; i < 2; i++) {
            for (Between way : ways) {
                measure(way, 0);
            }
        }
        Phase closed = phase("closed loop", ways, 0, rounds, told);
        return List.of(
                closed, phase("half load", ways, closed.middle(BALANCER).rate / 2, rounds, told));
    }

    private Phase phase(
            String name, List<Between> ways, double rate, int rounds, Consumer<String> told)
            throws InterruptedException {
        List<List<Figures>> all = new ArrayList<>();
        ways.forEach(way -> all.add(new ArrayList<>()));
        for (int round = 0; round < rounds; round++) {
            told.accept(name + ": round " + (round + 1) + " of " + rounds);
            for (int i = 0; i < ways.size(); i++) {
                all.get(i).add(measure(ways.get(i), rate));
            }
        }
        return new Phase(name, all);
    }

    /** Connections that all caches have seen opened. */
    public long cacheConnections() {
        return caches.stream().mapToLong(EchoCache::connections).sum();
    }

    private Figures measure(Between way, double rate) throws InterruptedException {
        List<ReadLoop> readers = new ArrayList<>();
        for (int i = 0; i < loops; i++) {
            ReadLoop reader = new ReadLoop(loadGroup.next(), rate / loops, i + 1);
            reader.start(way.address, connections / loops);
            readers.add(reader);
        }
        Thread.sleep(SETTLE_MS);
        long cpu = way.cpu.get().toNanos();
        long start = System.nanoTime();
        readers.forEach(ReadLoop::count);
        Thread.sleep(seconds * SECOND_MS);
        long used = way.cpu.get().toNanos() - cpu;
        double time = System.nanoTime() - start;
        readers.forEach(ReadLoop::stop);
        Histogram latency = new Histogram(readers.get(0).latency());
        readers.stream().skip(1).forEach(reader -> latency.add(reader.latency()));
        long served = readers.stream().mapToLong(ReadLoop::served).sum();
        long bad = readers.stream().mapToLong(ReadLoop::bad).sum();
        return new Figures(
                way.way,
                served * 1e9 / time,
                used / 1e3 / Math.max(1, served),
                latency.getValueAtPercentile(50) / 1e3,
                latency.getValueAtPercentile(99) / 1e3,
                bad,
                way.resident.get());
    }

    private Between relay(List<String> relay) throws IOException, InterruptedException {
        int port = Loopback.freePort();
        List<String> command = new ArrayList<>(relay);
        command.add(Integer.toString(port));
        command.add(Loopback.text(addresses.get(0)));
        Process process =
                Children.start(
                        new ProcessBuilder(command)
                                .redirectErrorStream(true)
                                .redirectOutput(ProcessBuilder.Redirect.DISCARD));
        children.add(process::destroyForcibly);
        InetSocketAddress address = Loopback.port(port);
        for (int i = 0; i < 200 && !answers(address); i++) {
            Thread.sleep(50);
        }
        return new Between(
                "relay",
                address,
                () -> process.info().totalCpuDuration().orElse(Duration.ZERO),
                () -> 0L);
    }

    private static boolean answers(InetSocketAddress address) {
        try (java.net.Socket socket = new java.net.Socket()) {
            socket.connect(address, 100);
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    private Between balancer(String way, Program program, Path folder)
            throws IOException, InterruptedException {
        Day demo = DayFile.demo().quiet();
        Day day =
                new Day(
                        1,
                        demo.length(),
                        CACHES,
                        1,
                        0,
                        demo.drainGrace(),
                        demo.repeatWindow(),
                        demo.cache(),
                        demo.archive(),
                        demo.load(),
                        List.of(
                                new ClassSpec(
                                        "read",
                                        1,
                                        100_000,
                                        100_000,
                                        SECOND_MS * 1_000_000,
                                        2 * SECOND_MS * 1_000_000,
                                        1,
                                        Referee.Effect.REPEATABLE)),
                        List.of(new TenantSpec("bench", 1)),
                        List.of());
        EventLoop loop = cacheGroup.next();
        DiscoveryServer discovery =
                new DiscoveryServer(
                        loop,
                        new Referee(
                                new Referee.Bounds(Long.MAX_VALUE / 2, 1, day.cache().warmth(), 1)),
                        0);
        Map<String, String> endpoints = new LinkedHashMap<>();
        for (int i = 0; i < CACHES; i++) {
            endpoints.put("cache-" + (i + 1), Loopback.text(addresses.get(i)));
            discovery.known(new Member("cache-" + (i + 1), Member.State.READY, 0));
        }
        InetSocketAddress listen = Loopback.port(Loopback.freePort());
        int talk = Loopback.freePort();
        BalancerProcess process =
                new BalancerProcess(
                        "balancer-1",
                        program,
                        folder,
                        listen,
                        BalancerConfig.json(
                                day,
                                0,
                                Loopback.text(listen),
                                Loopback.text(Loopback.port(Loopback.freePort())),
                                Loopback.text(discovery.listen("balancer-1", endpoints)),
                                discovery.list(endpoints),
                                // It may talk; the other one of two is not there.
                                Map.of(
                                        "peer_listen",
                                        Loopback.text(Loopback.port(talk)),
                                        "peers",
                                        List.of(
                                                Loopback.text(Loopback.port(talk)),
                                                Loopback.text(
                                                        Loopback.port(Loopback.freePort()))))));
        children.add(process);
        process.start();
        process.awaitReady();
        return new Between(way, listen, process::cpu, process::residentKb);
    }

    @Override
    public void close() {
        for (AutoCloseable child : children) {
            try {
                child.close();
            } catch (Exception e) {
                // It is ending anyway.
            }
        }
        cacheGroup.shutdownGracefully(0, 1, java.util.concurrent.TimeUnit.SECONDS);
        loadGroup.shutdownGracefully(0, 1, java.util.concurrent.TimeUnit.SECONDS);
    }
}
