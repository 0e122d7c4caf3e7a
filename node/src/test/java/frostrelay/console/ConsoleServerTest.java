package frostrelay.console;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.Future;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/**
 * Each call gets its one answer; callers who send nothing, half or too much get a 4xx and cost
 * nobody else theirs.
 */
class ConsoleServerTest {
    private static final int LIMIT_MS = 20_000;
    private static final long PATIENT_MS = LIMIT_MS;

    /** A balancer that notes what it is asked. */
    private final class Asked implements Operations {
        volatile boolean ready;
        final List<String> calls = new ArrayList<>();

        @Override
        public boolean ready() {
            return ready;
        }

        @Override
        public byte[] audit() {
            return "{}".getBytes(StandardCharsets.UTF_8);
        }

        @Override
        public byte[] auditRecord() {
            return null;
        }

        @Override
        public Future<Boolean> override(String word, boolean on) {
            calls.add(on ? word : "none");
            return group.next().newSucceededFuture(true);
        }

        @Override
        public void startDrain() {
            calls.add("start");
        }

        @Override
        public void stopDrain() {
            calls.add("stop");
        }

        @Override
        public Future<Boolean> hold(String id, boolean out) {
            if (id.equals("broken")) {
                return group.next().newFailedFuture(new IOException("no room"));
            }
            calls.add((out ? "down " : "up ") + id);
            return group.next().newSucceededFuture(id.startsWith("s-"));
        }
    }

    private final Asked asked = new Asked();
    private NioEventLoopGroup group;

    @BeforeEach
    void begin() {
        group = new NioEventLoopGroup(1);
    }

    @AfterEach
    void end() {
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private InetSocketAddress console(long callMs) throws Exception {
        EventLoop loop = group.next();
        return (InetSocketAddress)
                new ConsoleServer(loop, asked, callMs)
                        .listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                        .sync()
                        .channel()
                        .localAddress();
    }

    private static Socket connect(InetSocketAddress address) throws IOException {
        Socket socket = new Socket(address.getAddress(), address.getPort());
        socket.setSoTimeout(LIMIT_MS);
        return socket;
    }

    private static String read(Socket socket) throws IOException {
        return new BufferedReader(
                        new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1))
                .lines()
                .collect(Collectors.joining("\n"));
    }

    private static String call(InetSocketAddress address, String text) throws IOException {
        try (Socket socket = connect(address)) {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
            return read(socket);
        }
    }

    private static String head(String method, String path) {
        return method + " " + path + " HTTP/1.1\r\nHost: here\r\n";
    }

    private static void assertStatus(int status, String answer) {
        assertTrue(answer.startsWith("HTTP/1.1 " + status + " "), answer);
        assertTrue(answer.contains("connection: close"), answer);
    }

    @Test
    void readinessIsYesOnlyOnceThisProcessIsReady() throws Exception {
        InetSocketAddress console = console(PATIENT_MS);
        assertStatus(503, call(console, head("GET", "/ops/readiness") + "\r\n"));
        asked.ready = true;
        assertStatus(200, call(console, head("GET", "/ops/readiness") + "\r\n"));
        assertStatus(200, call(console, head("GET", "/ops/readiness?full=1") + "\r\n"));
    }

    @Test
    void aDrainIsStartedAndStopped() throws Exception {
        InetSocketAddress console = console(PATIENT_MS);
        assertStatus(
                200, call(console, head("POST", "/ops/drain/start") + "Content-Length: 0\r\n\r\n"));
        assertStatus(
                200,
                call(console, head("POST", "/ops/drain/stop") + "Content-Length: 2\r\n\r\n{}"));
        assertEquals(List.of("start", "stop"), asked.calls);
    }

    private static String holdCall(String which, String body) {
        return head("POST", "/ops/template-caches/" + which)
                + "Content-Length: "
                + body.length()
                + "\r\n\r\n"
                + body;
    }

    @Test
    void serversAreTakenOutAndPutBack() throws Exception {
        InetSocketAddress console = console(PATIENT_MS);
        assertStatus(200, call(console, holdCall("down", "{\"id\":\"s-1\"}")));
        assertStatus(200, call(console, holdCall("up", "{\"id\":\"s-1\",\"by\":\"me\"}")));
        assertStatus(404, call(console, holdCall("down", "{\"id\":\"nobody\"}")));
        assertEquals(List.of("down s-1", "up s-1", "down nobody"), asked.calls);
        assertStatus(500, call(console, holdCall("down", "{\"id\":\"broken\"}")));
    }

    @Test
    void aCallWithoutAnIdIsToldSo() throws Exception {
        InetSocketAddress console = console(PATIENT_MS);
        for (String body :
                new String[] {"", "{", "[\"s-1\"]", "null", "{}", "{\"id\":7}", "{\"id\":\"\"}"}) {
            assertStatus(400, call(console, holdCall("down", body)));
        }
        assertStatus(405, call(console, head("GET", "/ops/template-caches/up") + "\r\n"));
        assertTrue(asked.calls.isEmpty());
    }

    @Test
    void whatIsNoCallIsToldSo() throws Exception {
        InetSocketAddress console = console(PATIENT_MS);
        assertStatus(404, call(console, head("GET", "/ops/nothing") + "\r\n"));
        String wrongMethod = call(console, head("GET", "/ops/drain/start") + "\r\n");
        assertStatus(405, wrongMethod);
        assertTrue(wrongMethod.contains("allow: POST"), wrongMethod);
        assertStatus(
                405, call(console, head("POST", "/ops/readiness") + "Content-Length: 0\r\n\r\n"));
        assertStatus(400, call(console, "nonsense\r\n\r\n"));
        assertStatus(
                431,
                call(
                        console,
                        head("GET", "/ops/readiness") + "X: " + "x".repeat(20_000) + "\r\n\r\n"));
        assertStatus(
                413,
                call(
                        console,
                        head("POST", "/ops/drain/start")
                                + "Content-Length: 100000\r\n\r\n"
                                + "x".repeat(100_000)));
        assertTrue(asked.calls.isEmpty());
    }

    @Test
    void oneCallAConnection() throws Exception {
        InetSocketAddress console = console(PATIENT_MS);
        String answer =
                call(
                        console,
                        (head("POST", "/ops/drain/start") + "Content-Length: 0\r\n\r\n").repeat(2));
        assertStatus(200, answer);
        assertEquals(answer.indexOf("HTTP/1.1"), answer.lastIndexOf("HTTP/1.1"));
        assertEquals(List.of("start"), asked.calls);
    }

    @Test
    void aCallerMayEndItsSendingBehindTheCall() throws Exception {
        InetSocketAddress console = console(PATIENT_MS);
        asked.ready = true;
        try (Socket socket = connect(console)) {
            socket.getOutputStream()
                    .write(
                            (head("GET", "/ops/readiness") + "\r\n")
                                    .getBytes(StandardCharsets.UTF_8));
            socket.shutdownOutput();
            assertStatus(200, read(socket));
        }
    }

    @Test
    void silentAndHalfCallsAreTimedOut() throws Exception {
        InetSocketAddress console = console(100);
        assertStatus(408, call(console, ""));
        assertStatus(408, call(console, "GET /ops/read"));
        assertStatus(
                408,
                call(console, head("POST", "/ops/drain/start") + "Content-Length: 5\r\n\r\n{"));
        assertTrue(asked.calls.isEmpty());
    }

    @Test
    void aCrowdOfSilentCallersKeepsNobodyOut() throws Exception {
        InetSocketAddress console = console(PATIENT_MS);
        asked.ready = true;
        List<Socket> crowd = new ArrayList<>();
        try {
            for (int i = 0; i < 100; i++) {
                crowd.add(connect(console));
            }
            assertStatus(200, call(console, head("GET", "/ops/readiness") + "\r\n"));
            assertEquals("", read(crowd.get(0)), "closed to make room");
        } finally {
            for (Socket socket : crowd) {
                socket.close();
            }
        }
    }
}
