package frostrelay.rig.fleet;

import frostrelay.rig.archive.ArchiveClient;
import frostrelay.rig.archive.ArchiveServer;
import frostrelay.rig.cache.CacheServer;
import frostrelay.rig.cache.RepeatFilter;
import frostrelay.rig.day.Day;
import frostrelay.rig.discovery.DiscoveryServer;
import frostrelay.rig.discovery.Member;
import frostrelay.rig.link.Link;
import frostrelay.rig.referee.Referee;
import frostrelay.rig.wire.Loopback;

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
public final class Fleet implements AutoCloseable {
    private static final int LOOPS = 4;

    /**
     * How much later than its bound a send may reach a cache: the way, and how late this program
     * itself may be.
     */
    private static final long DRAIN_SLACK = 150_000_000L;

    /** One cache with its ways, by balancer. */
    public record Cache(CacheServer server, List<Link> links) {}

    /**
     * Where a balancer is and what it was given. {@code process}: null where it is started by hand.
     */
    public record Place(
            String name,
            InetSocketAddress listen,
            InetSocketAddress console,
            String config,
            BalancerProcess process) {}

    private final Day day;
    private final NioEventLoopGroup group = new NioEventLoopGroup(LOOPS);
    private final Referee referee;
    private final LoopMonitor monitor;
    private final ArchiveServer archive;
    private final DiscoveryServer discovery;
    private final List<Cache> caches = new ArrayList<>();
    private final List<Place> places = new ArrayList<>();

    /** What differs from balancer to balancer beyond the day. */
    public interface Each {
        /** How it is started, or null where that is done by hand. */
        Program program(int place);

        /** Further keys of its configuration. */
        Map<String, Object> further(int place);
    }

    /**
     * Builds and starts everything but the balancers. {@code folder}: where these keep their files.
     */
    public Fleet(Day day, Path folder, Program program) throws IOException, InterruptedException {
        this(
                day,
                folder,
                new Each() {
                    @Override
                    public Program program(int place) {
                        return program;
                    }

                    @Override
                    public Map<String, Object> further(int place) {
                        return Map.of();
                    }
                });
    }

    /** Likewise with balancers that differ. */
    public Fleet(Day day, Path folder, Each each) throws IOException, InterruptedException {
        this.day = day;
        referee =
                new Referee(
                        new Referee.Bounds(
                                day.drainGrace() + DRAIN_SLACK,
                                day.cache().warmth().window(),
                                day.cache().warmth(),
                                day.cache().cores()));
        monitor = new LoopMonitor(group);
        referee.heldUpWhile(monitor::isBehind);
        archive = new ArchiveServer(day.archive(), group.next(), day.seed());
        discovery = new DiscoveryServer(group.next(), referee, day.lateness());
        InetSocketAddress source = archive.start();
        RepeatFilter repeats = new RepeatFilter(day.repeatWindow());
        List<CacheServer> servers = new CopyOnWriteArrayList<>();
        List<Map<String, String>> endpoints = new ArrayList<>();
        for (int place = 0; place < day.balancers(); place++) {
            endpoints.add(new LinkedHashMap<>());
        }
        for (int i = 0; i < day.caches(); i++) {
            EventLoop loop = group.next();
            CacheServer server =
                    new CacheServer(
                            "cache-" + (i + 1),
                            day.cache(),
                            loop,
                            new ArchiveClient(source, loop),
                            repeats,
                            referee,
                            servers);
            servers.add(server);
            List<Link> links = new ArrayList<>();
            for (int place = 0; place < day.balancers(); place++) {
                Link link = new Link(group.next(), server.listen(BalancerConfig.name(place)));
                links.add(link);
                endpoints.get(place).put(server.name(), Loopback.text(link.listen(0)));
            }
            caches.add(new Cache(server, links));
            discovery.known(new Member(server.name(), Member.State.READY, 0));
        }
        for (int place = 0; place < day.balancers(); place++) {
            places.add(place(place, endpoints.get(place), folder, each));
        }
    }

    private Place place(int place, Map<String, String> endpoints, Path folder, Each each)
            throws IOException, InterruptedException {
        String name = BalancerConfig.name(place);
        InetSocketAddress listen = Loopback.port(Loopback.freePort());
        InetSocketAddress console = Loopback.port(Loopback.freePort());
        String source = Loopback.text(discovery.listen(name, endpoints));
        String config =
                BalancerConfig.json(
                        day,
                        place,
                        Loopback.text(listen),
                        Loopback.text(console),
                        source,
                        discovery.list(endpoints),
                        each.further(place));
        Program program = each.program(place);
        return new Place(
                name,
                listen,
                console,
                config,
                program == null
                        ? null
                        : new BalancerProcess(name, program, folder.resolve(name), listen, config));
    }

    /** Starts all balancers and waits until they take requests. */
    public void startBalancers() throws IOException, InterruptedException {
        for (Place place : places) {
            place.process.start();
            referee.starts(System.nanoTime(), place.name);
        }
        for (Place place : places) {
            place.process.awaitReady();
        }
    }

    /** The day that it plays. */
    public Day day() {
        return day;
    }

    /** Where balancers are, in their order. */
    public List<Place> balancers() {
        return List.copyOf(places);
    }

    /** Who watches. */
    public Referee referee() {
        return referee;
    }

    /** The archive takes so many times as long from now on. */
    public void archiveTakes(double factor) {
        archive.slow(factor);
    }

    ArchiveServer archive() {
        return archive;
    }

    /** The stand-in for discovery. */
    public DiscoveryServer discovery() {
        return discovery;
    }

    /** The caches with their links. */
    public List<Cache> caches() {
        return caches;
    }

    /**
     * For how long, in milliseconds, a loop of the stand-ins stood still at most; 0 for no time
     * that matters.
     */
    public long longestStallMs() {
        return TimeUnit.NANOSECONDS.toMillis(monitor.longest());
    }

    /** Whether what the stand-ins see now may have come earlier, as their own loops stood still. */
    public boolean isHeldUp() {
        return monitor.isBehind(System.nanoTime());
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
        return archive.taken();
    }

    @Override
    public void close() {
        for (Place place : places) {
            if (place.process != null) {
                place.process.close();
            }
        }
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }
}
