package frostrelay.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import frostrelay.node.config.Json;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

/** Changes of the endpoint list are received before they are binding, whatever the tier's size. */
class DiscoveryDeadlineTest {
    private static final String REJECTED =
            "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
    private static final int INSTANCES = 20;

    /** For how long discovery queues a call before it rejects it. */
    private static final long QUEUE_MILLIS = 3_000;

    private final FakeDiscovery fakeDiscovery = new FakeDiscovery();
    private final FakeDiscovery movedDiscovery = new FakeDiscovery();
    private FakeServer discovery;
    private FakeServer moved;
    private NodeTestFixture fixture;

    @BeforeEach
    void start() throws Exception {
        discovery = fakeDiscovery.start();
        moved = movedDiscovery.start();
        fixture = new NodeTestFixture(FakeServer.servingAnyCommand());
        fixture.discovery = discovery.endpoint();
        fixture.settingsTransform =
                text ->
                        text.replace("\"n-instances\":1", "\"n-instances\":" + INSTANCES)
                                .replace("\"rank\":0", "\"rank\":" + (INSTANCES - 1))
                                .replace(
                                        "\"ask-within-ns\":2000000",
                                        "\"ask-within-ns\":10000000000");
        fixture.start();
        fakeDiscovery.responses.add(FakeDiscovery.listResponse(8, false));
        fakeDiscovery.awaitRequest("since=8");
    }

    @AfterEach
    void stop() throws Exception {
        fixture.close();
        discovery.close();
        moved.close();
    }

    private static long millisSince(long startNanos) {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    /**
     * Guards against sends to a drained server because the first call to a moved discovery was
     * rejected and the next one waited for its turn.
     */
    @Test
    void aCallRejectedByAMovedDiscoveryIsRepeatedInTime() throws Exception {
        fixture.discovery = moved.endpoint();
        byte[] json = fixture.config("127.0.0.1:0").getBytes(StandardCharsets.UTF_8);
        long movedNanos = System.nanoTime();
        fixture.loop.submit(() -> fixture.node.reload(Json.parse(json))).get();
        assertEquals(
                "GET /catalog/members HTTP/1.1", FakeDiscovery.awaitNext(movedDiscovery.requests));
        TimeUnit.MILLISECONDS.sleep(QUEUE_MILLIS);
        movedDiscovery.responses.add(REJECTED);
        assertEquals(
                "GET /catalog/members HTTP/1.1", FakeDiscovery.awaitNext(movedDiscovery.requests));
        long repeatedMillis = millisSince(movedNanos);
        assertTrue(repeatedMillis < 4_000, "changes are binding; ms: " + repeatedMillis);
    }

    /**
     * Guards against sends to a drained server because the call that replaces an unresponsive watch
     * waits in a queue; and the list that this call brings counts.
     */
    @Test
    void anUnresponsiveWatchIsReplacedBeforeItsWaitIsOver() throws Exception {
        long startNanos = System.nanoTime();
        // The fake discovery does not answer the watch that is open, nor its replacement yet.
        String replacement = fakeDiscovery.requests.poll(30, TimeUnit.SECONDS);
        long replacedMillis = millisSince(startNanos);
        long waitMillis = Long.parseLong(replacement.replaceAll(".*timeout_ms=(\\d+).*", "$1"));
        assertTrue(
                replacedMillis + QUEUE_MILLIS < waitMillis + 2_000,
                "ms until the next call: " + replacedMillis + ", wait: " + waitMillis);
        String target = NodeTestFixture.target("s-9", "127.0.0.1:9", "Ready");
        fakeDiscovery.responses.add(FakeDiscovery.listResponse(9, false, target));
        fakeDiscovery.responses.add(FakeDiscovery.listResponse(9, false, target));
        fakeDiscovery.awaitRequest("since=9");
        assertTrue(
                fixture.loop.submit(() -> fixture.node.setAdminDrain("s-9", true)).get().get(),
                "the list has been applied");
    }
}
