package frostrelay.node;

import frostrelay.lifecycle.SharedFolder;
import frostrelay.log.Event;
import frostrelay.log.Log;
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
 * Plays a balancer's life once, on loopback, with a host and a discovery of its own. The build runs
 * it to archive the classes that this loads ({@code -XX:ArchiveClassesAtExit}): without the archive
 * a start costs twice the CPU and the first requests wait for class loading, on a small share of a
 * core for too long. Two balancers that talk come behind it, so that a start with talk, audit and
 * stragglers costs little more than one without.
 */
public final class Rehearsal {
    private static final int READS = 50;
    private static final int LIMIT_MS = 20_000;

    /** Within this the two have greeted each other, probed and told their lists. */
    private static final int TALK_MS = 1_500;

    private static final FleetOptions TALKING =
            new FleetOptions(
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

    /** What a peer answers to a line; null keeps it silent. */
    private interface Script {
        String answer(String line);
    }

    private Rehearsal() {}

    /** Takes no arguments; fails if the rehearsal went wrong. */
    public static void main(String[] args) throws Exception {
        int answers = play();
        Log.write(Event.REHEARSED, answers);
        System.exit(0);
    }

    /** Returns how many commands were answered as they should be. */
    static int play() throws Exception {
        NioEventLoopGroup group = new NioEventLoopGroup(1);
        EventLoop loop = group.next();
        Path shared = Files.createTempDirectory("rehearsal");
        try (ServerSocket discovery = peer(Rehearsal::list);
                ServerSocket host = peer(Rehearsal::serve);
                SharedFolder folder = new SharedFolder(shared, "rehearsal")) {
            int[] ports = {discovery.getLocalPort(), host.getLocalPort(), talkPort(), talkPort()};
            Node alone = start(loop, ports, 0, folder, Options.STANDARD);
            int answers = ask(listen(loop, alone));
            loop.submit(() -> alone.stop(false, Clock.now())).get().sync();
            Options talking =
                    new Options(
                            Options.STANDARD.logFormat(),
                            Options.STANDARD.logLevel(),
                            0,
                            Options.STANDARD.counts(),
                            TALKING);
            Node first = start(loop, ports, 0, folder, talking);
            Node second = start(loop, ports, 1, folder, talking);
            listen(loop, second);
            answers += ask(listen(loop, first));
            Thread.sleep(TALK_MS);
            answers += loop.submit(first::audit).get() == null ? 0 : 1;
            loop.submit(() -> second.stop(false, Clock.now())).get().sync();
            loop.submit(() -> first.stop(false, Clock.now())).get().sync();
            return answers;
        } finally {
            group.shutdownGracefully().sync();
            Files.deleteIfExists(shared);
        }
    }

    private static Node start(
            EventLoop loop, int[] ports, int rank, SharedFolder folder, Options options)
            throws Exception {
        byte[] json =
                String.format(CONFIG, ports[0], ports[1], rank, ports[2 + rank], ports[2], ports[3])
                        .getBytes(StandardCharsets.UTF_8);
        Config config = Config.parse(Json.parse(json));
        SharedFolder.Look look = folder.look();
        return loop.submit(
                        () ->
                                new Node(
                                        config,
                                        loop,
                                        Router::new,
                                        folder,
                                        look,
                                        options,
                                        Seams.NONE))
                .get();
    }

    private static InetSocketAddress listen(EventLoop loop, Node node) throws Exception {
        return (InetSocketAddress)
                loop.submit(node::start).get().sync().getNow().channel().localAddress();
    }

    private static int talkPort() throws IOException {
        try (DatagramSocket free = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            return free.getLocalPort();
        }
    }

    private static int ask(InetSocketAddress address) throws IOException {
        try (Socket client = new Socket(address.getAddress(), address.getPort())) {
            client.setSoTimeout(LIMIT_MS);
            BufferedReader in = reader(client);
            PrintStream out =
                    new PrintStream(client.getOutputStream(), true, StandardCharsets.ISO_8859_1);
            int answers =
                    answered(in, out, "mn", "MN")
                            + answered(in, out, "nonsense", "ERROR")
                            + answered(in, out, "ms 5 1 O5 Pc=copy,t=t,d=900\r\nx", "HD O5 c1")
                            + answered(
                                    in,
                                    out,
                                    "mg silent v O6 Pc=read,t=t,d=60",
                                    "SERVER_ERROR busy");
            for (int i = 0; i < READS; i++) {
                answers += answered(in, out, "mg " + i + " v O7 Pc=read,t=t,d=900", "VA 1 O7");
                in.readLine();
            }
            return answers;
        }
    }

    private static int answered(BufferedReader in, PrintStream out, String command, String answer)
            throws IOException {
        out.print(command + "\r\n");
        out.flush();
        return answer.equals(in.readLine()) ? 1 : 0;
    }

    private static String serve(String command) {
        if (command.startsWith("mg silent") || !command.startsWith("m")) {
            return null;
        }
        return command.startsWith("mg") ? "VA 1 O7 h1 Lutil=0.5\r\nv\r\n" : "HD O5 c1\r\n";
    }

    private static String list(String line) {
        String json = "{\"rev\":2,\"all\":false,\"targets\":[]}";
        return line.isEmpty()
                ? "HTTP/1.1 200 OK\r\nContent-Length: " + json.length() + "\r\n\r\n" + json
                : null;
    }

    private static BufferedReader reader(Socket socket) throws IOException {
        return new BufferedReader(
                new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
    }

    private static ServerSocket peer(Script script) throws IOException {
        ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        start(
                () -> {
                    while (true) {
                        Socket socket = server.accept();
                        start(() -> converse(socket, script));
                    }
                });
        return server;
    }

    private static void converse(Socket socket, Script script) throws IOException {
        try (socket) {
            BufferedReader in = reader(socket);
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                String answer = script.answer(line);
                if (answer != null) {
                    socket.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
                }
            }
        }
    }

    private interface Task {
        void run() throws IOException;
    }

    private static void start(Task task) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                task.run();
                            } catch (IOException e) {
                                // The far end is done.
                            }
                        });
        thread.setDaemon(true);
        thread.start();
    }
}
