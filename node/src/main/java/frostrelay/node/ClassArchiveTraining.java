package frostrelay.node;

import frostrelay.node.cluster.ClusterOptions;
import frostrelay.node.cluster.TestHooks;
import frostrelay.node.config.Config;
import frostrelay.node.config.Json;
import frostrelay.node.lifecycle.SharedDirectory;
import frostrelay.node.log.Event;
import frostrelay.node.log.Log;
import frostrelay.node.time.Clock;
import frostrelay.policy.Router;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Training run for the class data sharing (CDS) archive that the build creates with {@code
 * -XX:ArchiveClassesAtExit}. Runs a balancer from start to shutdown on the loopback interface, with
 * its own cache server and discovery. Without the archive, a start costs twice the CPU time and
 * class loading delays the first requests too much on a small share of a core. Then runs two
 * balancers with gossip, audit and staleness detection, so that a start with these costs little
 * more than one without them.
 */
public final class ClassArchiveTraining {
    private static final int READ_COUNT = 50;
    private static final int READ_TIMEOUT_MILLIS = 20_000;

    /** Time for two balancers to join, check each other's health and exchange their versions. */
    private static final int GOSSIP_WAIT_MILLIS = 1_500;

    private static final ClusterOptions GOSSIP_OPTIONS =
            new ClusterOptions(
                    true, 2048, true, true, true, true, true, true, 16 * 1024, false, null, 0);
    private static final String CONFIG =
            """
            {"name":"rehearsal","listen":"127.0.0.1:0","console":"127.0.0.1:0","discovery":"127.0.0.1:%1$d","seed":"1",
             "peer_listen":"127.0.0.1:%4$d","peers":["127.0.0.1:%5$d","127.0.0.1:%6$d"],
             "known":{"rev":1,"all":true,"targets":[{"uid":"s-1","endpoint":"127.0.0.1:%2$d","az":"a",
               "model":"m","pod_group":1,"state":"Ready","capacity_hint":1.0,"boot_ms":0}]},
             "settings":{"rank":%3$d,"categories":[
                 {"name":"read","effect":"retryable","goal-time-ns":900000000,"deadline-ns":1000000000},
                 {"name":"copy","effect":"fragile","goal-time-ns":900000000,"deadline-ns":1000000000}],
               "tenants":[{"name":"t","allowance-per-s":1000.0,"fraction":1.0}],
               "zones":["a"],"kinds":["m"],"discovery":"subscribe","load-report":{"fields":["busy"]},
               "guarantees":{"ask-within-ns":1000000},
               "ceilings":{"peer-messages":true,"max-attempts":4,"may-duplicate":true,"cancelling":true,"retry-after":true}}}
            """;

    /** Returns the response of a server to a line; null for no response. */
    private interface ResponseScript {
        String respond(String line);
    }

    private ClassArchiveTraining() {}

    /** Runs the training and exits; takes no arguments and throws if the training fails. */
    public static void main(String[] args) throws Exception {
        int correctResponses = run();
        Log.write(Event.CLASS_ARCHIVE_TRAINED, correctResponses);
        System.exit(0);
    }

    /** Runs the balancers and returns how many commands got the expected response. */
    static int run() throws Exception {
        NioEventLoopGroup group = new NioEventLoopGroup(1);
        EventLoop loop = group.next();
        Path sharedPath = Files.createTempDirectory("rehearsal");
        try (ServerSocket discovery = startServer(ClassArchiveTraining::respondAsDiscovery);
                ServerSocket cacheServer = startServer(ClassArchiveTraining::respondAsCache);
                SharedDirectory sharedDirectory = new SharedDirectory(sharedPath, "rehearsal")) {
            int[] ports = {
                discovery.getLocalPort(), cacheServer.getLocalPort(), freeUdpPort(), freeUdpPort()
            };
            Node standaloneNode = start(loop, ports, 0, sharedDirectory, Options.DEFAULTS);
            int correctResponses = sendCommands(listen(loop, standaloneNode));
            loop.submit(() -> standaloneNode.stop(false, Clock.now())).get().ended().sync();
            Options gossipOptions =
                    new Options(
                            Options.DEFAULTS.logFormat(),
                            Options.DEFAULTS.logLevel(),
                            0,
                            Options.DEFAULTS.reportIntervalNanos(),
                            GOSSIP_OPTIONS);
            Node firstNode = start(loop, ports, 0, sharedDirectory, gossipOptions);
            Node secondNode = start(loop, ports, 1, sharedDirectory, gossipOptions);
            listen(loop, secondNode);
            correctResponses += sendCommands(listen(loop, firstNode));
            Thread.sleep(GOSSIP_WAIT_MILLIS);
            correctResponses += loop.submit(firstNode::auditStatement).get() == null ? 0 : 1;
            loop.submit(() -> secondNode.stop(false, Clock.now())).get().ended().sync();
            loop.submit(() -> firstNode.stop(false, Clock.now())).get().ended().sync();
            return correctResponses;
        } finally {
            group.shutdownGracefully().sync();
            Files.deleteIfExists(sharedPath);
        }
    }

    private static Node start(
            EventLoop loop, int[] ports, int rank, SharedDirectory sharedDirectory, Options options)
            throws Exception {
        byte[] json =
                String.format(CONFIG, ports[0], ports[1], rank, ports[2 + rank], ports[2], ports[3])
                        .getBytes(StandardCharsets.UTF_8);
        Config config = Config.parse(Json.parse(json));
        SharedDirectory.Snapshot sharedState = sharedDirectory.snapshot();
        return loop.submit(
                        () ->
                                new Node(
                                        config,
                                        loop,
                                        Router::new,
                                        sharedDirectory,
                                        sharedState,
                                        options,
                                        TestHooks.NONE))
                .get();
    }

    private static InetSocketAddress listen(EventLoop loop, Node node) throws Exception {
        return (InetSocketAddress)
                loop.submit(node::start).get().sync().getNow().channel().localAddress();
    }

    private static int freeUdpPort() throws IOException {
        try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    private static int sendCommands(InetSocketAddress address) throws IOException {
        try (Socket client = new Socket(address.getAddress(), address.getPort())) {
            client.setSoTimeout(READ_TIMEOUT_MILLIS);
            BufferedReader in = reader(client);
            PrintStream out =
                    new PrintStream(client.getOutputStream(), true, StandardCharsets.ISO_8859_1);
            int correctResponses =
                    countIfAnswered(in, out, "mn", "MN")
                            + countIfAnswered(in, out, "nonsense", "ERROR")
                            + countIfAnswered(
                                    in, out, "ms 5 1 O5 Pc=copy,t=t,d=900\r\nx", "HD O5 c1")
                            + countIfAnswered(
                                    in,
                                    out,
                                    "mg silent v O6 Pc=read,t=t,d=60",
                                    "SERVER_ERROR busy");
            for (int i = 0; i < READ_COUNT; i++) {
                correctResponses +=
                        countIfAnswered(in, out, "mg " + i + " v O7 Pc=read,t=t,d=900", "VA 1 O7");
                in.readLine();
            }
            return correctResponses;
        }
    }

    private static int countIfAnswered(
            BufferedReader in, PrintStream out, String command, String response)
            throws IOException {
        out.print(command + "\r\n");
        out.flush();
        return response.equals(in.readLine()) ? 1 : 0;
    }

    private static String respondAsCache(String command) {
        if (command.startsWith("mg silent") || !command.startsWith("m")) {
            return null;
        }
        return command.startsWith("mg") ? "VA 1 O7 h1 Lutil=0.5\r\nv\r\n" : "HD O5 c1\r\n";
    }

    private static String respondAsDiscovery(String line) {
        String json = "{\"rev\":2,\"all\":false,\"targets\":[]}";
        return line.isEmpty()
                ? "HTTP/1.1 200 OK\r\nContent-Length: " + json.length() + "\r\n\r\n" + json
                : null;
    }

    private static BufferedReader reader(Socket socket) throws IOException {
        return new BufferedReader(
                new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
    }

    private static ServerSocket startServer(ResponseScript script) throws IOException {
        ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        start(
                () -> {
                    while (true) {
                        Socket socket = server.accept();
                        start(() -> serveConnection(socket, script));
                    }
                });
        return server;
    }

    private static void serveConnection(Socket socket, ResponseScript script) throws IOException {
        try (socket) {
            BufferedReader in = reader(socket);
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                String response = script.respond(line);
                if (response != null) {
                    socket.getOutputStream().write(response.getBytes(StandardCharsets.ISO_8859_1));
                }
            }
        }
    }

    private interface IoTask {
        void run() throws IOException;
    }

    private static void start(IoTask task) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                task.run();
                            } catch (IOException e) {
                                // The peer closed its connection, which ends the task.
                            }
                        });
        thread.setDaemon(true);
        thread.start();
    }
}
