package frostrelay.rig.bench;

import frostrelay.rig.day.ClassSpec;
import frostrelay.rig.day.Day;
import frostrelay.rig.day.DayFile;
import frostrelay.rig.day.TenantSpec;
import frostrelay.rig.discovery.DiscoveryServer;
import frostrelay.rig.discovery.Member;
import frostrelay.rig.fleet.BalancerConfig;
import frostrelay.rig.fleet.BalancerProcess;
import frostrelay.rig.fleet.Program;
import frostrelay.rig.referee.Referee;
import frostrelay.rig.wire.Loopback;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.channels.spi.SelectorProvider;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.HdrHistogram.Histogram;

/**
 * What the balancer costs, in one run against the least that anything between two sockets can cost here: straight to a
 * cache, through a relay that only copies bytes, and through the balancer, each in a closed loop and at a steady rate.
 */
public final class Bench implements AutoCloseable {
    private static final int CACHES = 4;
    private static final int VALUE = 400;
    private static final long SECOND_MS = 1_000;

    static {
        // A selector that never sleeps looks broken to Netty, which would build it anew each time.
        System.setProperty("io.netty.selectorAutoRebuildThreshold", "0");
    }

    /** Over one way. {@code cpuMicros}: of what stands between, a request; 0 for nothing. */
    public record Figures(String way, double rate, double cpuMicros, double p50Micros, double p99Micros, long bad) {
        /** For machines. */
        public Map<String, Object> json() {
            Map<String, Object> all = new LinkedHashMap<>();
            all.put("way", way);
            all.put("perSecond", Math.round(rate));
            all.put("cpuMicros", Math.round(cpuMicros * 100) / 100.0);
            all.put("p50Micros", Math.round(p50Micros * 10) / 10.0);
            all.put("p99Micros", Math.round(p99Micros * 10) / 10.0);
            all.put("bad", bad);
            return all;
        }
    }

    private record Between(String way, InetSocketAddress address, Supplier<Duration> cpu) {
    }

    private final int connections;
    private final long seconds;
    private final int loops;
    private final NioEventLoopGroup cacheGroup = new NioEventLoopGroup(2, new DefaultThreadFactory("cache", true));
    /** These never sleep: a sleeping selector wakes by the millisecond, and latencies would be those of the load. */
    private final NioEventLoopGroup loadGroup;
    private final List<EchoCache> caches = new ArrayList<>();
    private final List<InetSocketAddress> addresses = new ArrayList<>();
    private final List<AutoCloseable> children = new ArrayList<>();

    /** {@code seconds}: of each measurement. */
    public Bench(int connections, long seconds, int loops) throws InterruptedException {
        this.connections = connections;
        this.seconds = seconds;
        this.loops = loops;
        this.loadGroup = new NioEventLoopGroup(loops, new DefaultThreadFactory("load", true),
                SelectorProvider.provider(), () -> (select, hasTasks) -> select.get());
        for (int i = 0; i < CACHES; i++) {
            EchoCache cache = new EchoCache(VALUE);
            caches.add(cache);
            addresses.add(cache.start(cacheGroup.next()));
        }
    }

    /** Measures all ways in turn. {@code relay}: the command of a relay, which gets a port and an address appended. */
    public List<Figures> run(Program program, List<String> relay, Path folder, Consumer<String> told)
            throws IOException, InterruptedException {
        List<Between> ways = List.of(new Between("cache", addresses.get(0), () -> Duration.ZERO), relay(relay),
                balancer(program, folder));
        List<Figures> all = new ArrayList<>();
        for (Between way : ways) {
            told.accept("closed loop: " + way.way);
            // Once for warming, once for the figures.
            measure(way, 0);
            all.add(measure(way, 0));
        }
        double half = all.get(all.size() - 1).rate / 2;
        for (Between way : ways) {
            told.accept("half load: " + way.way);
            all.add(measure(way, half));
        }
        return all;
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
        Thread.sleep(SECOND_MS);
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
        return new Figures(way.way, served * 1e9 / time, used / 1e3 / Math.max(1, served),
                latency.getValueAtPercentile(50) / 1e3, latency.getValueAtPercentile(99) / 1e3, bad);
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    private Between relay(List<String> relay) throws IOException, InterruptedException {
        int port = freePort();
        List<String> command = new ArrayList<>(relay);
        command.add(Integer.toString(port));
        command.add(Loopback.text(addresses.get(0)));
        Process process = new ProcessBuilder(command).redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.DISCARD).start();
        children.add(process::destroyForcibly);
        InetSocketAddress address = Loopback.port(port);
        for (int i = 0; i < 200 && !answers(address); i++) {
            Thread.sleep(50);
        }
        return new Between("relay", address, () -> process.info().totalCpuDuration().orElse(Duration.ZERO));
    }

    private static boolean answers(InetSocketAddress address) {
        try (java.net.Socket socket = new java.net.Socket()) {
            socket.connect(address, 100);
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    private Between balancer(Program program, Path folder) throws IOException, InterruptedException {
        Day demo = DayFile.demo().quiet();
        Day day = new Day(1, demo.length(), CACHES, 1, 0, demo.drainGrace(), demo.repeatWindow(),
                demo.cache(), demo.archive(), demo.load(),
                List.of(new ClassSpec("read", 1, 100_000, 100_000, SECOND_MS * 1_000_000, 2 * SECOND_MS * 1_000_000, 1,
                        Referee.Effect.REPEATABLE)), List.of(new TenantSpec("bench", 1)), List.of());
        EventLoop loop = cacheGroup.next();
        DiscoveryServer discovery = new DiscoveryServer(loop, new Referee(new Referee.Bounds(Long.MAX_VALUE / 2, 1,
                day.cache().warmth(), 1)), 0);
        Map<String, String> endpoints = new LinkedHashMap<>();
        for (int i = 0; i < CACHES; i++) {
            endpoints.put("cache-" + (i + 1), Loopback.text(addresses.get(i)));
            discovery.known(new Member("cache-" + (i + 1), Member.State.READY, 0));
        }
        InetSocketAddress listen = Loopback.port(freePort());
        BalancerProcess process = new BalancerProcess("balancer-1", program, folder.resolve("balancer-1"), listen,
                BalancerConfig.json(day, 0, Loopback.text(listen), Loopback.text(Loopback.port(freePort())),
                        Loopback.text(discovery.listen("balancer-1", endpoints)), discovery.list(endpoints)));
        children.add(process);
        process.start();
        process.awaitReady();
        return new Between("balancer", listen, process::cpu);
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
