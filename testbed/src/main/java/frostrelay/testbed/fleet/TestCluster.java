package frostrelay.testbed.fleet;

import frostrelay.testbed.cache.CacheServer;
import frostrelay.testbed.cache.DeduplicationWindow;
import frostrelay.testbed.discovery.DiscoveryServer;
import frostrelay.testbed.discovery.Member;
import frostrelay.testbed.invariants.InvariantChecker;
import frostrelay.testbed.link.FaultProxy;
import frostrelay.testbed.origin.OriginClient;
import frostrelay.testbed.origin.OriginServer;
import frostrelay.testbed.scenario.Scenario;
import frostrelay.testbed.wire.Loopback;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/**
 * A whole installation on loopback: an archive, caches, discovery, a link between each balancer and
 * each cache, and real balancers as processes. Where there is no program, balancers are left to be
 * started by hand.
 */
public final class TestCluster implements AutoCloseable {
    private static final int EVENT_LOOP_COUNT = 4;

    /**
     * How much later than its bound a send may reach a cache: the way, and how late this program
     * itself may be.
     */
    private static final long DRAIN_TOLERANCE_NANOS = 150_000_000L;

    /** One cache with its ways, by balancer. */
    public record CacheInstance(CacheServer server, List<FaultProxy> proxies) {}

    /**
     * Where a balancer is and what it was given. {@code process}: null where it is started by hand.
     */
    public record BalancerInstance(
            String name,
            InetSocketAddress listenAddress,
            InetSocketAddress adminAddress,
            String config,
            BalancerProcess process) {}

    private final Scenario scenario;
    private final NioEventLoopGroup group = new NioEventLoopGroup(EVENT_LOOP_COUNT);
    private final InvariantChecker invariantChecker;
    private final LoopMonitor loopMonitor;
    private final OriginServer origin;
    private final DiscoveryServer discovery;
    private final List<CacheInstance> caches = new ArrayList<>();
    private final List<BalancerInstance> balancers = new ArrayList<>();

    /** What differs from balancer to balancer beyond the day. */
    public interface BalancerCustomizer {
        /** How it is started, or null where that is done by hand. */
        BalancerCommand program(int place);

        /** Further keys of its configuration. */
        Map<String, Object> extraKeys(int place);
    }

    /**
     * Builds and starts everything but the balancers. {@code recordFolder}: where these keep their
     * files.
     */
    public TestCluster(Scenario scenario, Path directory, BalancerCommand program)
            throws IOException, InterruptedException {
        this(
                scenario,
                directory,
                new BalancerCustomizer() {
                    @Override
                    public BalancerCommand program(int place) {
                        return program;
                    }

                    @Override
                    public Map<String, Object> extraKeys(int place) {
                        return Map.of();
                    }
                });
    }

    /** Likewise with balancers that differ. */
    public TestCluster(Scenario scenario, Path directory, BalancerCustomizer customizer)
            throws IOException, InterruptedException {
        this.scenario = scenario;
        invariantChecker =
                new InvariantChecker(
                        new InvariantChecker.Bounds(
                                scenario.drainGraceNanos() + DRAIN_TOLERANCE_NANOS,
                                scenario.cache().slowStart().windowNanos(),
                                scenario.cache().slowStart(),
                                scenario.cache().cores()));
        loopMonitor = new LoopMonitor(group);
        invariantChecker.setStallDetector(loopMonitor::isStalled);
        origin = new OriginServer(scenario.origin(), group.next(), scenario.seed());
        discovery =
                new DiscoveryServer(group.next(), invariantChecker, scenario.discoveryDelayNanos());
        InetSocketAddress originAddress = origin.start();
        DeduplicationWindow deduplicationWindow =
                new DeduplicationWindow(scenario.deduplicationWindowNanos());
        List<CacheServer> servers = new CopyOnWriteArrayList<>();
        List<Map<String, String>> endpoints = new ArrayList<>();
        for (int index = 0; index < scenario.balancers(); index++) {
            endpoints.add(new LinkedHashMap<>());
        }
        for (int i = 0; i < scenario.caches(); i++) {
            EventLoop loop = group.next();
            CacheServer server =
                    new CacheServer(
                            "cache-" + (i + 1),
                            scenario.cache(),
                            loop,
                            new OriginClient(originAddress, loop),
                            deduplicationWindow,
                            invariantChecker,
                            servers);
            servers.add(server);
            List<FaultProxy> proxies = new ArrayList<>();
            for (int index = 0; index < scenario.balancers(); index++) {
                FaultProxy proxy =
                        new FaultProxy(group.next(), server.listen(BalancerConfig.name(index)));
                proxies.add(proxy);
                endpoints.get(index).put(server.name(), Loopback.text(proxy.listen(0)));
            }
            caches.add(new CacheInstance(server, proxies));
            discovery.addInitial(new Member(server.name(), Member.State.READY, 0));
        }
        for (int index = 0; index < scenario.balancers(); index++) {
            balancers.add(createBalancer(index, endpoints.get(index), directory, customizer));
        }
    }

    private BalancerInstance createBalancer(
            int index, Map<String, String> endpoints, Path directory, BalancerCustomizer customizer)
            throws IOException, InterruptedException {
        String name = BalancerConfig.name(index);
        InetSocketAddress listenAddress = Loopback.port(Loopback.freePort());
        InetSocketAddress adminAddress = Loopback.port(Loopback.freePort());
        String discoveryAddress = Loopback.text(discovery.listen(name, endpoints));
        String config =
                BalancerConfig.json(
                        scenario,
                        index,
                        Loopback.text(listenAddress),
                        Loopback.text(adminAddress),
                        discoveryAddress,
                        discovery.endpointList(endpoints),
                        customizer.extraKeys(index));
        BalancerCommand program = customizer.program(index);
        return new BalancerInstance(
                name,
                listenAddress,
                adminAddress,
                config,
                program == null
                        ? null
                        : new BalancerProcess(
                                name, program, directory.resolve(name), listenAddress, config));
    }

    /** Starts all balancers and waits until they take requests. */
    public void startBalancers() throws IOException, InterruptedException {
        for (BalancerInstance place : balancers) {
            place.process.start();
            invariantChecker.onBalancerStarted(System.nanoTime(), place.name);
        }
        for (BalancerInstance place : balancers) {
            place.process.awaitReady();
        }
    }

    /** The day that it plays. */
    public Scenario scenario() {
        return scenario;
    }

    /** Where balancers are, in their order. */
    public List<BalancerInstance> balancers() {
        return List.copyOf(balancers);
    }

    /** Who watches. */
    public InvariantChecker invariantChecker() {
        return invariantChecker;
    }

    /** The archive takes so many times as long from now on. */
    public void slowOrigin(double factor) {
        origin.setSlowdown(factor);
    }

    OriginServer origin() {
        return origin;
    }

    /** The stand-in for discovery. */
    public DiscoveryServer discovery() {
        return discovery;
    }

    /** The caches with their links. */
    public List<CacheInstance> caches() {
        return caches;
    }

    /**
     * For how long, in milliseconds, a loop of the stand-ins stood still at most; 0 for no time
     * that matters.
     */
    public long longestStallMillis() {
        return TimeUnit.NANOSECONDS.toMillis(loopMonitor.longestStallNanos());
    }

    /** Whether what the stand-ins see now may have come earlier, as their own loops stood still. */
    public boolean isStalled() {
        return loopMonitor.isStalled(System.nanoTime());
    }

    /** A loop for clients. */
    public EventLoop loop() {
        return group.next();
    }

    /** Reads served from memory so far, by all caches. */
    public long hits() {
        return caches.stream().mapToLong(cache -> cache.server.hits()).sum();
    }

    /** Reads fetched so far, by all caches. */
    public long misses() {
        return caches.stream().mapToLong(cache -> cache.server.misses()).sum();
    }

    /** Fetches and writes that the archive was sent so far. */
    public long fetches() {
        return origin.acceptedCount();
    }

    @Override
    public void close() {
        for (BalancerInstance place : balancers) {
            if (place.process != null) {
                place.process.close();
            }
        }
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }
}
