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
 * A complete installation on loopback: an origin, caches, discovery, a fault proxy between each
 * balancer and each cache, and real balancers as processes. Balancers without a command are started
 * manually.
 */
public final class TestCluster implements AutoCloseable {
    private static final int EVENT_LOOP_COUNT = 4;

    /**
     * Tolerance past the drain bound for a request to reach a cache; covers the network and delays
     * of this process.
     */
    private static final long DRAIN_TOLERANCE_NANOS = 150_000_000L;

    /** A cache and its fault proxies, in the order of the balancers. */
    public record CacheInstance(CacheServer server, List<FaultProxy> proxies) {}

    /**
     * The addresses and configuration of a balancer. {@code process}: null if it is started
     * manually.
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

    /** Settings of individual balancers that are not part of the scenario. */
    public interface BalancerCustomizer {
        /** Returns the command that starts the balancer, or null if it is started manually. */
        BalancerCommand program(int place);

        /** Returns additional keys of the balancer's configuration. */
        Map<String, Object> extraKeys(int place);
    }

    /**
     * Builds and starts everything except the balancers. {@code directory}: for the balancers'
     * files; {@code program}: null if balancers are started manually.
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

    /** Builds and starts everything except the balancers, which are customized individually. */
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

    /** Starts all balancers and waits until they answer requests. */
    public void startBalancers() throws IOException, InterruptedException {
        for (BalancerInstance place : balancers) {
            place.process.start();
            invariantChecker.onBalancerStarted(System.nanoTime(), place.name);
        }
        for (BalancerInstance place : balancers) {
            place.process.awaitReady();
        }
    }

    /** Returns the scenario of this cluster. */
    public Scenario scenario() {
        return scenario;
    }

    /** Returns the balancers in the order of their indexes. */
    public List<BalancerInstance> balancers() {
        return List.copyOf(balancers);
    }

    /** Returns the checker that observes the clients, the caches and discovery. */
    public InvariantChecker invariantChecker() {
        return invariantChecker;
    }

    /** Multiplies the duration of origin fetches by a factor from now on. */
    public void slowOrigin(double factor) {
        origin.setSlowdown(factor);
    }

    OriginServer origin() {
        return origin;
    }

    /** Returns the discovery server. */
    public DiscoveryServer discovery() {
        return discovery;
    }

    /** Returns the caches with their fault proxies. */
    public List<CacheInstance> caches() {
        return caches;
    }

    /**
     * Returns the longest stall of the testbed's event loops in milliseconds, or 0 if none exceeded
     * the threshold.
     */
    public long longestStallMillis() {
        return TimeUnit.NANOSECONDS.toMillis(loopMonitor.longestStallNanos());
    }

    /**
     * Returns whether data read now may have arrived earlier because the testbed's own event loops
     * were stalled.
     */
    public boolean isStalled() {
        return loopMonitor.isStalled(System.nanoTime());
    }

    /** Returns an event loop for clients. */
    public EventLoop loop() {
        return group.next();
    }

    /** Returns the number of reads that all caches have served from memory. */
    public long hits() {
        return caches.stream().mapToLong(cache -> cache.server.hits()).sum();
    }

    /** Returns the number of reads that all caches have fetched from the origin. */
    public long misses() {
        return caches.stream().mapToLong(cache -> cache.server.misses()).sum();
    }

    /** Returns the number of fetches and writes that the origin has accepted. */
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
