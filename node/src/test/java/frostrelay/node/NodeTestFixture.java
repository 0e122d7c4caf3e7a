package frostrelay.node;

import static org.junit.jupiter.api.Assertions.fail;

import frostrelay.node.cluster.TestHooks;
import frostrelay.node.config.Config;
import frostrelay.node.config.DeploymentSettings;
import frostrelay.node.config.Json;
import frostrelay.node.lifecycle.SharedDirectory;
import frostrelay.node.proxy.RequestDispatcher;
import frostrelay.node.time.Clock;
import frostrelay.policy.Router;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import java.util.stream.Stream;

/** A balancer on an ephemeral port with configurable servers and settings. */
public final class NodeTestFixture implements AutoCloseable {
    static final String READ = "mg 7f3a9c21e0b4d655 v O1 Pc=read,t=acme,d=5000";
    public static final String NON_IDEMPOTENT_WRITE =
            "ms 7f3a9c21e0b4d655 5 O2 Pc=copy,t=acme,d=5000\r\nhello";
    static final String IDEMPOTENT_WRITE =
            "ms 7f3a9c21e0b4d655 5 O3 Pc=put,t=acme,d=5000,k=5c0f6e1a\r\nhello";

    private static final String SETTINGS =
            """
            {"categories":[
              {"name":"read","effect":"retryable","group":"all","goal-time-ns":%6$d000000,
               "deadline-ns":%1$d000000,"late-worth":0.5,"window-ns":5000000000},
              {"name":"copy","effect":"fragile","group":"all","goal-time-ns":%6$d000000,
               "deadline-ns":%1$d000000,"late-worth":0.5,"window-ns":5000000000},
              {"name":"put","effect":"dedup","group":"all","goal-time-ns":%6$d000000,
               "deadline-ns":%1$d000000,"late-worth":0.5,"window-ns":5000000000}],
             "tenants":[{"name":"acme","allowance-per-s":100000.0,"fraction":1.0}],
             "zones":["a","b"],"kinds":["m1"],"my-zone":0,"n-instances":1,"rank":0,
             "ceilings":{"cancelling":true,"conn-idle-ns":%2$d000000,"connect-timeout-ns":%3$d000000,
               "max-attempts":4,"max-open":%4$d,"max-retry-after-ns":2000000000,"may-duplicate":true,
               "multiplex":1,"retry-after":true},
             "discovery":"subscribe","load-report":{"fields":["busy"],"source":"answers"},
             "guarantees":{"ask-within-ns":2000000,"cold-from":0.2,"fall-ns":2000000000,
               "stop-sending-within-ns":%5$d,"tip-multiple":4.0,"warm-within-ns":20000000000}}
            """;

    final List<FakeServer> fakeServers = new ArrayList<>();

    /** Further servers, in the JSON form of the endpoint list. */
    final List<String> extraTargets = new ArrayList<>();

    long deadlineMillis = 10_000;
    long latencyObjectiveMillis = 5_000;
    long idleTimeoutMillis = 30_000;
    long connectTimeoutMillis = 5_000;
    int maxOpenRequests = 1_000;
    long drainGraceMillis = 1_000;
    int socketLimit = 1024;
    boolean cancellationAllowed = true;

    /** Whether endpoint lists are pushed by a discovery agent instead of polled. */
    public boolean endpointsPushed;

    public String discovery = "127.0.0.1:1";

    /** The address of the admin interface; null to disable it. */
    String adminAddress;

    public RequestDispatcher.PolicyFactory policyFactory = Router::new;
    public TestHooks testHooks = TestHooks.NONE;

    /** A transformation of the settings' JSON text. */
    UnaryOperator<String> settingsTransform = UnaryOperator.identity();

    public Node node;
    public EventLoop loop;
    private NioEventLoopGroup group;
    private InetSocketAddress clientAddress;
    private SharedDirectory sharedDirectory;
    private Path temporaryDirectory;

    public NodeTestFixture(FakeServer... fakeServers) {
        this.fakeServers.addAll(List.of(fakeServers));
    }

    public static String target(String uid, String endpoint, String state) {
        return "{\"uid\":\""
                + uid
                + "\",\"endpoint\":\""
                + endpoint
                + "\",\"az\":\"a\",\"model\":\"m1\","
                + "\"pod_group\":1,\"state\":\""
                + state
                + "\",\"capacity_hint\":1.0,\"boot_ms\":0}";
    }

    String settings() {
        String text =
                String.format(
                                Locale.ROOT,
                                SETTINGS,
                                deadlineMillis,
                                idleTimeoutMillis,
                                connectTimeoutMillis,
                                maxOpenRequests,
                                drainGraceMillis * Clock.NANOS_PER_MILLISECOND,
                                latencyObjectiveMillis)
                        .replace("\"cancelling\":true", "\"cancelling\":" + cancellationAllowed)
                        .replace(
                                "\"discovery\":\"subscribe\"",
                                "\"discovery\":\""
                                        + (endpointsPushed ? "automatic" : "subscribe")
                                        + "\"");
        return settingsTransform.apply(text);
    }

    public String config(String listenAddress) {
        List<String> targets = new ArrayList<>(extraTargets);
        for (FakeServer fakeServer : fakeServers) {
            targets.add(target("s-" + targets.size(), fakeServer.endpoint(), "Ready"));
        }
        return "{\"name\":\"n1\",\"listen\":\""
                + listenAddress
                + "\","
                + (adminAddress == null ? "" : "\"console\":\"" + adminAddress + "\",")
                + "\"discovery\":\""
                + discovery
                + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":"
                + socketLimit
                + "},\"known\":{\"rev\":7,\"all\":true,\"targets\":["
                + String.join(",", targets)
                + "]},\"settings\":"
                + settings()
                + "}";
    }

    public DeploymentSettings deploymentSettings() {
        return new DeploymentSettings(Json.parse(settings().getBytes(StandardCharsets.UTF_8)));
    }

    public NodeTestFixture start() throws Exception {
        group = new NioEventLoopGroup(1);
        loop = group.next();
        Config config =
                Config.parse(Json.parse(config("127.0.0.1:0").getBytes(StandardCharsets.UTF_8)));
        temporaryDirectory = Files.createTempDirectory("node-test");
        sharedDirectory = new SharedDirectory(temporaryDirectory, "node-test");
        SharedDirectory.Snapshot sharedState = sharedDirectory.snapshot();
        node =
                loop.submit(
                                () ->
                                        new Node(
                                                config,
                                                loop,
                                                policyFactory,
                                                sharedDirectory,
                                                sharedState,
                                                Options.DEFAULTS,
                                                testHooks))
                        .get();
        clientAddress =
                (InetSocketAddress)
                        loop.submit(node::start).get().sync().getNow().channel().localAddress();
        return this;
    }

    /** Returns the port at which the balancer serves clients. */
    int port() {
        return clientAddress.getPort();
    }

    /** Returns the balancer's gauges. */
    Map<String, Object> gauges() throws Exception {
        return loop.submit(node::gauges).get();
    }

    public TestConnection client() throws IOException {
        return new TestConnection(new Socket(InetAddress.getLoopbackAddress(), port()));
    }

    /** Returns a client with a small receive buffer, for tests that leave responses unread. */
    TestConnection slowClient() throws IOException {
        Socket socket = new Socket();
        socket.setReceiveBufferSize(4096);
        socket.connect(clientAddress);
        return new TestConnection(socket);
    }

    /**
     * Returns pipelined reads of the keys 0, 1 and so on. The id of each read is the prefix
     * followed by the key.
     */
    static String pipelinedReads(int count, String idPrefix) {
        StringBuilder commands = new StringBuilder();
        for (int i = 0; i < count; i++) {
            commands.append("mg ")
                    .append(i)
                    .append(" v O")
                    .append(idPrefix)
                    .append(i)
                    .append(" Pc=read,t=acme,d=9000\r\n");
        }
        return commands.toString();
    }

    /** Waits for a latch on any thread, and fails after a timeout. */
    static void await(CountDownLatch latch) {
        try {
            if (!latch.await(TestConnection.TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)) {
                throw new IllegalStateException(
                        "latch not released within " + TestConnection.TIMEOUT_MILLIS + " ms");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted while waiting", e);
        }
    }

    /** Waits until the balancer's gauge has this value. */
    void awaitGauge(String name, int value) throws Exception {
        awaitGauges(Map.of(name, value));
    }

    /** Waits until the balancer's gauges have all these values at the same time. */
    void awaitGauges(Map<String, Integer> expected) throws Exception {
        Map<String, Object> gauges = Map.of();
        for (long endNanos = System.nanoTime() + TestConnection.TIMEOUT_MILLIS * 1_000_000L;
                System.nanoTime() < endNanos;
                Thread.sleep(2)) {
            gauges = gauges();
            boolean allMatch = true;
            for (Map.Entry<String, Integer> gauge : expected.entrySet()) {
                allMatch &=
                        String.valueOf(gauges.get(gauge.getKey()))
                                .equals(String.valueOf(gauge.getValue()));
            }
            if (allMatch) {
                return;
            }
        }
        fail(expected + " expected, " + gauges + " found");
    }

    @Override
    public void close() throws IOException {
        if (sharedDirectory != null) {
            sharedDirectory.close();
        }
        if (group != null) {
            group.shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
        }
        for (FakeServer fakeServer : fakeServers) {
            fakeServer.close();
        }
        if (sharedDirectory != null) {
            try (Stream<Path> files = Files.list(temporaryDirectory)) {
                for (Path file : files.toList()) {
                    Files.delete(file);
                }
            }
            Files.delete(temporaryDirectory);
        }
    }
}
