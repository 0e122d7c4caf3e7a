package frostrelay.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;

/**
 * At the limits on connections and memory, requests are rejected, the process keeps running, and
 * accepted requests are answered.
 */
class LimitsTest {
    private static final int SOCKET_LIMIT = 64;

    /**
     * The limit of 64 leaves 48 sockets after the reserve, of which 29 are for clients and 15 for
     * servers.
     */
    private static final int CLIENT_LIMIT = 29;

    private static final int SERVER_CONNECTION_LIMIT = 15;

    @Test
    void idleClientsAreEvictedForNewOnes() throws Exception {
        List<TestConnection> clientConnections = new ArrayList<>();
        try (NodeTestFixture fixture = new NodeTestFixture(FakeServer.servingAnyCommand())) {
            fixture.socketLimit = SOCKET_LIMIT;
            fixture.start();
            for (int i = 0; i < 3 * CLIENT_LIMIT; i++) {
                clientConnections.add(fixture.client());
                assertEquals(
                        "HD O2 c77",
                        clientConnections.get(i).request(NodeTestFixture.NON_IDEMPOTENT_WRITE));
            }
            assertEquals(
                    null,
                    clientConnections.get(0).readLine(),
                    "the connection that was idle for longest is closed first");
            assertEquals("MN", clientConnections.get(clientConnections.size() - 1).request("mn"));
            fixture.awaitGauge("clients", CLIENT_LIMIT);
        } finally {
            for (TestConnection connection : clientConnections) {
                connection.close();
            }
        }
    }

    /**
     * Hundreds of simultaneous connections without a command must not evict the idle connections of
     * clients that have sent valid commands.
     */
    @Test
    void aFloodOfConnectionsWithoutCommandsDoesNotEvictServedClients() throws Exception {
        List<TestConnection> clientConnections = new ArrayList<>();
        try (NodeTestFixture fixture = new NodeTestFixture(FakeServer.servingAnyCommand())) {
            fixture.socketLimit = SOCKET_LIMIT;
            fixture.start();
            for (int i = 0; i < CLIENT_LIMIT / 2; i++) {
                clientConnections.add(fixture.client());
                assertEquals(
                        "HD O2 c77",
                        clientConnections.get(i).request(NodeTestFixture.NON_IDEMPOTENT_WRITE));
            }
            for (int i = 0; i < 5 * CLIENT_LIMIT; i++) {
                clientConnections.add(fixture.client());
            }
            for (int i = 0; i < CLIENT_LIMIT / 2; i++) {
                assertEquals(
                        "HD O2 c77",
                        clientConnections.get(i).request(NodeTestFixture.NON_IDEMPOTENT_WRITE),
                        "on its existing connection");
            }
        } finally {
            for (TestConnection connection : clientConnections) {
                connection.close();
            }
        }
    }

    @Test
    void requestsAboveTheConnectionLimitsAreRejectedAndOthersServed() throws Exception {
        List<TestConnection> clientConnections = new ArrayList<>();
        CountDownLatch release = new CountDownLatch(1);
        FakeServer fakeServer =
                FakeServer.respondingWith(
                        command -> {
                            NodeTestFixture.await(release);
                            return FakeServer.successResponse(command);
                        });
        try (NodeTestFixture fixture = new NodeTestFixture(fakeServer)) {
            fixture.socketLimit = SOCKET_LIMIT;
            fixture.start();
            for (int i = 0; i < CLIENT_LIMIT; i++) {
                TestConnection connection = fixture.client();
                clientConnections.add(connection);
                connection.write(
                        NodeTestFixture.NON_IDEMPOTENT_WRITE.replace("O2", "Oc" + i) + "\r\n");
            }
            for (int i = 0; i < SERVER_CONNECTION_LIMIT; i++) {
                assertTrue(fakeServer.awaitCommand() != null);
            }
            // The other requests found no free connection. They are rejected immediately, which
            // does not count against a server.
            fixture.awaitGauge("open", SERVER_CONNECTION_LIMIT);
            TestConnection lateClient = fixture.client();
            clientConnections.add(lateClient);
            assertEquals(
                    "SERVER_ERROR busy", lateClient.request(NodeTestFixture.NON_IDEMPOTENT_WRITE));
            release.countDown();
            fixture.awaitGauge("open", 0);
            assertEquals("HD O2 c77", lateClient.request(NodeTestFixture.NON_IDEMPOTENT_WRITE));
            int servedCount = 0;
            for (int i = 0; i < CLIENT_LIMIT; i++) {
                String response = clientConnections.get(i).readLine();
                servedCount += response != null && response.equals("HD Oc" + i + " c77") ? 1 : 0;
            }
            assertEquals(SERVER_CONNECTION_LIMIT, servedCount);
        } finally {
            for (TestConnection connection : clientConnections) {
                connection.close();
            }
        }
    }

    /**
     * A client may pipeline more requests than one connection may have open. All are answered in
     * order.
     */
    @Test
    void pipelinedRequestsAreBoundedAndAllAnswered() throws Exception {
        int requests = 2_000;
        String commands = NodeTestFixture.pipelinedReads(requests, "");
        try (NodeTestFixture fixture = new NodeTestFixture(FakeServer.servingAnyCommand()).start();
                TestConnection client = fixture.client()) {
            Thread writer =
                    new Thread(
                            () -> {
                                try {
                                    client.write(commands);
                                } catch (java.io.IOException e) {
                                    // A failed write is detected below as a missing response.
                                }
                            });
            writer.start();
            for (int i = 0; i < requests; i++) {
                String value = Integer.toString(i);
                assertEquals("VA " + value.length() + " O" + i, client.readLine());
                assertEquals(value, client.readData(value.length()));
            }
            writer.join();
            // The limit on open requests of one client connection is 64. As many server connections
            // may still be reading a response.
            assertTrue(fixture.fakeServers.get(0).connections.get() <= 2 * 64);
        }
    }

    /**
     * A disconnect can be read only after all bytes that were sent before it. If the balancer read
     * only the requests that may be open, the disconnect of a client that sent more would be
     * detected only after its first requests, and further requests would be started.
     */
    @Test
    void theDisconnectOfAClientThatPipelinedMoreThanTheLimitIsDetected() throws Exception {
        int requests = 1_000;
        String commands = NodeTestFixture.pipelinedReads(requests, "");
        try (NodeTestFixture fixture =
                new NodeTestFixture(FakeServer.respondingWith(command -> null)).start()) {
            long startNanos;
            try (TestConnection client = fixture.client()) {
                client.write(commands);
                for (int i = 0; i < 60; i++) {
                    assertTrue(fixture.fakeServers.get(0).awaitCommand() != null);
                }
                startNanos = System.nanoTime();
            }
            fixture.awaitGauges(Map.of("open", 0, "clients", 0));
            long elapsedMillis = (System.nanoTime() - startNanos) / 1_000_000;
            assertTrue(
                    elapsedMillis < 3_000,
                    "disconnect detected before the requests' deadlines, in ms: " + elapsedMillis);
            fixture.awaitGauge("ledger", 0);
            assertTrue(
                    fixture.fakeServers.get(0).commands.size() <= 4,
                    "commands sent to the server after the first 60: "
                            + fixture.fakeServers.get(0).commands.size());
        }
    }

    /**
     * Closing a connection with unread bytes would reset it. A client that reads slowly would then
     * lose the part of its response that the operating system still buffers.
     */
    @Test
    void aClientThatSendsOnAfterAProtocolErrorGetsCompleteResponses() throws Exception {
        String value = "v".repeat(60_000);
        try (NodeTestFixture fixture =
                        new NodeTestFixture(
                                        FakeServer.respondingWith(
                                                c -> FakeServer.valueResponse(c, value)))
                                .start();
                TestConnection client = fixture.slowClient()) {
            client.write(NodeTestFixture.READ + "\r\nms k x\r\n" + "y".repeat(150_000));
            // The client reads nothing before the balancer has closed the connection.
            fixture.awaitGauge("clients", 1);
            fixture.awaitGauge("clients", 0);
            assertEquals("VA 60000 O1", client.readLine());
            assertEquals(value, client.readData(value.length()));
            assertEquals("CLIENT_ERROR bad data chunk", client.readLine());
            assertEquals(null, client.readLine());
        }
    }

    /**
     * A command that arrives after the output shutdown is not served. The client must resend it on
     * another connection.
     */
    @Test
    void inputAfterOutputShutdownIsNotForwarded() throws Exception {
        FakeServer fakeServer = FakeServer.servingAnyCommand();
        try (NodeTestFixture fixture = new NodeTestFixture(fakeServer).start();
                TestConnection client = fixture.client()) {
            assertEquals("HD O2 c77", client.request(NodeTestFixture.NON_IDEMPOTENT_WRITE));
            fixture.loop.submit(fixture.node::startDrain).get();
            assertEquals("HD O2 c77", client.request(NodeTestFixture.NON_IDEMPOTENT_WRITE));
            assertEquals(null, client.readLine(), "closed after the response");
            client.write(NodeTestFixture.NON_IDEMPOTENT_WRITE + "\r\n");
            client.disconnect();
            fixture.awaitGauge("clients", 0);
            assertEquals(2, fakeServer.commands.size());
        }
    }

    /**
     * The memory for responses to a client that does not read them must be bounded, and other
     * clients must still be served.
     */
    @Test
    void commandsOfAClientThatDoesNotReadResponsesAreNotRead() throws Exception {
        String value = "v".repeat(60_000);
        FakeServer fakeServer = FakeServer.respondingWith(c -> FakeServer.valueResponse(c, value));
        try (NodeTestFixture fixture = new NodeTestFixture(fakeServer).start();
                TestConnection slowClient = fixture.slowClient();
                TestConnection client = fixture.client()) {
            for (int i = 0; i < 500; i++) {
                slowClient.write("mg 1 v Oslow" + i + " Pc=read,t=acme,d=9000\r\n");
            }
            for (int i = 0; i < 20; i++) {
                assertEquals("VA 60000 O1", client.request(NodeTestFixture.READ));
                assertEquals(value, client.readData(value.length()));
            }
            assertTrue(
                    fakeServer.commands.size() < 400,
                    "commands sent to the server: " + fakeServer.commands.size());
            for (int i = 0; i < 500; i++) {
                assertEquals("VA 60000 Oslow" + i, slowClient.readLine());
                slowClient.readData(60_000);
            }
        }
    }
}
