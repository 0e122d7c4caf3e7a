package frostrelay.testbed.bench;

import frostrelay.testbed.discovery.DiscoveryServer;
import frostrelay.testbed.discovery.Member;
import frostrelay.testbed.fleet.BalancerCommand;
import frostrelay.testbed.fleet.BalancerConfig;
import frostrelay.testbed.fleet.BalancerProcess;
import frostrelay.testbed.fleet.ChildProcesses;
import frostrelay.testbed.invariants.InvariantChecker;
import frostrelay.testbed.scenario.ClassSpec;
import frostrelay.testbed.scenario.Scenario;
import frostrelay.testbed.scenario.ScenarioFile;
import frostrelay.testbed.scenario.TenantSpec;
import frostrelay.testbed.wire.Loopback;

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
 * Benchmark of the overhead of the balancer compared with direct access to a cache and with a relay
 * that only copies bytes, which is the minimum overhead of any proxy. Each is measured in a closed
 * loop and at a fixed rate, in the same run.
 */
public final class Bench implements AutoCloseable {
    private static final int CACHE_COUNT = 4;
    private static final int VALUE_BYTES = 400;
    private static final long MILLIS_PER_SECOND = 1_000;
    private static final long SETTLING_TIME_MILLIS = 300;
    private static final int BALANCER_TARGET_INDEX = 2;

    static {
        // Netty takes a selector that never blocks for broken and would rebuild it repeatedly.
        System.setProperty("io.netty.selectorAutoRebuildThreshold", "0");
    }

    /**
     * The figures of one target. {@code cpuMicros}: CPU time of the intermediary per request;
     * {@code residentKb}: its memory afterwards; both 0 for direct access.
     */
    public record Figures(
            String target,
            double perSecond,
            double cpuMicros,
            double p50Micros,
            double p99Micros,
            long errors,
            long residentKb) {
        /** Returns the figures in the machine-readable form. */
        public Map<String, Object> json() {
            Map<String, Object> all = new LinkedHashMap<>();
            all.put("way", target);
            all.put("perSecond", Math.round(perSecond));
            all.put("cpuMicros", Math.round(cpuMicros * 100) / 100.0);
            all.put("p50Micros", Math.round(p50Micros * 10) / 10.0);
            all.put("p99Micros", Math.round(p99Micros * 10) / 10.0);
            all.put("bad", errors);
            all.put("residentKb", residentKb);
            return all;
        }
    }

    private record Target(
            String name,
            InetSocketAddress address,
            Supplier<Duration> cpu,
            Supplier<Long> residentKb) {}

    private final int connections;
    private final long seconds;
    private final int loops;
    private final NioEventLoopGroup cacheGroup =
            new NioEventLoopGroup(2, new DefaultThreadFactory("cache", true));

    /**
     * Event loops that never block: a blocking selector wakes up with millisecond resolution, which
     * would distort the measured latencies.
     */
    private final NioEventLoopGroup loadGroup;

    private final List<EchoCache> caches = new ArrayList<>();
    private final List<InetSocketAddress> addresses = new ArrayList<>();
    private final List<AutoCloseable> children = new ArrayList<>();

    /** Creates a benchmark. {@code seconds}: duration of each measurement. */
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
        for (int i = 0; i < CACHE_COUNT; i++) {
            EchoCache cache = new EchoCache(VALUE_BYTES);
            caches.add(cache);
            addresses.add(cache.start(cacheGroup.next()));
        }
    }

    /** A phase with the rounds of each target, in the order of the targets. */
    public record Phase(String name, List<List<Figures>> roundsByTarget) {
        /** Returns the median of each figure over the rounds of a target. */
        public Figures median(int target) {
            List<Figures> rounds = roundsByTarget.get(target);
            return new Figures(
                    rounds.get(0).target,
                    median(rounds, Figures::perSecond),
                    median(rounds, Figures::cpuMicros),
                    median(rounds, Figures::p50Micros),
                    median(rounds, Figures::p99Micros),
                    rounds.stream().mapToLong(Figures::errors).sum(),
                    (long) median(rounds, Figures::residentKb));
        }

        /**
         * Returns the minimum, median and maximum over the rounds of a figure that combines two
         * targets of the same round.
         */
        public double[] compare(
                int target,
                int baseline,
                DoubleBinaryOperator operator,
                ToDoubleFunction<Figures> figure) {
            double[] ratios = new double[roundsByTarget.get(target).size()];
            for (int i = 0; i < ratios.length; i++) {
                ratios[i] =
                        operator.applyAsDouble(
                                figure.applyAsDouble(roundsByTarget.get(target).get(i)),
                                figure.applyAsDouble(roundsByTarget.get(baseline).get(i)));
            }
            Arrays.sort(ratios);
            return new double[] {ratios[0], ratios[ratios.length / 2], ratios[ratios.length - 1]};
        }

        private static double median(List<Figures> rounds, ToDoubleFunction<Figures> figure) {
            double[] all = rounds.stream().mapToDouble(figure).sorted().toArray();
            return all[all.length / 2];
        }
    }

    /**
     * Measures all targets in turn over several rounds, so that other load on the machine affects
     * all of them alike. {@code relayCommand}: the command of a relay, which gets a port and an
     * address appended; {@code otherProgram}: another build of the balancer, or null.
     */
    public List<Phase> run(
            BalancerCommand program,
            BalancerCommand otherProgram,
            List<String> relayCommand,
            Path directory,
            int rounds,
            Consumer<String> progress)
            throws IOException, InterruptedException {
        List<Target> targets =
                new ArrayList<>(
                        List.of(
                                new Target(
                                        "cache", addresses.get(0), () -> Duration.ZERO, () -> 0L),
                                relay(relayCommand),
                                balancer("balancer", program, directory.resolve("balancer-1"))));
        if (otherProgram != null) {
            targets.add(balancer("further", otherProgram, directory.resolve("balancer-2")));
        }
        progress.accept("warming");
        for (int i = 0; i < 2; i++) {
            for (Target target : targets) {
                measure(target, 0);
            }
        }
        Phase closed = phase("closed loop", targets, 0, rounds, progress);
        return List.of(
                closed,
                phase(
                        "half load",
                        targets,
                        closed.median(BALANCER_TARGET_INDEX).perSecond / 2,
                        rounds,
                        progress));
    }

    private Phase phase(
            String name, List<Target> targets, double rate, int rounds, Consumer<String> progress)
            throws InterruptedException {
        List<List<Figures>> figures = new ArrayList<>();
        targets.forEach(way -> figures.add(new ArrayList<>()));
        for (int round = 0; round < rounds; round++) {
            progress.accept(name + ": round " + (round + 1) + " of " + rounds);
            for (int i = 0; i < targets.size(); i++) {
                figures.get(i).add(measure(targets.get(i), rate));
            }
        }
        return new Phase(name, figures);
    }

    /** Returns the number of connections opened to all caches. */
    public long cacheConnections() {
        return caches.stream().mapToLong(EchoCache::connections).sum();
    }

    private Figures measure(Target target, double rate) throws InterruptedException {
        List<ReadLoop> readers = new ArrayList<>();
        for (int i = 0; i < loops; i++) {
            ReadLoop reader = new ReadLoop(loadGroup.next(), rate / loops, i + 1);
            reader.start(target.address, connections / loops);
            readers.add(reader);
        }
        Thread.sleep(SETTLING_TIME_MILLIS);
        long cpuNanosAtStart = target.cpu.get().toNanos();
        long start = System.nanoTime();
        readers.forEach(ReadLoop::startRecording);
        Thread.sleep(seconds * MILLIS_PER_SECOND);
        long cpuNanos = target.cpu.get().toNanos() - cpuNanosAtStart;
        double elapsedNanos = System.nanoTime() - start;
        readers.forEach(ReadLoop::stop);
        Histogram latency = new Histogram(readers.get(0).latency());
        readers.stream().skip(1).forEach(reader -> latency.add(reader.latency()));
        long served = readers.stream().mapToLong(ReadLoop::served).sum();
        long errors = readers.stream().mapToLong(ReadLoop::errors).sum();
        return new Figures(
                target.name,
                served * 1e9 / elapsedNanos,
                cpuNanos / 1e3 / Math.max(1, served),
                latency.getValueAtPercentile(50) / 1e3,
                latency.getValueAtPercentile(99) / 1e3,
                errors,
                target.residentKb.get());
    }

    private Target relay(List<String> relayCommand) throws IOException, InterruptedException {
        int port = Loopback.freePort();
        List<String> command = new ArrayList<>(relayCommand);
        command.add(Integer.toString(port));
        command.add(Loopback.text(addresses.get(0)));
        Process process =
                ChildProcesses.start(
                        new ProcessBuilder(command)
                                .redirectErrorStream(true)
                                .redirectOutput(ProcessBuilder.Redirect.DISCARD));
        children.add(process::destroyForcibly);
        InetSocketAddress address = Loopback.port(port);
        for (int i = 0; i < 200 && !isListening(address); i++) {
            Thread.sleep(50);
        }
        return new Target(
                "relay",
                address,
                () -> process.info().totalCpuDuration().orElse(Duration.ZERO),
                () -> 0L);
    }

    private static boolean isListening(InetSocketAddress address) {
        try (java.net.Socket socket = new java.net.Socket()) {
            socket.connect(address, 100);
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    private Target balancer(String name, BalancerCommand program, Path folder)
            throws IOException, InterruptedException {
        Scenario demo = ScenarioFile.demo().withoutFaults();
        Scenario scenario =
                new Scenario(
                        1,
                        demo.durationNanos(),
                        CACHE_COUNT,
                        1,
                        0,
                        demo.drainGraceNanos(),
                        demo.deduplicationWindowNanos(),
                        demo.cache(),
                        demo.origin(),
                        demo.load(),
                        List.of(
                                new ClassSpec(
                                        "read",
                                        1,
                                        100_000,
                                        100_000,
                                        MILLIS_PER_SECOND * 1_000_000,
                                        2 * MILLIS_PER_SECOND * 1_000_000,
                                        1,
                                        InvariantChecker.Effect.IDEMPOTENT)),
                        List.of(new TenantSpec("bench", 1)),
                        List.of());
        EventLoop loop = cacheGroup.next();
        DiscoveryServer discovery =
                new DiscoveryServer(
                        loop,
                        new InvariantChecker(
                                new InvariantChecker.Bounds(
                                        Long.MAX_VALUE / 2, 1, scenario.cache().slowStart(), 1)),
                        0);
        Map<String, String> endpoints = new LinkedHashMap<>();
        for (int i = 0; i < CACHE_COUNT; i++) {
            endpoints.put("cache-" + (i + 1), Loopback.text(addresses.get(i)));
            discovery.addInitial(new Member("cache-" + (i + 1), Member.State.READY, 0));
        }
        InetSocketAddress listen = Loopback.port(Loopback.freePort());
        int gossipPort = Loopback.freePort();
        BalancerProcess process =
                new BalancerProcess(
                        "balancer-1",
                        program,
                        folder,
                        listen,
                        BalancerConfig.json(
                                scenario,
                                0,
                                Loopback.text(listen),
                                Loopback.text(Loopback.port(Loopback.freePort())),
                                Loopback.text(discovery.listen("balancer-1", endpoints)),
                                discovery.endpointList(endpoints),
                                // Gossip is enabled, but the second configured balancer does not
                                // exist.
                                Map.of(
                                        "peer_listen",
                                        Loopback.text(Loopback.port(gossipPort)),
                                        "peers",
                                        List.of(
                                                Loopback.text(Loopback.port(gossipPort)),
                                                Loopback.text(
                                                        Loopback.port(Loopback.freePort()))))));
        children.add(process);
        process.start();
        process.awaitReady();
        return new Target(name, listen, process::cpuTime, process::residentKb);
    }

    @Override
    public void close() {
        for (AutoCloseable child : children) {
            try {
                child.close();
            } catch (Exception e) {
                // The process is being terminated anyway.
            }
        }
        cacheGroup.shutdownGracefully(0, 1, java.util.concurrent.TimeUnit.SECONDS);
        loadGroup.shutdownGracefully(0, 1, java.util.concurrent.TimeUnit.SECONDS);
    }
}
