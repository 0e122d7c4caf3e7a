package frostrelay.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

import org.junit.jupiter.api.Test;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;

/**
 * Long values stream through: whole, in step with the slower end, and visibly short where they
 * cannot be finished.
 */
class LongValuesTest {
    private static final int LONG = MetaFrame.MOST_VALUE;

    private static String text(int length) {
        StringBuilder text = new StringBuilder(length);
        while (text.length() < length) {
            text.append(text.length()).append(' ');
        }
        return text.substring(0, length);
    }

    @Test
    void theLongestValueArrivesWholeAndTheConnectionsGoOn() throws Exception {
        String value = text(LONG);
        FakeHost host = FakeHost.answering(command -> FakeHost.value(command, value));
        try (Rig rig = new Rig(host).start();
                Peer client = rig.slowClient()) {
            for (int i = 0; i < 3; i++) {
                assertEquals("VA " + LONG + " O1", client.ask(Rig.READ));
                assertEquals(value, client.data(LONG));
            }
            assertEquals(1, host.connections.get());
            ServingTest.awaitGauge(rig, "open 0 ");
        }
    }

    @Test
    void piecesOfAnySizeAreAValue() throws Exception {
        String value = text(MetaFrame.MOST_GATHERED + 1);
        FakeHost[] host = new FakeHost[1];
        host[0] =
                new FakeHost(
                        peer -> {
                            String whole = FakeHost.value(host[0].next(peer), value);
                            for (int at = 0, size = 1;
                                    at < whole.length();
                                    at += size, size = size * 3 % 9973 + 1) {
                                peer.write(
                                        whole.substring(at, Math.min(whole.length(), at + size)));
                            }
                            host[0].next(peer);
                        });
        try (Rig rig = new Rig(host).start();
                Peer client = rig.client()) {
            assertEquals("VA " + value.length() + " O1", client.ask(Rig.READ));
            assertEquals(value, client.data(value.length()));
        }
    }

    /** The first bytes are passed on before the last have come. */
    @Test
    void whatHasComeIsNotHeldBack() throws Exception {
        CountDownLatch seen = new CountDownLatch(1);
        String value = text(LONG);
        FakeHost[] host = new FakeHost[1];
        host[0] =
                new FakeHost(
                        peer -> {
                            String whole = FakeHost.value(host[0].next(peer), value);
                            peer.write(whole.substring(0, 100_000));
                            await(seen);
                            peer.write(whole.substring(100_000));
                            host[0].next(peer);
                        });
        try (Rig rig = new Rig(host).start();
                Peer client = rig.client()) {
            assertEquals("VA " + LONG + " O1", client.ask(Rig.READ));
            seen.countDown();
            assertEquals(value, client.data(LONG));
        }
    }

    private static void await(CountDownLatch latch) throws IOException {
        try {
            latch.await();
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    @Test
    void aValueThatBreaksOffEndsTheClientsConnection() throws Exception {
        String value = text(LONG);
        FakeHost[] host = new FakeHost[1];
        host[0] =
                new FakeHost(
                        peer ->
                                peer.write(
                                        FakeHost.value(host[0].next(peer), value)
                                                .substring(0, 200_000)));
        try (Rig rig = new Rig(host).start();
                Peer client = rig.client()) {
            assertEquals("VA " + LONG + " O1", client.ask(Rig.READ));
            assertTrue(client.data(LONG).length() < LONG, "the client can tell");
        }
    }

    @Test
    void aValueWithoutItsEndIsNotPassedOffAsWhole() throws Exception {
        String value = text(LONG);
        FakeHost host =
                FakeHost.answering(
                        command -> {
                            String whole = FakeHost.value(command, value);
                            return whole.substring(0, whole.length() - 2) + "xx";
                        });
        try (Rig rig = new Rig(host).start();
                Peer client = rig.client()) {
            assertEquals("VA " + LONG + " O1", client.ask(Rig.READ));
            client.data(LONG);
            assertEquals(null, client.line(), "the connection ends where the block should");
        }
    }

    @Test
    void aTooLongValueIsAFailedAttempt() throws Exception {
        FakeHost host =
                FakeHost.answering(
                        command -> "VA " + (LONG + 1) + " " + FakeHost.opaque(command) + "\r\nx");
        try (Rig rig = new Rig(host).start();
                Peer client = rig.client()) {
            assertTrue(client.ask(Rig.READ).startsWith("SERVER_ERROR"));
            assertEquals("MN", client.ask("mn"));
        }
    }

    /** Behind a slower answer the value waits at its host, and is passed on in its turn. */
    @Test
    void aValueWaitsForItsTurn() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        String value = text(LONG);
        FakeHost[] host = new FakeHost[1];
        host[0] =
                new FakeHost(
                        peer -> {
                            String command = host[0].next(peer);
                            if (command.contains(" O2 ")) {
                                await(release);
                                peer.write(FakeHost.served(command));
                            } else {
                                peer.write(FakeHost.value(command, value));
                            }
                            host[0].next(peer);
                        });
        try (Rig rig = new Rig(host).start();
                Peer client = rig.client()) {
            client.write(Rig.COPY + "\r\n");
            host[0].command();
            client.write(Rig.READ + "\r\n");
            host[0].command();
            ServingTest.awaitGauge(rig, "open 1 ");
            release.countDown();
            assertEquals("HD O2 c77", client.line());
            assertEquals("VA " + LONG + " O1", client.line());
            assertEquals(value, client.data(LONG));
            assertEquals("MN", client.ask("mn"));
        }
    }

    @Test
    void aClientThatLeavesEndsTheHostsPart() throws Exception {
        String value = text(LONG);
        CountDownLatch ended = new CountDownLatch(1);
        FakeHost[] host = new FakeHost[1];
        host[0] =
                new FakeHost(
                        peer -> {
                            String whole = FakeHost.value(host[0].next(peer), value);
                            peer.write(whole.substring(0, 100_000));
                            peer.awaitEnd();
                            ended.countDown();
                        });
        try (Rig rig = new Rig(host).start();
                Peer client = rig.client()) {
            assertEquals("VA " + LONG + " O1", client.ask(Rig.READ));
            client.reset();
            await(ended);
            ServingTest.awaitGauge(rig, "clients 0 ");
        }
    }

    /** What a host may still send is asked for by the client's end alone. */
    @Test
    void aHostIsReadOnlyWhileItsClientTakesWhatComes() {
        List<String> told = new ArrayList<>();
        ValueStream stream =
                new ValueStream(
                        new ValueStream.Source() {
                            @Override
                            public void demand(boolean more) {
                                told.add("demand " + more);
                            }

                            @Override
                            public void cancel() {
                                told.add("cancel");
                            }
                        });
        assertEquals(List.of("demand false"), told, "not before its turn");
        stream.piece(Unpooled.wrappedBuffer(new byte[] {1}));
        StringBuilder got = new StringBuilder();
        ValueStream.Sink sink =
                new ValueStream.Sink() {
                    @Override
                    public void piece(ByteBuf piece) {
                        got.append(piece.readByte());
                        piece.release();
                    }

                    @Override
                    public void end() {
                        got.append("end");
                    }

                    @Override
                    public void broken() {
                        got.append("broken");
                    }
                };
        stream.attach(sink);
        stream.demand(true);
        stream.piece(Unpooled.wrappedBuffer(new byte[] {2}));
        stream.demand(false);
        stream.end();
        stream.demand(true);
        stream.cancel();
        assertEquals("12end", got.toString());
        assertEquals(
                List.of("demand false", "demand true", "demand false"),
                told,
                "nothing is asked of what is over");
    }
}
