package frostrelay.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import frostrelay.node.memcache.MetaFrame;
import frostrelay.node.net.MemoryAccount;
import frostrelay.node.net.MemoryLimiter;
import frostrelay.node.proxy.ValueStream;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;

/**
 * Long values are streamed completely at the speed of the slower end. A value that cannot be
 * completed is detectable as truncated.
 */
class LongValuesTest {
    private static final int MAX_VALUE_BYTES = MetaFrame.MAX_VALUE_BYTES;

    private static String sampleText(int length) {
        StringBuilder text = new StringBuilder(length);
        while (text.length() < length) {
            text.append(text.length()).append(' ');
        }
        return text.substring(0, length);
    }

    @Test
    void theLongestValueIsCompleteAndItsConnectionsAreReused() throws Exception {
        String value = sampleText(MAX_VALUE_BYTES);
        FakeServer fakeServer =
                FakeServer.respondingWith(command -> FakeServer.valueResponse(command, value));
        try (NodeTestFixture fixture = new NodeTestFixture(fakeServer).start();
                TestConnection client = fixture.slowClient()) {
            for (int i = 0; i < 3; i++) {
                assertEquals("VA " + MAX_VALUE_BYTES + " O1", client.request(NodeTestFixture.READ));
                assertEquals(value, client.readData(MAX_VALUE_BYTES));
            }
            assertEquals(1, fakeServer.connections.get());
            fixture.awaitGauge("open", 0);
        }
    }

    @Test
    void aValueMayArriveInChunksOfAnySize() throws Exception {
        String value = sampleText(MetaFrame.MAX_BUFFERED_VALUE_BYTES + 1);
        FakeServer[] fakeServer = new FakeServer[1];
        fakeServer[0] =
                new FakeServer(
                        connection -> {
                            String completeResponse =
                                    FakeServer.valueResponse(
                                            fakeServer[0].readCommand(connection), value);
                            for (int at = 0, size = 1;
                                    at < completeResponse.length();
                                    at += size, size = size * 3 % 9973 + 1) {
                                connection.write(
                                        completeResponse.substring(
                                                at,
                                                Math.min(completeResponse.length(), at + size)));
                            }
                            fakeServer[0].readCommand(connection);
                        });
        try (NodeTestFixture fixture = new NodeTestFixture(fakeServer).start();
                TestConnection client = fixture.client()) {
            assertEquals("VA " + value.length() + " O1", client.request(NodeTestFixture.READ));
            assertEquals(value, client.readData(value.length()));
        }
    }

    /** The first bytes are forwarded before the last ones have arrived. */
    @Test
    void receivedDataIsForwardedAtOnce() throws Exception {
        CountDownLatch firstPartReceived = new CountDownLatch(1);
        String value = sampleText(MAX_VALUE_BYTES);
        FakeServer[] fakeServer = new FakeServer[1];
        fakeServer[0] =
                new FakeServer(
                        connection -> {
                            String completeResponse =
                                    FakeServer.valueResponse(
                                            fakeServer[0].readCommand(connection), value);
                            connection.write(completeResponse.substring(0, 100_000));
                            NodeTestFixture.await(firstPartReceived);
                            connection.write(completeResponse.substring(100_000));
                            fakeServer[0].readCommand(connection);
                        });
        try (NodeTestFixture fixture = new NodeTestFixture(fakeServer).start();
                TestConnection client = fixture.client()) {
            assertEquals("VA " + MAX_VALUE_BYTES + " O1", client.request(NodeTestFixture.READ));
            firstPartReceived.countDown();
            assertEquals(value, client.readData(MAX_VALUE_BYTES));
        }
    }

    @Test
    void aTruncatedValueClosesTheClientsConnection() throws Exception {
        String value = sampleText(MAX_VALUE_BYTES);
        FakeServer[] fakeServer = new FakeServer[1];
        fakeServer[0] =
                new FakeServer(
                        connection ->
                                connection.write(
                                        FakeServer.valueResponse(
                                                        fakeServer[0].readCommand(connection),
                                                        value)
                                                .substring(0, 200_000)));
        try (NodeTestFixture fixture = new NodeTestFixture(fakeServer).start();
                TestConnection client = fixture.client()) {
            assertEquals("VA " + MAX_VALUE_BYTES + " O1", client.request(NodeTestFixture.READ));
            assertTrue(
                    client.readData(MAX_VALUE_BYTES).length() < MAX_VALUE_BYTES,
                    "the client can detect the truncation");
        }
    }

    @Test
    void aValueWithoutItsTerminatorClosesTheClientsConnection() throws Exception {
        String value = sampleText(MAX_VALUE_BYTES);
        FakeServer fakeServer =
                FakeServer.respondingWith(
                        command -> {
                            String completeResponse = FakeServer.valueResponse(command, value);
                            return completeResponse.substring(0, completeResponse.length() - 2)
                                    + "xx";
                        });
        try (NodeTestFixture fixture = new NodeTestFixture(fakeServer).start();
                TestConnection client = fixture.client()) {
            assertEquals("VA " + MAX_VALUE_BYTES + " O1", client.request(NodeTestFixture.READ));
            client.readData(MAX_VALUE_BYTES);
            assertEquals(
                    null,
                    client.readLine(),
                    "the connection closes instead of ending the data block");
        }
    }

    @Test
    void aValueAboveTheLimitFailsTheAttempt() throws Exception {
        FakeServer fakeServer =
                FakeServer.respondingWith(
                        command ->
                                "VA "
                                        + (MAX_VALUE_BYTES + 1)
                                        + " "
                                        + FakeServer.opaque(command)
                                        + "\r\nx");
        try (NodeTestFixture fixture = new NodeTestFixture(fakeServer).start();
                TestConnection client = fixture.client()) {
            assertTrue(client.request(NodeTestFixture.READ).startsWith("SERVER_ERROR"));
            assertEquals("MN", client.request("mn"));
        }
    }

    /**
     * A value whose response is ready before an earlier one is read from its server only after the
     * earlier response has been written.
     */
    @Test
    void aValueWaitsForEarlierResponses() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        String value = sampleText(MAX_VALUE_BYTES);
        FakeServer[] fakeServer = new FakeServer[1];
        fakeServer[0] =
                new FakeServer(
                        connection -> {
                            String command = fakeServer[0].readCommand(connection);
                            if (command.contains(" O2 ")) {
                                NodeTestFixture.await(release);
                                connection.write(FakeServer.successResponse(command));
                            } else {
                                connection.write(FakeServer.valueResponse(command, value));
                            }
                            fakeServer[0].readCommand(connection);
                        });
        try (NodeTestFixture fixture = new NodeTestFixture(fakeServer).start();
                TestConnection client = fixture.client()) {
            client.write(NodeTestFixture.NON_IDEMPOTENT_WRITE + "\r\n");
            fakeServer[0].awaitCommand();
            client.write(NodeTestFixture.READ + "\r\n");
            fakeServer[0].awaitCommand();
            fixture.awaitGauge("open", 1);
            release.countDown();
            assertEquals("HD O2 c77", client.readLine());
            assertEquals("VA " + MAX_VALUE_BYTES + " O1", client.readLine());
            assertEquals(value, client.readData(MAX_VALUE_BYTES));
            assertEquals("MN", client.request("mn"));
        }
    }

    @Test
    void aClientThatDisconnectsEndsTheServersTransfer() throws Exception {
        String value = sampleText(MAX_VALUE_BYTES);
        CountDownLatch transferEnded = new CountDownLatch(1);
        FakeServer[] fakeServer = new FakeServer[1];
        fakeServer[0] =
                new FakeServer(
                        connection -> {
                            String completeResponse =
                                    FakeServer.valueResponse(
                                            fakeServer[0].readCommand(connection), value);
                            connection.write(completeResponse.substring(0, 100_000));
                            connection.awaitClose();
                            transferEnded.countDown();
                        });
        try (NodeTestFixture fixture = new NodeTestFixture(fakeServer).start();
                TestConnection client = fixture.client()) {
            assertEquals("VA " + MAX_VALUE_BYTES + " O1", client.request(NodeTestFixture.READ));
            client.reset();
            NodeTestFixture.await(transferEnded);
            fixture.awaitGauge("clients", 0);
        }
    }

    /** Only the sink creates demand for further chunks. */
    @Test
    void aServerIsReadOnlyWhileItsClientAcceptsData() {
        List<String> sourceCalls = new ArrayList<>();
        MemoryLimiter limiter = new MemoryLimiter(1_000);
        ValueStream stream =
                new ValueStream(
                        new ValueStream.Source() {
                            @Override
                            public void setDemand(boolean enabled) {
                                sourceCalls.add("demand " + enabled);
                            }

                            @Override
                            public void cancel() {
                                sourceCalls.add("cancel");
                            }
                        },
                        new MemoryAccount(limiter));
        assertEquals(
                List.of("demand false"),
                sourceCalls,
                "the source is paused until the sink is attached");
        stream.addChunk(Unpooled.wrappedBuffer(new byte[] {1}));
        assertEquals(1, limiter.reservedBytes(), "a chunk that waits for the sink is counted");
        StringBuilder received = new StringBuilder();
        ValueStream.Sink sink =
                new ValueStream.Sink() {
                    @Override
                    public void onChunk(ByteBuf chunk) {
                        received.append(chunk.readByte());
                        chunk.release();
                    }

                    @Override
                    public void onStreamComplete() {
                        received.append("end");
                    }

                    @Override
                    public void onStreamFailed() {
                        received.append("broken");
                    }
                };
        stream.attach(sink);
        stream.setDemand(true);
        stream.addChunk(Unpooled.wrappedBuffer(new byte[] {2}));
        stream.setDemand(false);
        stream.complete();
        stream.setDemand(true);
        stream.cancel();
        assertEquals("12end", received.toString());
        assertEquals(0, limiter.reservedBytes());
        assertEquals(
                List.of("demand false", "demand true", "demand false"),
                sourceCalls,
                "a completed source is not called");
    }
}
