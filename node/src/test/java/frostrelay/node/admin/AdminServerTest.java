package frostrelay.node.admin;

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
 * Checks that each call gets one response, and that callers who send nothing, an incomplete call or
 * too much get a 4xx and do not affect others.
 */
class AdminServerTest {
    private static final int READ_TIMEOUT_MILLIS = 20_000;
    private static final long LONG_CALL_TIMEOUT_MILLIS = READ_TIMEOUT_MILLIS;

    /** Operations that record their calls. */
    private final class RecordingOperations implements AdminOperations {
        volatile boolean ready;
        final List<String> calls = new ArrayList<>();

        @Override
        public boolean isReady() {
            return ready;
        }

        @Override
        public byte[] auditStatement() {
            return "{}".getBytes(StandardCharsets.UTF_8);
        }

        @Override
        public byte[] auditRecord() {
            return null;
        }

        @Override
        public Future<Boolean> setOverride(OverrideDecision decision) {
            calls.add(decision.clearsAll() ? "none" : decision.word());
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
        public Future<Boolean> setAdminDrain(String id, boolean isDrained) {
            if (id.equals("broken")) {
                return group.next().newFailedFuture(new IOException("no space left on device"));
            }
            calls.add((isDrained ? "down " : "up ") + id);
            return group.next().newSucceededFuture(id.startsWith("s-"));
        }
    }

    private final RecordingOperations operations = new RecordingOperations();
    private NioEventLoopGroup group;

    @BeforeEach
    void startEventLoop() {
        group = new NioEventLoopGroup(1);
    }

    @AfterEach
    void stopEventLoop() {
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private InetSocketAddress startServer(long callTimeoutMillis) throws Exception {
        EventLoop loop = group.next();
        return (InetSocketAddress)
                new AdminServer(loop, operations, callTimeoutMillis)
                        .listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                        .sync()
                        .channel()
                        .localAddress();
    }

    private static Socket connect(InetSocketAddress address) throws IOException {
        Socket socket = new Socket(address.getAddress(), address.getPort());
        socket.setSoTimeout(READ_TIMEOUT_MILLIS);
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

    private static String requestHead(String method, String path) {
        return method + " " + path + " HTTP/1.1\r\nHost: here\r\n";
    }

    private static void assertStatus(int status, String response) {
        assertTrue(response.startsWith("HTTP/1.1 " + status + " "), response);
        assertTrue(response.contains("connection: close"), response);
    }

    @Test
    void readinessIsReportedOnlyOnceThisProcessIsReady() throws Exception {
        InetSocketAddress adminAddress = startServer(LONG_CALL_TIMEOUT_MILLIS);
        assertStatus(503, call(adminAddress, requestHead("GET", "/ops/readiness") + "\r\n"));
        operations.ready = true;
        assertStatus(200, call(adminAddress, requestHead("GET", "/ops/readiness") + "\r\n"));
        assertStatus(200, call(adminAddress, requestHead("GET", "/ops/readiness?full=1") + "\r\n"));
    }

    @Test
    void aDrainIsStartedAndStopped() throws Exception {
        InetSocketAddress adminAddress = startServer(LONG_CALL_TIMEOUT_MILLIS);
        assertStatus(
                200,
                call(
                        adminAddress,
                        requestHead("POST", "/ops/drain/start") + "Content-Length: 0\r\n\r\n"));
        assertStatus(
                200,
                call(
                        adminAddress,
                        requestHead("POST", "/ops/drain/stop") + "Content-Length: 2\r\n\r\n{}"));
        assertEquals(List.of("start", "stop"), operations.calls);
    }

    private static String adminDrainCall(String action, String body) {
        return requestHead("POST", "/ops/template-caches/" + action)
                + "Content-Length: "
                + body.length()
                + "\r\n\r\n"
                + body;
    }

    @Test
    void serversAreDrainedAndRestored() throws Exception {
        InetSocketAddress adminAddress = startServer(LONG_CALL_TIMEOUT_MILLIS);
        assertStatus(200, call(adminAddress, adminDrainCall("down", "{\"id\":\"s-1\"}")));
        assertStatus(
                200, call(adminAddress, adminDrainCall("up", "{\"id\":\"s-1\",\"by\":\"me\"}")));
        assertStatus(404, call(adminAddress, adminDrainCall("down", "{\"id\":\"nobody\"}")));
        assertEquals(List.of("down s-1", "up s-1", "down nobody"), operations.calls);
        assertStatus(500, call(adminAddress, adminDrainCall("down", "{\"id\":\"broken\"}")));
    }

    @Test
    void aCallWithoutAnIdIsRejected() throws Exception {
        InetSocketAddress adminAddress = startServer(LONG_CALL_TIMEOUT_MILLIS);
        for (String body :
                new String[] {"", "{", "[\"s-1\"]", "null", "{}", "{\"id\":7}", "{\"id\":\"\"}"}) {
            assertStatus(400, call(adminAddress, adminDrainCall("down", body)));
        }
        assertStatus(
                405, call(adminAddress, requestHead("GET", "/ops/template-caches/up") + "\r\n"));
        assertTrue(operations.calls.isEmpty());
    }

    @Test
    void anInvalidCallIsRejected() throws Exception {
        InetSocketAddress adminAddress = startServer(LONG_CALL_TIMEOUT_MILLIS);
        assertStatus(404, call(adminAddress, requestHead("GET", "/ops/nothing") + "\r\n"));
        String wrongMethod = call(adminAddress, requestHead("GET", "/ops/drain/start") + "\r\n");
        assertStatus(405, wrongMethod);
        assertTrue(wrongMethod.contains("allow: POST"), wrongMethod);
        assertStatus(
                405,
                call(
                        adminAddress,
                        requestHead("POST", "/ops/readiness") + "Content-Length: 0\r\n\r\n"));
        assertStatus(400, call(adminAddress, "nonsense\r\n\r\n"));
        assertStatus(
                431,
                call(
                        adminAddress,
                        requestHead("GET", "/ops/readiness")
                                + "X: "
                                + "x".repeat(20_000)
                                + "\r\n\r\n"));
        assertStatus(
                413,
                call(
                        adminAddress,
                        requestHead("POST", "/ops/drain/start")
                                + "Content-Length: 100000\r\n\r\n"
                                + "x".repeat(100_000)));
        assertTrue(operations.calls.isEmpty());
    }

    @Test
    void eachConnectionServesOneCall() throws Exception {
        InetSocketAddress adminAddress = startServer(LONG_CALL_TIMEOUT_MILLIS);
        String response =
                call(
                        adminAddress,
                        (requestHead("POST", "/ops/drain/start") + "Content-Length: 0\r\n\r\n")
                                .repeat(2));
        assertStatus(200, response);
        assertEquals(response.indexOf("HTTP/1.1"), response.lastIndexOf("HTTP/1.1"));
        assertEquals(List.of("start"), operations.calls);
    }

    @Test
    void aCallerMayShutDownItsOutputAfterTheCall() throws Exception {
        InetSocketAddress adminAddress = startServer(LONG_CALL_TIMEOUT_MILLIS);
        operations.ready = true;
        try (Socket socket = connect(adminAddress)) {
            socket.getOutputStream()
                    .write(
                            (requestHead("GET", "/ops/readiness") + "\r\n")
                                    .getBytes(StandardCharsets.UTF_8));
            socket.shutdownOutput();
            assertStatus(200, read(socket));
        }
    }

    @Test
    void idleAndIncompleteCallsAreTimedOut() throws Exception {
        InetSocketAddress adminAddress = startServer(100);
        assertStatus(408, call(adminAddress, ""));
        assertStatus(408, call(adminAddress, "GET /ops/read"));
        assertStatus(
                408,
                call(
                        adminAddress,
                        requestHead("POST", "/ops/drain/start") + "Content-Length: 5\r\n\r\n{"));
        assertTrue(operations.calls.isEmpty());
    }

    @Test
    void manyIdleConnectionsDoNotBlockOtherCallers() throws Exception {
        InetSocketAddress adminAddress = startServer(LONG_CALL_TIMEOUT_MILLIS);
        operations.ready = true;
        List<Socket> idleConnections = new ArrayList<>();
        try {
            for (int i = 0; i < 100; i++) {
                idleConnections.add(connect(adminAddress));
            }
            assertStatus(200, call(adminAddress, requestHead("GET", "/ops/readiness") + "\r\n"));
            assertEquals("", read(idleConnections.get(0)), "the oldest idle connection is closed");
        } finally {
            for (Socket socket : idleConnections) {
                socket.close();
            }
        }
    }
}
