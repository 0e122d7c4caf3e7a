package frostrelay.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import frostrelay.node.time.Clock;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import java.io.IOException;
import java.util.concurrent.CountDownLatch;

/** Commands that arrive in parts, also behind others, are served or end within seconds. */
class PartialCommandTest {
    private static final String FIRST_PART = "mg 1 v Osecond Pc=read,";
    private static final String LAST_PART = "t=acme,d=2000\r\n";

    private final CountDownLatch release = new CountDownLatch(1);
    private NodeTestFixture fixture;
    private TestConnection client;

    @BeforeEach
    void start() throws Exception {
        FakeServer server =
                FakeServer.respondingWith(
                        command -> {
                            if (command.contains("Ofirst")) {
                                NodeTestFixture.await(release);
                            }
                            return FakeServer.successResponse(command);
                        });
        fixture = new NodeTestFixture(server).start();
        client = fixture.client();
        assertEquals("MN", client.request("mn"));
    }

    @AfterEach
    void stop() throws IOException {
        client.close();
        fixture.close();
    }

    /** Guards against a shutdown that drops a command of which a part has been read. */
    @Test
    void theRestOfACommandBehindAnotherOneIsServedDuringAShutdown() throws Exception {
        client.write("mg 1 v Ofirst Pc=read,t=acme,d=2000\r\n" + FIRST_PART);
        fixture.fakeServers.get(0).awaitCommand();
        fixture.loop.submit(() -> fixture.node.stop(false, Clock.now())).get();
        release.countDown();
        assertEquals("VA 1 Ofirst", client.readLine());
        client.readData(1);
        Thread.sleep(200);
        client.write(LAST_PART);
        assertEquals("VA 1 Osecond", client.readLine());
        client.readData(1);
        assertEquals(null, client.readLine(), "closed when idle");
    }

    /** Guards against a client that stops within its second command and keeps a descriptor. */
    @Test
    void aClientThatStopsWithinACommandBehindAnotherOneIsClosed() throws Exception {
        client.write("mg 1 v Ofirst Pc=read,t=acme,d=2000\r\n" + FIRST_PART);
        fixture.fakeServers.get(0).awaitCommand();
        release.countDown();
        assertEquals("VA 1 Ofirst", client.readLine());
        client.readData(1);
        long startNanos = System.nanoTime();
        assertEquals(null, client.readLine());
        long closedMillis = (System.nanoTime() - startNanos) / Clock.NANOS_PER_MILLISECOND;
        assertTrue(closedMillis < 3_000, "closed after ms: " + closedMillis);
    }

    /** Guards against a write that is dropped although its client sends it evenly. */
    @Test
    void aValueThatArrivesEvenlyIsServedHoweverLongItTakes() throws Exception {
        int pieces = 40;
        client.write("ms 1 " + pieces * 1_000 + " Oput Pc=put,t=acme,d=2000,k=1\r\n");
        for (int i = 0; i < pieces; i++) {
            Thread.sleep(100);
            client.write("x".repeat(1_000));
        }
        client.write("\r\n");
        assertEquals("HD Oput c77", client.readLine());
    }
}
