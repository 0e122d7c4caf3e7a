package frostrelay.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import frostrelay.policy.Api;

import io.netty.util.concurrent.Future;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;

/**
 * Nothing is accepted, begun, sent again or promised for longer than its client, its server or this
 * process has left.
 */
class LateWorkTest {
    private static final String COPY_HEAD = "ms 7f3a9c21e0b4d655 5 O";
    @TempDir Path folder;

    private static String copy(String id, int waitMs) {
        return COPY_HEAD + id + " Pc=copy,t=acme,d=" + waitMs + "\r\nhello\r\n";
    }

    private static Future<Void> stop(Rig rig) throws Exception {
        return rig.loop.submit(() -> rig.node.stop(false, Clock.now())).get();
    }

    private static long msSince(long start) {
        return (System.nanoTime() - start) / Clock.MILLISECOND;
    }

    // Shutdown.

    /**
     * The longest deadline counts as 3 s at most: a client that would wait for 9 s has its answer
     * before the kill all the same.
     */
    @Test
    void whatWasOpenBeforeAShutdownIsAnsweredBeforeTheKillHoweverLongItsClientWaits()
            throws Exception {
        try (Rig rig = new Rig(FakeHost.answering(command -> null)).start();
                Peer client = rig.client()) {
            client.write(copy("long", 9_000));
            assertTrue(rig.hosts.get(0).command() != null);
            long begun = System.nanoTime();
            Future<Void> stopped = stop(rig);
            assertEquals("SERVER_ERROR failed", client.line(), "it may have run");
            assertTrue(msSince(begun) < 3_700, "in " + msSince(begun) + " ms");
            client.leave();
            assertTrue(stopped.await(Peer.LIMIT_MS));
            assertTrue(msSince(begun) < 3_700, "and then the process is done");
        }
    }

    @Test
    void aRequestThatHadComeInPartBeforeAShutdownIsRefusedOnceItIsWhole() throws Exception {
        try (Rig rig = new Rig(FakeHost.serving()).start();
                Peer client = rig.client()) {
            assertEquals("HD O2 c77", client.ask(Rig.COPY));
            rig.hosts.get(0).command();
            client.write(COPY_HEAD);
            ServingTest.awaitGauge(rig, "clients 1 open 0");
            Thread.sleep(50);
            stop(rig);
            Thread.sleep(1_500);
            client.write("slow Pc=copy,t=acme,d=9000\r\nhello\r\n");
            assertEquals("SERVER_ERROR busy", client.line());
            assertNull(client.line());
            assertEquals(0, rig.hosts.get(0).commands.size());
        }
    }

    /**
     * The listening socket was closed before there was one: the shutdown ended in an exception, and
     * the process never.
     */
    @Test
    void aProcessThatIsAskedToEndBeforeItServesEnds() throws Exception {
        try (ServerSocket silent = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
                Rig rig = new Rig(FakeHost.serving())) {
            rig.pushed = true;
            rig.discovery = "127.0.0.1:" + silent.getLocalPort();
            Path config =
                    Files.writeString(
                            folder.resolve("config.json"),
                            rig.config("127.0.0.1:" + StopTest.freePort()));
            Process process = StopTest.start(config.toString(), folder);
            try {
                silent.setSoTimeout(Peer.LIMIT_MS);
                silent.accept();
                process.destroy();
                assertTrue(process.waitFor(3_700, TimeUnit.MILLISECONDS), "before SIGKILL");
                assertEquals(0, process.exitValue());
            } finally {
                process.destroyForcibly();
            }
        }
    }

    /**
     * A shutdown during a drain goes by its own schedule, and the end of the drain changes nothing
     * any more.
     */
    @Test
    void aShutdownIsNotEndedByTheEndOfADrain() throws Exception {
        try (Rig rig = new Rig(FakeHost.serving()).start();
                Peer client = rig.client()) {
            assertEquals("HD O2 c77", client.ask(Rig.COPY));
            rig.loop.submit(rig.node::startDrain).get();
            Future<Void> stopped = stop(rig);
            rig.loop.submit(rig.node::stopDrain).get();
            assertFalse(rig.node.ready());
            assertTrue(stopped.await(3_700));
        }
    }

    /** A class that a new configuration does not name any more is none of its longest deadlines. */
    @Test
    void theKillIsExpectedByTheDeadlinesOfTheClassesThatAreNamed() throws Exception {
        try (Rig rig = new Rig()) {
            rig.deadlineMs = 1_000;
            Object before =
                    Json.parse(
                            rig.settings()
                                    .replaceFirst(
                                            "\"deadline-ns\":1000000000",
                                            "\"deadline-ns\":2500000000")
                                    .getBytes());
            Site site = new Site(Json.object(before));
            assertEquals(2_500 * Clock.MILLISECOND, site.longestDeadline());
            Object after =
                    Json.parse(
                            rig.settings()
                                    .replaceFirst("\\{\"name\":\"read\"[^}]*},", "")
                                    .getBytes());
            assertEquals(
                    1_000 * Clock.MILLISECOND,
                    site.succeed(Json.object(after), Clock.now()).longestDeadline());
        }
    }

    // What stands in line.

    /**
     * A client's wait runs while its command stands in line: the server was told all of it, however
     * late its turn came.
     */
    @Test
    void timeInLineIsTakenOffWhatAServerIsTold() throws Exception {
        CountDownLatch gate = new CountDownLatch(1);
        FakeHost host =
                FakeHost.answering(
                        command -> {
                            await(gate);
                            return FakeHost.served(command);
                        });
        try (Rig rig = new Rig(host).start();
                Peer client = rig.client()) {
            client.write(reads(65));
            for (int i = 0; i < 64; i++) {
                assertTrue(host.command() != null);
            }
            Thread.sleep(800);
            gate.countDown();
            String last = host.command();
            assertTrue(last.contains(" O64 "), last);
            int told = Integer.parseInt(last.replaceAll(".*d=", ""));
            assertTrue(told <= 9_000 - 800 + 150, "told " + told);
        }
    }

    /**
     * Held up for as long as it may be between its clock and the write, it has still told no more
     * than the terms allow.
     */
    @Test
    void aServerIsToldLessThanItsClientWaits() throws Exception {
        try (Rig rig = new Rig(FakeHost.serving()).start();
                Peer client = rig.client()) {
            assertEquals("HD Oa c77", client.ask(copy("a", 4_000).stripTrailing()));
            int told =
                    Integer.parseInt(rig.hosts.get(0).command().replaceAll(".*d=(\\d+).*", "$1"));
            assertTrue(told <= 3_940 && told > 3_000, "told " + told);
        }
    }

    private static String reads(int count) {
        StringBuilder commands = new StringBuilder();
        for (int i = 0; i < count; i++) {
            commands.append("mg ")
                    .append(i)
                    .append(" v O")
                    .append(i)
                    .append(" Pc=read,t=acme,d=9000\r\n");
        }
        return commands.toString();
    }

    private static void await(CountDownLatch gate) {
        try {
            gate.await(Peer.LIMIT_MS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * A connection on which more waits than is read ahead does not show its end: its commands are
     * not begun long after that.
     */
    @Test
    void whatAClientLeftBehindMoreThanIsReadAheadIsNotBegun() throws Exception {
        List<Long> begunAt = new ArrayList<>();
        FakeHost host =
                FakeHost.answering(
                        command -> {
                            synchronized (begunAt) {
                                begunAt.add(System.nanoTime());
                            }
                            pause(400);
                            return FakeHost.served(command);
                        });
        try (Rig rig = new Rig(host).start();
                Peer first = rig.client()) {
            // Brings up connections, and a program that has run before.
            first.write(reads(64));
            for (int i = 0; i < 64; i++) {
                first.line();
                first.line();
            }
            begunAt.clear();
            String commands = reads(8_000);
            long left;
            try (Peer client = rig.client()) {
                client.write(commands);
                left = System.nanoTime();
            }
            ServingTest.awaitGauge(rig, "open 0 clients 1");
            synchronized (begunAt) {
                long late =
                        begunAt.stream().filter(at -> at - left > 100 * Clock.MILLISECOND).count();
                assertEquals(0, late, "of " + begunAt.size() + " begun");
            }
        }
    }

    // Sends and repeats.

    /** Sends the first request once more as soon as it is told of, whatever its class. */
    private static final class Repeating extends Scripted {
        private long server;

        Repeating(Api.Actions actions) {
            super(actions);
        }

        @Override
        public void onList(long now, Api.ListMode mode, List<Api.Server> servers) {
            server = servers.isEmpty() ? server : servers.get(0).id();
        }

        @Override
        public void onRequest(long now, Api.Request request) {
            actions.send(request.id(), server, request.deadline());
            actions.wakeAt(now + 700 * Clock.MILLISECOND, (int) request.id());
        }

        @Override
        public void onTimer(long now, int token) {
            actions.send(token, server, 0);
        }
    }

    private static int sends(String command, UnaryOperator<String> settings) throws Exception {
        FakeHost host = FakeHost.answering(c -> null);
        try (Rig rig = new Rig(host)) {
            rig.module = (parsed, seed, actions) -> new Repeating(actions);
            rig.rewrite = settings;
            rig.start();
            try (Peer client = rig.client()) {
                client.write(command);
                assertTrue(host.command() != null);
                Thread.sleep(1_000);
                return 1 + host.commands.size();
            }
        }
    }

    /**
     * The last one to decide, right at the write, whatever the module says: a second run has a
     * second effect.
     */
    @Test
    void whatMayHaveRunIsNotWrittenAgainIfThatCouldDoHarm() throws Exception {
        assertEquals(1, sends(copy("u", 9_000), UnaryOperator.identity()), "never twice");
        String keyed = Rig.PUT + "\r\n";
        assertEquals(2, sends(keyed, UnaryOperator.identity()), "within its window");
        assertEquals(
                1,
                sends(
                        keyed,
                        text ->
                                text.replace(
                                        "\"window-ns\":5000000000", "\"window-ns\":800000000")),
                "its window ends before a process that is held up has written it");
    }

    /**
     * A process that stood still finds connections idle for longer than their hosts keep them: a
     * write there might be lost.
     */
    @Test
    void connectionsThatWereIdleForTooLongAreNotUsedBehindAPause() throws Exception {
        try (Rig rig = new Rig(FakeHost.serving())) {
            rig.idleMs = 1_000;
            rig.start();
            try (Peer client = rig.client()) {
                assertEquals("HD O2 c77", client.ask(Rig.COPY));
                BlockingQueue<String> paused = new LinkedBlockingQueue<>();
                rig.loop.execute(
                        () -> {
                            paused.add("now");
                            pause(900);
                        });
                paused.take();
                assertEquals("HD O2 c77", client.ask(Rig.COPY));
                assertEquals(2, rig.hosts.get(0).connections.get());
            }
        }
    }

    private static void pause(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
