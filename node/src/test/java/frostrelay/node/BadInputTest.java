package frostrelay.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import frostrelay.node.config.Config;
import frostrelay.node.config.ConfigException;
import frostrelay.node.config.ConfigFile;
import frostrelay.node.config.Json;
import frostrelay.node.memcache.MetaDecoder;
import frostrelay.node.memcache.MetaFrame;
import frostrelay.node.net.MemoryLimiter;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;

import org.junit.jupiter.api.Test;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Semaphore;

/** Input that violates the protocol gets an error response and affects no other request. */
class BadInputTest {
    private static void assertProtocolError(String response, String command) {
        assertTrue(
                response != null
                        && (response.startsWith("CLIENT_ERROR ") || response.equals("ERROR")),
                command + ": " + response);
    }

    @Test
    void malformedCommandsGetAnErrorResponseAndTheConnectionStaysUsable() throws Exception {
        List<String> malformed =
                List.of(
                        "",
                        " ",
                        "mg",
                        "get a",
                        "mg a",
                        "mg a v",
                        "mg a v O1",
                        "mg a v O1 P",
                        "mg a v O1 Pc=read,t=acme",
                        "mg a v Pc=read,t=acme,d=5",
                        "mg a v O Pc=read,t=acme,d=5",
                        "mg a O1 Pc=read,t=acme,d=5",
                        "mg a v O1 Pc=none,t=acme,d=5",
                        "mg a v O1 Pc=read,t=none,d=5",
                        "mg a v O1 Pt=acme,d=5",
                        "mg a v O1 Pc=read,d=5",
                        "mg a v O1 Pc=read,t=acme,d=-1",
                        "mg a v O1 Pc=read,t=acme,d=soon",
                        "mg a v O1 Pc=read,t=acme,d=5,h=x",
                        "mg a v q O1 Pc=read,t=acme,d=5",
                        "mg " + "k".repeat(251) + " v O1 Pc=read,t=acme,d=5",
                        "mg a v O" + "1".repeat(33) + " Pc=read,t=acme,d=5",
                        "mg a v O1 O2 Pc=read,t=acme,d=5",
                        "mg a v O1 Pc=read,t=acme,d=5,d=6",
                        "mg a v O1 Pc=read,t=acme,d=5,,",
                        "mg a v v O1 Pc=read,t=acme,d=5",
                        "mg a v O1 Pc=read,t=acme,d=99999999999999999999",
                        "ms a 1 O1 Pc=none,t=acme,d=5\r\nx",
                        "ms a 1 O1 Pc=put,t=acme,d=5\r\nx");
        try (NodeTestFixture fixture =
                new NodeTestFixture(FakeServer.servingAnyCommand()).start()) {
            for (String command : malformed) {
                try (TestConnection client = fixture.client()) {
                    assertProtocolError(client.request(command), command);
                    assertEquals(
                            "HD O2 c77",
                            client.request(NodeTestFixture.NON_IDEMPOTENT_WRITE),
                            "after " + command);
                }
            }
            assertEquals(
                    malformed.size(),
                    fixture.fakeServers.get(0).commands.size(),
                    "no malformed command was forwarded");
        }
    }

    /**
     * After a framing error the next frame boundary is unknown. The following bytes may be data and
     * must not be served as a request, even if they look like one.
     */
    @Test
    void nothingIsServedAfterAFramingError() throws Exception {
        List<String> framingErrors =
                List.of(
                        "ms",
                        "ms a",
                        "ms a x O1 Pc=copy,t=acme,d=5",
                        "ms a -1 O1 Pc=copy,t=acme,d=5",
                        "ms a 70000 O1 Pc=copy,t=acme,d=5",
                        "ms a 60000000 O1 Pc=copy,t=acme,d=5",
                        "ms a 3000000000 O1 Pc=copy,t=acme,d=5",
                        "ms a 3 O1 Pc=copy,t=acme,d=5000\r\ntoo long",
                        "x".repeat(10_000),
                        "mg \u0001 v O1 Pc=read,t=acme,d=5",
                        "mn\n",
                        "set a 0 0 5");
        try (NodeTestFixture fixture =
                new NodeTestFixture(FakeServer.servingAnyCommand()).start()) {
            for (String command : framingErrors) {
                try (TestConnection client = fixture.client()) {
                    client.write(command + "\r\n" + NodeTestFixture.NON_IDEMPOTENT_WRITE + "\r\n");
                    assertProtocolError(client.readLine(), command);
                    assertNull(client.readLine(), "closed after the response to " + command);
                }
            }
            assertEquals(0, fixture.fakeServers.get(0).commands.size());
        }
    }

    /**
     * Servers identify requests by their ids, so a second request with the id of an open one could
     * be served with the response to the first.
     */
    @Test
    void theIdOfAnOpenRequestIsRejectedForOtherRequests() throws Exception {
        Semaphore gate = new Semaphore(0);
        FakeServer fakeServer =
                FakeServer.respondingWith(
                        command -> {
                            gate.acquireUninterruptibly();
                            return FakeServer.successResponse(command);
                        });
        try (NodeTestFixture fixture = new NodeTestFixture(fakeServer).start();
                TestConnection client = fixture.client();
                TestConnection otherClient = fixture.client()) {
            client.write(NodeTestFixture.NON_IDEMPOTENT_WRITE + "\r\n");
            fakeServer.awaitCommand();
            assertEquals(
                    "CLIENT_ERROR id is in use",
                    otherClient.request(NodeTestFixture.NON_IDEMPOTENT_WRITE));
            assertEquals(
                    "CLIENT_ERROR id is in use",
                    otherClient.request("mg 1 v O2 Pc=read,t=acme,d=5000"));
            gate.release(2);
            assertEquals("HD O2 c77", client.readLine());
            assertEquals(
                    "HD O2 c77",
                    otherClient.request(NodeTestFixture.NON_IDEMPOTENT_WRITE),
                    "the id can be reused after the response");
        }
    }

    /**
     * Without the limit, a request with a timeout of one hour would occupy memory and a timer for
     * one hour.
     */
    @Test
    void aTimeoutIsBoundedByTheDeadlineOfItsClass() throws Exception {
        try (NodeTestFixture fixture = new NodeTestFixture(FakeServer.respondingWith(c -> null))) {
            fixture.deadlineMillis = 200;
            fixture.start();
            try (TestConnection client = fixture.client()) {
                assertEquals(
                        "SERVER_ERROR failed",
                        client.request("ms 1 1 O2 Pc=copy,t=acme,d=3600000\r\nx"));
            }
        }
    }

    /**
     * Connections without a command or with an incomplete one occupy descriptors. Connections that
     * have sent a valid command may be idle for longer.
     */
    @Test
    void clientsThatSendNothingOrAnIncompleteCommandAreClosed() throws Exception {
        try (NodeTestFixture fixture = new NodeTestFixture(FakeServer.servingAnyCommand()).start();
                TestConnection idleClient = fixture.client();
                TestConnection incompleteClient = fixture.client();
                TestConnection goodClient = fixture.client();
                TestConnection laterIncompleteClient = fixture.client()) {
            assertEquals("MN", goodClient.request("mn"));
            assertEquals("MN", laterIncompleteClient.request("mn"));
            incompleteClient.write("ms 1 100 O1 Pc=copy,t=acme,d=5000\r\nhalf");
            laterIncompleteClient.write("mg 1 v O1");
            assertNull(idleClient.readLine());
            assertNull(incompleteClient.readLine());
            assertNull(laterIncompleteClient.readLine());
            fixture.awaitGauges(Map.of("clients", 1, "held", 0));
            assertEquals("MN", goodClient.request("mn"));
        }
    }

    /**
     * A connection that repeats a malformed command is read less often, and is closed after a
     * number of errors.
     */
    @Test
    void aClientThatKeepsSendingMalformedCommandsIsClosed() throws Exception {
        try (NodeTestFixture fixture = new NodeTestFixture(FakeServer.servingAnyCommand()).start();
                TestConnection client = fixture.client()) {
            client.write("nonsense\r\n".repeat(500));
            int responseCount = 0;
            for (String line = client.readLine(); line != null; line = client.readLine()) {
                assertEquals("ERROR", line);
                responseCount++;
            }
            assertTrue(
                    responseCount > 0 && responseCount < 500, "error responses: " + responseCount);
        }
    }

    private static void write(EmbeddedChannel channel, String text) {
        channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
    }

    /**
     * An announced length reserves nothing: many such lines could fill the heap without any data.
     */
    @Test
    void memoryIsReservedOnlyForWhatArrives() throws Exception {
        MemoryLimiter memoryLimiter = new MemoryLimiter(70_000);
        EmbeddedChannel channel = new EmbeddedChannel(MetaDecoder.forCommands(memoryLimiter));
        write(channel, "ms 1 65536 O1\r\n");
        assertEquals(0, memoryLimiter.reservedBytes());
        write(channel, "x".repeat(3_000));
        assertEquals(3_000, memoryLimiter.reservedBytes());
        EmbeddedChannel otherChannel = new EmbeddedChannel(MetaDecoder.forCommands(memoryLimiter));
        write(otherChannel, "ms 1 65536 O1\r\n" + "y".repeat(40_000));
        write(channel, "x".repeat(62_536) + "\r\n");
        MetaFrame frame = channel.readInbound();
        assertEquals("SERVER_ERROR out of memory", frame.errorResponse());
        assertTrue(frame.endsStream());
        write(otherChannel, "y".repeat(25_536) + "\r\n");
        frame = otherChannel.readInbound();
        assertEquals(65_536, frame.data().length);
        otherChannel.finishAndReleaseAll();
        assertEquals(0, memoryLimiter.reservedBytes());
        channel.finishAndReleaseAll();
    }

    @Test
    void commandsMayArriveByteByByte() throws Exception {
        try (NodeTestFixture fixture = new NodeTestFixture(FakeServer.servingAnyCommand()).start();
                TestConnection client = fixture.client()) {
            for (byte b :
                    (NodeTestFixture.IDEMPOTENT_WRITE + "\r\n" + NodeTestFixture.READ + "\r\n")
                            .getBytes(StandardCharsets.US_ASCII)) {
                client.write(new byte[] {b});
                Thread.yield();
            }
            assertEquals("HD O3 c77", client.readLine());
            assertEquals("VA 16 O1", client.readLine());
        }
    }

    @Test
    void quitClosesTheConnectionAfterPendingResponses() throws Exception {
        try (NodeTestFixture fixture = new NodeTestFixture(FakeServer.servingAnyCommand()).start();
                TestConnection client = fixture.client()) {
            assertEquals(
                    "HD O2 c77", client.request(NodeTestFixture.NON_IDEMPOTENT_WRITE + "\r\nquit"));
            assertEquals(null, client.readLine());
        }
    }

    private static void assertInvalidConfig(String json) {
        assertThrows(
                ConfigException.class,
                () -> Config.parse(Json.parse(json.getBytes(StandardCharsets.UTF_8))),
                json);
    }

    @Test
    void invalidConfigurationIsRejected() throws Exception {
        String validConfig;
        try (NodeTestFixture fixture = new NodeTestFixture()) {
            validConfig = fixture.config("127.0.0.1:0");
        }
        Config config = Config.parse(Json.parse(validConfig.getBytes(StandardCharsets.UTF_8)));
        assertEquals(3, config.settings().policySettings.classes().size());
        assertEquals(7, config.initialEndpoints().revision());
        assertEquals(1_000_000_000L, config.settings().policySettings.drainGraceNanos());
        assertInvalidConfig("");
        assertInvalidConfig("[]");
        assertInvalidConfig("{}");
        assertInvalidConfig(validConfig.replace("127.0.0.1:0", "localhost:0"));
        assertInvalidConfig(validConfig.replace("127.0.0.1:0", "127.0.0.1:99999"));
        assertInvalidConfig(validConfig.replace("8c1f30d27a5be964", "no seed"));
        assertInvalidConfig(validConfig.replace("\"settings\"", "\"settings-x\""));
        assertInvalidConfig(validConfig.replace("\"categories\"", "\"categories-x\""));
        assertInvalidConfig(validConfig.replace("\"multiplex\":1", "\"multiplex\":0"));
        assertInvalidConfig(validConfig.replace("0.2", "\"cold\""));
        assertThrows(ConfigException.class, () -> new ConfigFile(null));
        assertThrows(
                ConfigException.class,
                () -> Config.read(new ConfigFile("/nonexistent/config.json")));
    }
}
