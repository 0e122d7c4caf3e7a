package frostrelay.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import frostrelay.node.memcache.MetaFrame;

import org.junit.jupiter.api.Test;

import java.util.concurrent.CountDownLatch;

/** Each client request gets exactly one final response. */
class ServingTest {
    private static int timeoutMillis(String command) {
        String parameters = command.substring(command.indexOf(" P") + 2).split(" ")[0];
        for (String parameter : parameters.split(",")) {
            if (parameter.startsWith("d=")) {
                return Integer.parseInt(parameter.substring(2));
            }
        }
        return -1;
    }

    @Test
    void aReadIsServedWithoutTheServersLoadReport() throws Exception {
        try (NodeTestFixture fixture = new NodeTestFixture(FakeServer.servingAnyCommand()).start();
                TestConnection client = fixture.client()) {
            assertEquals("MN", client.request("mn"));
            assertEquals("VA 16 O1", client.request(NodeTestFixture.READ));
            assertEquals("7f3a9c21e0b4d655", client.readData(16));
            String command = fixture.fakeServers.get(0).awaitCommand();
            assertTrue(command.startsWith("mg 7f3a9c21e0b4d655 v O1 Pc=read,t=acme,d="), command);
            assertTrue(
                    timeoutMillis(command) < 5000 && timeoutMillis(command) > 0,
                    "the server is sent the remaining timeout: " + command);
        }
    }

    @Test
    void aWriteIsForwardedWithItsValueAndKeyAndGetsItsReceipt() throws Exception {
        try (NodeTestFixture fixture = new NodeTestFixture(FakeServer.servingAnyCommand()).start();
                TestConnection client = fixture.client()) {
            assertEquals("HD O3 c77", client.request(NodeTestFixture.IDEMPOTENT_WRITE));
            String command = fixture.fakeServers.get(0).awaitCommand();
            assertTrue(command.startsWith("ms 7f3a9c21e0b4d655 5 O3 Pc=put,t=acme,d="), command);
            assertTrue(command.endsWith(",k=5c0f6e1a data=hello"), command);
        }
    }

    @Test
    void pooledConnectionsAreReused() throws Exception {
        try (NodeTestFixture fixture = new NodeTestFixture(FakeServer.servingAnyCommand()).start();
                TestConnection client = fixture.client()) {
            for (int i = 0; i < 5; i++) {
                assertEquals("HD O2 c77", client.request(NodeTestFixture.NON_IDEMPOTENT_WRITE));
            }
            assertEquals(1, fixture.fakeServers.get(0).connections.get());
        }
    }

    @Test
    void responsesAreInTheOrderOfTheCommands() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        FakeServer fakeServer =
                FakeServer.respondingWith(
                        command -> {
                            if (command.contains(" Oslow ")) {
                                NodeTestFixture.await(release);
                            }
                            return FakeServer.valueResponse(command, "x");
                        });
        try (NodeTestFixture fixture = new NodeTestFixture(fakeServer).start();
                TestConnection client = fixture.client()) {
            client.write(
                    "mg 1 v Oslow Pc=read,t=acme,d=9000\r\nnonsense\r\nmg 2 v Oquick Pc=read,t=acme,d=9000\r\n");
            fakeServer.awaitCommand();
            fakeServer.awaitCommand();
            release.countDown();
            assertEquals("VA 1 Oslow", client.readLine());
            client.readData(1);
            assertEquals("ERROR", client.readLine());
            assertEquals("VA 1 Oquick", client.readLine());
        }
    }

    @Test
    void aServerThatRejectsCausesARejection() throws Exception {
        try (NodeTestFixture fixture =
                        new NodeTestFixture(
                                        FakeServer.respondingWith(
                                                c -> "SERVER_ERROR busy Lutil=1.0\r\n"))
                                .start();
                TestConnection client = fixture.client()) {
            assertEquals("SERVER_ERROR busy", client.request(NodeTestFixture.NON_IDEMPOTENT_WRITE));
        }
    }

    @Test
    void aNonIdempotentWriteThatMayHaveRunIsFailedNotRejected() throws Exception {
        FakeServer[] fakeServer = new FakeServer[1];
        fakeServer[0] =
                new FakeServer(
                        connection -> {
                            fakeServer[0].readCommand(connection);
                            connection.reset();
                        });
        try (NodeTestFixture fixture = new NodeTestFixture(fakeServer).start();
                TestConnection client = fixture.client()) {
            assertEquals(
                    "SERVER_ERROR failed", client.request(NodeTestFixture.NON_IDEMPOTENT_WRITE));
            assertEquals(1, fakeServer[0].commands.size(), "not retried");
        }
    }

    @Test
    void aNonIdempotentWriteThatWasNeverSentIsRejected() throws Exception {
        FakeServer stoppedServer = FakeServer.servingAnyCommand();
        try (NodeTestFixture fixture = new NodeTestFixture(stoppedServer)) {
            fixture.start();
            stoppedServer.stopListening();
            try (TestConnection client = fixture.client()) {
                assertEquals(
                        "SERVER_ERROR busy", client.request(NodeTestFixture.NON_IDEMPOTENT_WRITE));
            }
        }
    }

    @Test
    void aReadThatFailsIsRetriedAtAnotherServer() throws Exception {
        FakeServer.ConnectionScript resetAfterCommand =
                connection -> {
                    connection.readLine();
                    connection.reset();
                };
        try (NodeTestFixture fixture =
                        new NodeTestFixture(
                                        new FakeServer(resetAfterCommand),
                                        FakeServer.servingAnyCommand())
                                .start();
                TestConnection client = fixture.client()) {
            for (int i = 0; i < 8; i++) {
                assertEquals(
                        "VA 2 O" + i,
                        client.request("mg 1" + i + " v O" + i + " Pc=read,t=acme,d=5000"));
                client.readData(2);
            }
        }
    }

    @Test
    void anUnresponsiveServersRequestIsAnsweredBeforeTheClientTimesOutWithRetryAfter()
            throws Exception {
        FakeServer fakeServer = FakeServer.respondingWith(c -> null);
        try (NodeTestFixture fixture = new NodeTestFixture(fakeServer).start();
                TestConnection client = fixture.client()) {
            assertEquals(
                    "SERVER_ERROR busy 2000", client.request("mg 1 v O1 Pc=read,t=acme,d=150"));
            assertEquals(
                    "SERVER_ERROR failed", client.request("ms 1 1 O2 Pc=copy,t=acme,d=150\r\nx"));
            assertEquals(
                    "end",
                    fakeServer.awaitClose(),
                    "the connection of an abandoned attempt is closed");
            assertEquals("end", fakeServer.awaitClose());
        }
    }

    @Test
    void aDisconnectOfTheClientEndsItsAttempts() throws Exception {
        FakeServer fakeServer = FakeServer.respondingWith(c -> null);
        try (NodeTestFixture fixture = new NodeTestFixture(fakeServer).start();
                TestConnection client = fixture.client()) {
            client.write(NodeTestFixture.READ + "\r\n");
            fakeServer.awaitCommand();
            client.disconnect();
            assertEquals("end", fakeServer.awaitClose());
        }
    }

    @Test
    void aConnectionClosedByItsServerIsNotReused() throws Exception {
        FakeServer[] fakeServer = new FakeServer[1];
        fakeServer[0] =
                new FakeServer(
                        connection ->
                                connection.write(
                                        FakeServer.successResponse(
                                                fakeServer[0].readCommand(connection))));
        try (NodeTestFixture fixture = new NodeTestFixture(fakeServer).start();
                TestConnection client = fixture.client()) {
            for (int i = 1; i <= 3; i++) {
                assertEquals("HD O2 c77", client.request(NodeTestFixture.NON_IDEMPOTENT_WRITE));
                fixture.awaitGauge("links", 0);
                assertEquals(i, fakeServer[0].connections.get());
            }
        }
    }

    @Test
    void idleConnectionsAreRetiredBeforeTheirServerClosesThem() throws Exception {
        FakeServer fakeServer = FakeServer.servingAnyCommand();
        try (NodeTestFixture fixture = new NodeTestFixture(fakeServer)) {
            fixture.idleTimeoutMillis = 2;
            fixture.start();
            try (TestConnection client = fixture.client()) {
                assertEquals("HD O2 c77", client.request(NodeTestFixture.NON_IDEMPOTENT_WRITE));
                assertEquals("end", fakeServer.awaitClose());
                assertEquals("HD O2 c77", client.request(NodeTestFixture.NON_IDEMPOTENT_WRITE));
            }
        }
    }

    @Test
    void theLongestBufferedValueIsServedCompletely() throws Exception {
        String value = "v".repeat(MetaFrame.MAX_BUFFERED_VALUE_BYTES);
        try (NodeTestFixture fixture =
                        new NodeTestFixture(
                                        FakeServer.respondingWith(
                                                c -> FakeServer.valueResponse(c, value)))
                                .start();
                TestConnection client = fixture.client()) {
            assertEquals("VA 65536 O1", client.request(NodeTestFixture.READ));
            assertEquals(value, client.readData(value.length()));
        }
    }

    @Test
    void requestsOverMaxOpenAreRejected() throws Exception {
        FakeServer fakeServer = FakeServer.respondingWith(c -> null);
        try (NodeTestFixture fixture = new NodeTestFixture(fakeServer)) {
            fixture.maxOpenRequests = 1;
            fixture.start();
            try (TestConnection first = fixture.client();
                    TestConnection second = fixture.client()) {
                first.write(NodeTestFixture.READ + "\r\n");
                fakeServer.awaitCommand();
                assertEquals(
                        "SERVER_ERROR busy", second.request(NodeTestFixture.NON_IDEMPOTENT_WRITE));
            }
        }
    }

    @Test
    void aKeyNeedNotBeHexadecimal() throws Exception {
        try (NodeTestFixture fixture = new NodeTestFixture(FakeServer.servingAnyCommand()).start();
                TestConnection client = fixture.client()) {
            assertEquals("VA 11 O1", client.request("mg member:2026 v O1 Pc=read,t=acme,d=5000"));
            assertEquals("member:2026", client.readData(11));
            assertNull(fixture.fakeServers.get(0).closedConnections.poll());
        }
    }
}
