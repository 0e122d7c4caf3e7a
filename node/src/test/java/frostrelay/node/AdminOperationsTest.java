package frostrelay.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Checks that administrators' operations take effect on clients and cache servers. */
class AdminOperationsTest {
    private static boolean isReady(NodeTestFixture fixture) throws Exception {
        return fixture.loop.submit(fixture.node::isReady).get();
    }

    @Test
    void aDrainReportsNotReadyAndDisconnectsEveryClient() throws Exception {
        try (NodeTestFixture fixture = new NodeTestFixture(FakeServer.servingAnyCommand()).start();
                TestConnection idleClient = fixture.client();
                TestConnection busyClient = fixture.client()) {
            assertEquals("HD O2 c77", idleClient.request(NodeTestFixture.NON_IDEMPOTENT_WRITE));
            assertTrue(isReady(fixture));
            fixture.loop.submit(fixture.node::startDrain).get();
            assertFalse(isReady(fixture));
            assertEquals(
                    "HD O2 c77",
                    busyClient.request(NodeTestFixture.NON_IDEMPOTENT_WRITE),
                    "a request during the drain is still served");
            assertEquals(null, busyClient.readLine(), "the connection is closed after the answer");
            assertEquals(null, idleClient.readLine(), "an idle connection is closed too");
            try (TestConnection clientDuringDrain = fixture.client()) {
                assertEquals("SERVER_ERROR draining", clientDuringDrain.request("mn"));
                assertEquals(null, clientDuringDrain.readLine());
            }
            fixture.loop.submit(fixture.node::stopDrain).get();
            assertTrue(isReady(fixture));
            try (TestConnection clientAfterDrain = fixture.client()) {
                assertEquals("MN", clientAfterDrain.request("mn"));
                assertEquals(
                        "HD O2 c77",
                        clientAfterDrain.request(NodeTestFixture.NON_IDEMPOTENT_WRITE));
                assertEquals(
                        "MN",
                        clientAfterDrain.request("mn"),
                        "connections stay open after the drain");
            }
        }
    }

    @Test
    void aDrainAnswersRequestsInProgress() throws Exception {
        FakeServer[] fakeServer = new FakeServer[1];
        java.util.concurrent.CountDownLatch draining = new java.util.concurrent.CountDownLatch(1);
        fakeServer[0] =
                FakeServer.respondingWith(
                        command -> {
                            try {
                                draining.await();
                            } catch (InterruptedException e) {
                                return null;
                            }
                            return FakeServer.successResponse(command);
                        });
        try (NodeTestFixture fixture = new NodeTestFixture(fakeServer).start();
                TestConnection client = fixture.client()) {
            client.write(NodeTestFixture.NON_IDEMPOTENT_WRITE + "\r\n");
            fakeServer[0].awaitCommand();
            fixture.loop.submit(fixture.node::startDrain).get();
            draining.countDown();
            assertEquals("HD O2 c77", client.readLine());
            assertEquals(null, client.readLine());
        }
    }

    /** Another server receives the requests that the drained one would have received. */
    @Test
    void aDrainedServerIsNotUsedUntilItIsRestored() throws Exception {
        FakeServer[] fakeServers = {FakeServer.servingAnyCommand(), FakeServer.servingAnyCommand()};
        try (NodeTestFixture fixture = new NodeTestFixture(fakeServers).start();
                TestConnection client = fixture.client()) {
            assertFalse(setAdminDrain(fixture, "s-9", true), "no server has this id");
            assertFalse(setAdminDrain(fixture, "s-9", false));
            assertTrue(setAdminDrain(fixture, "s-0", true));
            assertTrue(setAdminDrain(fixture, "s-0", true), "a repeated call succeeds too");
            for (int i = 0; i < 50; i++) {
                assertEquals(
                        "HD O" + i + " c77",
                        client.request("ms " + i + " 1 O" + i + " Pc=copy,t=acme,d=5000\r\nx"));
            }
            assertEquals(0, fakeServers[0].connections.get());
            assertTrue(
                    setAdminDrain(fixture, "s-0", false),
                    "one call ends a drain that two calls requested");
            assertTrue(setAdminDrain(fixture, "s-0", false));
            for (int i = 0; fakeServers[0].connections.get() == 0; i++) {
                client.request("ms " + i + " 1 O" + i + " Pc=copy,t=acme,d=5000\r\nx");
            }
        }
    }

    private static boolean setAdminDrain(NodeTestFixture fixture, String id, boolean isDrained)
            throws Exception {
        return fixture.loop.submit(() -> fixture.node.setAdminDrain(id, isDrained)).get().get();
    }

    @Test
    void operationsAreCalledOverHttp() throws Exception {
        try (NodeTestFixture fixture = new NodeTestFixture(FakeServer.servingAnyCommand())) {
            fixture.adminAddress = "127.0.0.1:" + StopTest.freePort();
            fixture.start();
            java.net.http.HttpClient http = java.net.http.HttpClient.newHttpClient();
            java.net.http.HttpResponse<String> response =
                    http.send(
                            java.net.http.HttpRequest.newBuilder(
                                            java.net.URI.create(
                                                    "http://"
                                                            + fixture.adminAddress
                                                            + "/ops/readiness"))
                                    .build(),
                            java.net.http.HttpResponse.BodyHandlers.ofString());
            assertEquals(200, response.statusCode());
        }
    }
}
