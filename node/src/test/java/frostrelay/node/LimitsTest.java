package frostrelay.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;

/**
 * At the limits on connections and memory requests are rejected; the process goes on and accepted
 * requests are answered.
 */
class LimitsTest {
    private static final int SOCKET_LIMIT = 64;

    /** Of the limit of 64, 48 are left after the reserve: 29 for clients, 15 for servers. */
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
                    null, clientConnections.get(0).readLine(), "idle for longest, closed first");
            assertEquals("MN", clientConnections.get(clientConnections.size() - 1).request("mn"));
            fixture.awaitGauge("clients", CLIENT_LIMIT);
        } finally {
            for (TestConnection connection : clientConnections) {
                connection.close();
            }
        }
    }

    /**
     * Hundreds of connections at once without a command must not evict the idle connections of
     * proven clients.
     */
    @Test
    void manyClientsThatSendNothingDoNotEvictGoodClients() throws Exception {
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
                        "on the connection that it had");
            }
        } finally {
            for (TestConnection connection : clientConnections) {
                connection.close();
            }
        }
    }

    @Test
    void clientsPastTheLimitAreRejectedAndThoseInsideAreNot() throws Exception {
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
            // The others found no free connection: rejected at once, which counts against no
            // server.
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

    /** Far more than one connection may have open are sent at once: all are answered, in order. */
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
                                    // Detected below as a missing response.
                                }
                            });
            writer.start();
            for (int i = 0; i < requests; i++) {
                String value = Integer.toString(i);
                assertEquals("VA " + value.length() + " O" + i, client.readLine());
                assertEquals(value, client.readData(value.length()));
            }
            writer.join();
            // As many as one connection may have open, and those whose response is still being
            // read.
            assertTrue(fixture.fakeServers.get(0).connections.get() <= 2 * 64);
        }
    }

    /**
     * A disconnect is read only behind all bytes that were sent before it. Without reading further
     * than the requests that may be open, that of a client which sent more would be detected only
     * when its first requests are over, and the others would be begun then.
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
                    "seen by its end and not by their deadlines: " + elapsedMillis);
            fixture.awaitGauge("ledger", 0);
            assertTrue(
                    fixture.fakeServers.get(0).commands.size() <= 4,
                    "begun: 60 and " + fixture.fakeServers.get(0).commands.size());
        }
    }

    /**
     * Closing over unread bytes would reset the connection, and lose what the system still buffers
     * of a response that its client reads slowly.
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
            // The client reads nothing before the balancer has closed.
            fixture.awaitGauge("clients", 1);
            fixture.awaitGauge("clients", 0);
            assertEquals("VA 60000 O1", client.readLine());
            assertEquals(value, client.readData(value.length()));
            assertEquals("CLIENT_ERROR bad data chunk", client.readLine());
            assertEquals(null, client.readLine());
        }
    }

    /**
     * A command that crosses the end of the output is not served any more; its client sends it
     * again on another connection.
     */
    @Test
    void inputAfterOutputShutdownIsNotForwarded() throws Exception {
        FakeServer fakeServer = FakeServer.servingAnyCommand();
        try (NodeTestFixture fixture = new NodeTestFixture(fakeServer).start();
                TestConnection client = fixture.client()) {
            assertEquals("HD O2 c77", client.request(NodeTestFixture.NON_IDEMPOTENT_WRITE));
            fixture.loop.submit(fixture.node::startDrain).get();
            assertEquals("HD O2 c77", client.request(NodeTestFixture.NON_IDEMPOTENT_WRITE));
            assertEquals(null, client.readLine(), "closed behind its answer");
            client.write(NodeTestFixture.NON_IDEMPOTENT_WRITE + "\r\n");
            client.disconnect();
            fixture.awaitGauge("clients", 0);
            assertEquals(2, fakeServer.commands.size());
        }
    }

    /**
     * The responses to a client that reads nothing must be bounded; other clients are served
     * meanwhile.
     */
    @Test
    void aClientThatDoesNotReadStopsBeingReadItself() throws Exception {
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
            assertTrue(fakeServer.commands.size() < 400, "read: " + fakeServer.commands.size());
            for (int i = 0; i < 500; i++) {
                assertEquals("VA 60000 Oslow" + i, slowClient.readLine());
                slowClient.readData(60_000);
            }
        }
    }
}
