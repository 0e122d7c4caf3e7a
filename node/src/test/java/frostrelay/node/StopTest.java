package frostrelay.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.util.concurrent.Future;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** An orderly stop loses nothing that was taken. */
class StopTest {
    private static final String SERVES = "\"event\":\"serves\"";

    /** SIGKILL may follow SIGTERM so long after the longest deadline. */
    private static final int KILL_AFTER_LONGEST_MS = 700;

    private static final int[] LATE_MS = {50, 300, 500, 650, 750, 840, 1_000, 1_200, 1_350};
    @TempDir Path folder;

    @Test
    void aStopServesOnForAWhileThenFinishesWhatIsOpen() throws Exception {
        String value = "v".repeat(MetaFrame.MOST_GATHERED);
        FakeHost[] host = new FakeHost[1];
        host[0] =
                new FakeHost(
                        peer -> {
                            String command = host[0].next(peer);
                            while (command != null) {
                                if (command.contains(" Olong ")) {
                                    try {
                                        Thread.sleep(1_500);
                                    } catch (InterruptedException e) {
                                        return;
                                    }
                                }
                                peer.write(FakeHost.value(command, value));
                                command = host[0].next(peer);
                            }
                        });
        try (Rig rig = new Rig(host).start();
                Peer idle = rig.client();
                Peer busy = rig.slowClient()) {
            assertEquals("MN", idle.ask("mn"));
            busy.write("mg 1 v Olong Pc=read,t=acme,d=9000\r\n");
            host[0].command();
            Future<?> stopped = rig.loop.submit(() -> rig.node.stop(false, Clock.now())).get();
            try (Peer late = rig.client()) {
                assertEquals("VA 65536 O1", late.ask(Rig.READ), "clients still come for a while");
                late.data(value.length());
                assertEquals(null, late.line(), "closed when idle");
            }
            assertEquals(null, idle.line());
            assertFalse(stopped.isDone(), "a request is open");
            assertEquals("VA 65536 Olong", busy.line());
            assertEquals(
                    value,
                    busy.data(value.length()),
                    "whole, though the connection closes behind it");
            assertEquals(null, busy.line());
            assertTrue(stopped.await(Peer.LIMIT_MS));
            assertThrows(IOException.class, rig::client);
        }
    }

    /**
     * Past the time in which all can still be answered, of commands that came together the first
     * alone was told so.
     */
    @Test
    void allThatIsReadTooLateBeforeAnEndIsRefused() throws Exception {
        BlockingQueue<String> gate = new LinkedBlockingQueue<>();
        FakeHost host =
                FakeHost.answering(
                        command -> {
                            try {
                                gate.take();
                                return FakeHost.served(command);
                            } catch (InterruptedException e) {
                                return null;
                            }
                        });
        try (Rig rig = new Rig(host).start();
                Peer client = rig.client()) {
            client.write(Rig.COPY.replace("O2", "Oheld") + "\r\n");
            assertTrue(host.command() != null);
            rig.loop.submit(() -> rig.node.stop(false, Clock.now())).get();
            // With deadlines of 10 s what comes more than 600 ms behind the call could not be
            // answered in time.
            Thread.sleep(800);
            client.write(Rig.COPY + "\r\n" + Rig.PUT + "\r\n");
            gate.add("go on");
            assertEquals("HD Oheld c77", client.line());
            assertEquals("SERVER_ERROR busy", client.line());
            assertEquals("SERVER_ERROR busy", client.line());
            assertTrue(client.endsInOrder());
            assertEquals(0, host.commands.size());
        }
    }

    private Process start(String config) throws IOException {
        return start(config, folder);
    }

    static Process start(String config, Path shared) throws IOException {
        ProcessBuilder builder =
                new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-XX:TieredStopAtLevel=1",
                        "-Xshare:auto",
                        "-cp",
                        System.getProperty("java.class.path"),
                        "frostrelay.node.Main");
        builder.environment().remove("GW_CONFIG");
        builder.environment().put("TMPDIR", shared.toString());
        if (config != null) {
            builder.environment().put("GW_CONFIG", config);
        }
        return builder.start();
    }

    private static BufferedReader log(Process process) {
        return new BufferedReader(
                new InputStreamReader(process.getErrorStream(), StandardCharsets.UTF_8));
    }

    private static int exit(Process process) throws InterruptedException {
        try {
            assertTrue(process.waitFor(Peer.LIMIT_MS, TimeUnit.MILLISECONDS));
            return process.exitValue();
        } finally {
            process.destroyForcibly();
        }
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    @Test
    void theProgramServesAndEndsWithZeroOnSigterm() throws Exception {
        try (Rig rig = new Rig(FakeHost.serving())) {
            int port = freePort();
            Path config =
                    Files.writeString(
                            folder.resolve("config.json"), rig.config("127.0.0.1:" + port));
            Process process = start(config.toString());
            try {
                awaitLine(log(process), SERVES);
                try (Peer client = new Peer(new Socket(InetAddress.getLoopbackAddress(), port))) {
                    assertEquals("MN", client.ask("mn"));
                    assertEquals("HD O2 c77", client.ask(Rig.COPY));
                    process.destroy();
                    assertEquals("HD O2 c77", client.ask(Rig.COPY), "served after SIGTERM too");
                    client.awaitEnd();
                }
            } finally {
                assertEquals(0, exit(process));
            }
        }
    }

    /**
     * Beside caches that hang, at whatever moment of the shutdown a request comes, its answer must
     * be there before SIGKILL may be.
     */
    @Test
    void everyRequestThatComesDuringAShutdownIsAnsweredBeforeTheKill() throws Exception {
        FakeHost hung = FakeHost.answering(command -> null);
        try (Rig rig = new Rig(hung)) {
            rig.deadlineMs = 1_500;
            rig.aimMs = 1_500;
            int port = freePort();
            Path config =
                    Files.writeString(
                            folder.resolve("config.json"), rig.config("127.0.0.1:" + port));
            Process process = start(config.toString());
            List<Peer> clients = new ArrayList<>();
            try {
                awaitLine(log(process), SERVES);
                for (int i = 0; i < LATE_MS.length; i++) {
                    Peer client = new Peer(new Socket(InetAddress.getLoopbackAddress(), port));
                    clients.add(client);
                    // Holds the connection open: what follows on it crosses no close.
                    client.write(unsafeWrite("early" + i));
                }
                for (int i = 0; i < LATE_MS.length; i++) {
                    assertTrue(hung.command() != null, "all early ones are out");
                }
                process.destroy();
                long told = System.nanoTime();
                for (int i = 0; i < LATE_MS.length; i++) {
                    sleepUntil(told, LATE_MS[i]);
                    clients.get(i).write(unsafeWrite("late" + i));
                }
                sleepUntil(told, rig.deadlineMs + KILL_AFTER_LONGEST_MS);
                process.destroyForcibly();
                for (int i = 0; i < LATE_MS.length; i++) {
                    assertTrue(
                            isFinal(clients.get(i).line()), "the early request on connection " + i);
                    assertTrue(
                            isFinal(clients.get(i).line()),
                            "a request " + LATE_MS[i] + " ms after SIGTERM");
                }
            } finally {
                process.destroyForcibly();
                for (Peer client : clients) {
                    client.close();
                }
            }
        }
    }

    private static String unsafeWrite(String id) {
        return "ms 7f3a9c21e0b4d655 5 O" + id + " Pc=copy,t=acme,d=1500\r\nhello\r\n";
    }

    private static boolean isFinal(String answer) {
        return answer != null && (answer.startsWith("HD ") || answer.startsWith("SERVER_ERROR "));
    }

    private static void sleepUntil(long start, long ms) throws InterruptedException {
        Thread.sleep(Math.max(0, ms - (System.nanoTime() - start) / Clock.MILLISECOND));
    }

    /**
     * A burst of connections was accepted whole before any of it was looked at: it ran out of
     * descriptors, and the fault ended the event loop and with it the program.
     */
    @Test
    void aFloodOfConnectionsDoesNotRunOutOfDescriptors() throws Exception {
        List<Peer> flood = new ArrayList<>();
        try (Rig rig = new Rig(FakeHost.serving())) {
            rig.sockets = 96;
            int port = freePort();
            Path config =
                    Files.writeString(
                            folder.resolve("config.json"), rig.config("127.0.0.1:" + port));
            ProcessBuilder builder =
                    new ProcessBuilder(
                            "sh",
                            "-c",
                            "ulimit -n 96; exec \"$0\" \"$@\"",
                            Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                            "-XX:TieredStopAtLevel=1",
                            "-cp",
                            System.getProperty("java.class.path"),
                            "frostrelay.node.Main");
            builder.environment().put("GW_CONFIG", config.toString());
            Process process = builder.start();
            try {
                awaitLine(log(process), SERVES);
                for (int i = 0; i < 600; i++) {
                    flood.add(new Peer(new Socket(InetAddress.getLoopbackAddress(), port)));
                }
                String answer = null;
                long end = System.nanoTime() + Peer.LIMIT_MS * 1_000_000L;
                while (!"HD O2 c77".equals(answer) && System.nanoTime() < end) {
                    try (Peer client =
                            new Peer(new Socket(InetAddress.getLoopbackAddress(), port))) {
                        answer = client.ask(Rig.COPY);
                    } catch (IOException e) {
                        answer = null;
                    }
                }
                assertEquals("HD O2 c77", answer);
                process.destroy();
            } finally {
                for (Peer peer : flood) {
                    peer.close();
                }
                assertEquals(0, exit(process));
            }
        }
    }

    /** SIGHUP ends a JVM that has no handler for it, and with it all that was taken. */
    @Test
    void theProgramReadsItsConfigurationAgainOnSighup() throws Exception {
        try (Rig rig = new Rig(FakeHost.serving())) {
            int port = freePort();
            Path config =
                    Files.writeString(
                            folder.resolve("config.json"), rig.config("127.0.0.1:" + port));
            Process process = start(config.toString());
            try {
                BufferedReader log = log(process);
                awaitLine(log, SERVES);
                try (Peer client = new Peer(new Socket(InetAddress.getLoopbackAddress(), port))) {
                    for (String broken : new String[] {"{", "", "{\"listen\":\"127.0.0.1:1\"}"}) {
                        Files.writeString(config, broken);
                        hangUp(process);
                        awaitLine(log, "\"event\":\"settings-refused\"");
                    }
                    rig.discovery = "127.0.0.1:2";
                    Files.writeString(config, rig.config("127.0.0.1:" + port));
                    hangUp(process);
                    hangUp(process);
                    awaitLine(log, "\"event\":\"discovery-moves\"");
                    assertEquals("HD O2 c77", client.ask(Rig.COPY));
                    process.destroy();
                }
            } finally {
                assertEquals(0, exit(process));
            }
        }
    }

    /**
     * Under nohup and some supervisors SIGHUP is ignored, the JVM leaves it so without a word, and
     * replaced configurations were passed over for ever.
     */
    @Test
    void whereSighupIsIgnoredTheFileIsLookedAtInstead() throws Exception {
        try (Rig rig = new Rig(FakeHost.serving())) {
            int port = freePort();
            Path config =
                    Files.writeString(
                            folder.resolve("config.json"), rig.config("127.0.0.1:" + port));
            ProcessBuilder builder =
                    new ProcessBuilder(
                            "sh",
                            "-c",
                            "trap '' HUP; exec \"$0\" \"$@\"",
                            Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                            "-XX:TieredStopAtLevel=1",
                            "-cp",
                            System.getProperty("java.class.path"),
                            "frostrelay.node.Main");
            builder.environment().put("GW_CONFIG", config.toString());
            builder.environment().put("TMPDIR", folder.toString());
            Process process = builder.start();
            try {
                BufferedReader log = log(process);
                awaitLine(log, "\"event\":\"signal-ignored\"");
                Files.writeString(config, "{");
                hangUp(process);
                awaitLine(log, "\"event\":\"settings-refused\"");
                rig.discovery = "127.0.0.1:2";
                Files.writeString(config, rig.config("127.0.0.1:" + port));
                awaitLine(log, "\"event\":\"discovery-moves\"");
                process.destroy();
            } finally {
                assertEquals(0, exit(process));
            }
        }
    }

    /**
     * The new process serves at the same address before the old one ends, and nobody is turned away
     * meanwhile.
     */
    @Test
    void aSecondProcessTakesOverWithoutALoss() throws Exception {
        try (Rig rig = new Rig(FakeHost.serving())) {
            int port = freePort();
            Path config =
                    Files.writeString(
                            folder.resolve("config.json"), rig.config("127.0.0.1:" + port));
            Path shared = Files.createDirectory(folder.resolve("shared"));
            Process old = start(config.toString(), shared);
            try {
                BufferedReader oldLog = log(old);
                awaitLine(oldLog, SERVES);
                Process fresh = start(config.toString(), shared);
                try {
                    awaitLine(log(fresh), SERVES);
                    awaitLine(oldLog, "\"event\":\"sibling-serves\"");
                    old.destroy();
                    while (old.isAlive()) {
                        String answer = askOnce(port);
                        // What the old socket held when it closed is asked again, as clients do.
                        assertEquals("HD O2 c77", answer == null ? askOnce(port) : answer);
                    }
                    assertEquals(0, exit(old));
                    fresh.destroy();
                } finally {
                    assertEquals(0, exit(fresh));
                }
            } finally {
                exit(old);
            }
        }
    }

    private static String askOnce(int port) throws IOException {
        try (Peer client = new Peer(new Socket(InetAddress.getLoopbackAddress(), port))) {
            return client.ask(Rig.COPY);
        }
    }

    private static void hangUp(Process process) throws Exception {
        assertEquals(
                0,
                new ProcessBuilder("kill", "-HUP", Long.toString(process.pid())).start().waitFor());
    }

    private static void awaitLine(BufferedReader log, String text) throws IOException {
        String line = log.readLine();
        while (line != null && !line.contains(text)) {
            line = log.readLine();
        }
        assertTrue(line != null, text);
    }

    @Test
    void withoutConfigurationTheProgramSaysWhyInOneLineAndFails() throws Exception {
        Path broken = Files.writeString(folder.resolve("broken.json"), "{\"listen\":");
        for (String config :
                new String[] {null, folder.resolve("missing.json").toString(), broken.toString()}) {
            Process process = start(config);
            assertEquals(1, log(process).lines().count());
            assertEquals(1, exit(process));
        }
    }

    @Test
    void anAddressThatIsTakenEndsTheProgram() throws Exception {
        try (Rig rig = new Rig();
                ServerSocket taken = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            Path config =
                    Files.writeString(
                            folder.resolve("config.json"),
                            rig.config("127.0.0.1:" + taken.getLocalPort()));
            Process process = start(config.toString());
            assertEquals(
                    1,
                    log(process)
                            .lines()
                            .filter(line -> line.contains("\"event\":\"cannot-start\""))
                            .count());
            assertEquals(1, exit(process));
        }
    }
}
