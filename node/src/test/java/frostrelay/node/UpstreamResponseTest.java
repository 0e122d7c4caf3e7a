package frostrelay.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import frostrelay.node.config.DeploymentSettings;

import org.junit.jupiter.api.Test;

import java.util.Map;
import java.util.concurrent.Semaphore;

/** Tests of responses of cache servers that are invalid, repeated, or followed by other bytes. */
class UpstreamResponseTest {
    @Test
    void anInvalidServerResponseEndsThatAttemptOnly() throws Exception {
        String[] invalidResponses = {
            "VA 1 Oother\r\nx\r\n",
            "HD O1 c9\r\n",
            "VA x O1\r\n",
            "nonsense\r\n",
            "\r\n",
            "VA 99999999 O1\r\n",
            "VA 3000000000 O1\r\nxxx",
            "VA 1 O1\r\nlonger than one\r\n",
            "MN\r\n",
            "a".repeat(5000)
        };
        int[] index = new int[1];
        try (NodeTestFixture fixture =
                        new NodeTestFixture(
                                        FakeServer.respondingWith(c -> invalidResponses[index[0]]))
                                .start();
                TestConnection client = fixture.client()) {
            for (index[0] = 0; index[0] < invalidResponses.length; index[0]++) {
                assertEquals(
                        "SERVER_ERROR busy",
                        client.request(NodeTestFixture.READ),
                        invalidResponses[index[0]]);
            }
            index[0] = 1;
            assertEquals(
                    "SERVER_ERROR failed",
                    client.request(NodeTestFixture.NON_IDEMPOTENT_WRITE),
                    "the write may have run");
        }
    }

    /**
     * A valid response that is followed by more bytes is served, and its connection is closed. The
     * further bytes must not be taken for the response to the next request, whether they form a
     * complete response or a part of one.
     */
    @Test
    void bytesAfterAValidResponseAffectNoOtherRequest() throws Exception {
        String[] trailingBytes = {"HD O9 c9\r\n", "noise\r\n", "no end", "\r", "VA 9 O1\r\nhalf"};
        int[] index = new int[1];
        FakeServer fakeServer =
                FakeServer.respondingWith(
                        c -> FakeServer.successResponse(c) + trailingBytes[index[0]]);
        try (NodeTestFixture fixture = new NodeTestFixture(fakeServer).start();
                TestConnection client = fixture.client()) {
            for (index[0] = 0; index[0] < trailingBytes.length; index[0]++) {
                assertEquals(
                        "HD O2 c77",
                        client.request(NodeTestFixture.NON_IDEMPOTENT_WRITE),
                        trailingBytes[index[0]]);
                assertEquals(
                        "end", fakeServer.awaitClose(), "closed after " + trailingBytes[index[0]]);
            }
            assertEquals(trailingBytes.length, fakeServer.connections.get());
        }
    }

    /**
     * A duplicate response may arrive a few milliseconds late, after the next command has been
     * sent. It must not fail that command, which might be a write that cannot be retried.
     */
    @Test
    void aDuplicateResponseAfterTheNextCommandDoesNotFailIt() throws Exception {
        FakeServer[] fakeServer = new FakeServer[1];
        fakeServer[0] =
                new FakeServer(
                        connection -> {
                            String previousResponse = "";
                            for (String command = fakeServer[0].readCommand(connection);
                                    command != null;
                                    command = fakeServer[0].readCommand(connection)) {
                                String response = FakeServer.successResponse(command);
                                connection.write(previousResponse + response);
                                previousResponse = response;
                            }
                        });
        try (NodeTestFixture fixture = new NodeTestFixture(fakeServer).start();
                TestConnection client = fixture.client()) {
            for (int i = 0; i < 5; i++) {
                assertEquals(
                        "HD Ow" + i + " c77",
                        client.request(
                                NodeTestFixture.NON_IDEMPOTENT_WRITE.replace("O2", "Ow" + i)));
                assertEquals(
                        "VA 16 Or" + i,
                        client.request(NodeTestFixture.READ.replace("O1", "Or" + i)));
                assertEquals("7f3a9c21e0b4d655", client.readData(16));
            }
            assertEquals(1, fakeServer[0].connections.get());
        }
    }

    /**
     * A byte that does not complete a line also retires the idle connection before its next use.
     */
    @Test
    void anyByteOnAnIdleConnectionClosesIt() throws Exception {
        FakeServer[] fakeServer = new FakeServer[1];
        Semaphore gate = new Semaphore(0);
        fakeServer[0] =
                new FakeServer(
                        connection -> {
                            connection.write(
                                    FakeServer.successResponse(
                                            fakeServer[0].readCommand(connection)));
                            gate.acquireUninterruptibly();
                            connection.write("x");
                            connection.awaitClose();
                            fakeServer[0].closedConnections.add("end");
                        });
        try (NodeTestFixture fixture = new NodeTestFixture(fakeServer).start();
                TestConnection client = fixture.client()) {
            assertEquals("HD O2 c77", client.request(NodeTestFixture.NON_IDEMPOTENT_WRITE));
            fixture.awaitGauges(Map.of("links", 1, "idle", 1));
            gate.release();
            assertEquals("end", fakeServer[0].awaitClose());
            fixture.awaitGauges(Map.of("links", 0, "idle", 0));
        }
    }

    /**
     * A load report that cannot be parsed, or is not a usable number, is dropped; the response is
     * served.
     */
    @Test
    void invalidLoadReportsAreDropped() throws Exception {
        try (NodeTestFixture fixture = new NodeTestFixture()) {
            DeploymentSettings settings = fixture.deploymentSettings();
            for (String malformed :
                    new String[] {
                        "util=NaN", "util=Infinity", "util=-1e99", "util=", "util", "=", "", "x=1"
                    }) {
                assertEquals(0, settings.parseReport(malformed).length, malformed);
            }
            assertEquals(0.5f, settings.parseReport("util=0.5")[0]);
        }
        FakeServer fakeServer =
                FakeServer.respondingWith(
                        c -> "HD " + FakeServer.opaque(c) + " c77 Lutil=oops,=,\r\n");
        try (NodeTestFixture fixture = new NodeTestFixture(fakeServer).start();
                TestConnection client = fixture.client()) {
            assertEquals("HD O2 c77", client.request(NodeTestFixture.NON_IDEMPOTENT_WRITE));
        }
    }
}
