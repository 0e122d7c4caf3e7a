package frostrelay.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import frostrelay.node.config.ConfigFile;
import frostrelay.policy.api.EndpointUpdateMode;
import frostrelay.policy.api.PolicyActions;
import frostrelay.policy.api.PolicyEvents;
import frostrelay.policy.api.Server;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;

/** Checks that the watch resumes from the latest version after every update and failure. */
class DiscoveryClientTest {
    private static final String HEADERS_WITHOUT_LENGTH = "HTTP/1.1 200 OK\r\n\r\n";
    @TempDir Path folder;

    /** The updates that the policy received: the mode and the number of servers. */
    private final BlockingQueue<String> listUpdates = new LinkedBlockingQueue<>();

    private final FakeDiscovery fakeDiscovery = new FakeDiscovery();

    /** A policy that subscribes whenever it may and records the updates it receives. */
    private PolicyEvents recordingPolicy(PolicyActions actions) {
        return new NoOpPolicy(actions) {
            @Override
            public void onEndpointUpdate(long now, EndpointUpdateMode mode, List<Server> servers) {
                listUpdates.add(mode + " " + servers.size());
                if (mode == EndpointUpdateMode.CACHED || mode == EndpointUpdateMode.FAILED) {
                    actions.scheduleTimer(now, 1);
                }
            }

            @Override
            public void onTimer(long now, int token) {
                actions.subscribe();
            }
        };
    }

    @Test
    void theWatchContinuesFromTheLatestVersionAfterUpdatesAndFailures() throws Exception {
        try (FakeServer discovery = fakeDiscovery.start();
                NodeTestFixture fixture = new NodeTestFixture(FakeServer.servingAnyCommand())) {
            fixture.discovery = discovery.endpoint();
            fixture.policyFactory = (settings, seed, actions) -> recordingPolicy(actions);
            fixture.start();
            assertEquals("CACHED 1", FakeDiscovery.awaitNext(listUpdates));
            String target = NodeTestFixture.target("s-9", "127.0.0.1:9", "Ready");
            fakeDiscovery.responses.add(FakeDiscovery.listResponse(41, false, target));
            assertTrue(
                    FakeDiscovery.awaitNext(fakeDiscovery.requests)
                            .startsWith("GET /catalog/members?since=7&timeout_ms="));
            assertEquals("DELTA 1", FakeDiscovery.awaitNext(listUpdates));
            fakeDiscovery.responses.add(FakeDiscovery.listResponse(43, true, target, target));
            assertTrue(
                    FakeDiscovery.awaitNext(fakeDiscovery.requests)
                            .startsWith("GET /catalog/members?since=41&timeout_ms="));
            assertEquals("FULL 2", FakeDiscovery.awaitNext(listUpdates));
            List<String> failures =
                    List.of(
                            "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
                            "",
                            FakeDiscovery.okResponse("{\"rev\":44}"),
                            FakeDiscovery.okResponse("nonsense"),
                            "garbage\r\n\r\n",
                            FakeDiscovery.listResponse(
                                    44,
                                    false,
                                    NodeTestFixture.target("s-9", "127.0.0.1:9", "Unknown")),
                            FakeDiscovery.listResponse(
                                    44,
                                    false,
                                    NodeTestFixture.target("s-9", "no address", "Ready")));
            for (String failure : failures) {
                fakeDiscovery.responses.add(failure);
                assertTrue(
                        FakeDiscovery.awaitNext(fakeDiscovery.requests)
                                .startsWith("GET /catalog/members?since=43&timeout_ms="));
                assertEquals("FAILED 0", FakeDiscovery.awaitNext(listUpdates), failure);
            }
            fakeDiscovery.responses.add(FakeDiscovery.listResponse(45, false));
            assertTrue(
                    FakeDiscovery.awaitNext(fakeDiscovery.requests)
                            .startsWith("GET /catalog/members?since=43&timeout_ms="));
            assertEquals("DELTA 0", FakeDiscovery.awaitNext(listUpdates));
        }
    }

    /**
     * Lists may be indented, without a length, chunked, or full instead of changes. A list followed
     * by a reset is rejected, even if its JSON is complete.
     */
    @Test
    void anAnswerMayHaveAnyFormButIsRejectedAfterAReset() throws Exception {
        String target = NodeTestFixture.target("s-9", "127.0.0.1:9", "Ready");
        String indented =
                "{\n  \"rev\" : 41,\n  \"all\" : true,\n  \"targets\" : [\n    "
                        + target.replace(",", ",\n      ")
                        + "\n  ]\n}\n";
        String completeJson =
                "{\"rev\":42,\"all\":true,\"targets\":[" + target + "," + target + "]}";
        String chunked =
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                        + Integer.toHexString(20)
                        + "\r\n"
                        + completeJson.substring(0, 20)
                        + "\r\n"
                        + Integer.toHexString(completeJson.length() - 20)
                        + "\r\n"
                        + completeJson.substring(20)
                        + "\r\n";
        try (FakeServer discovery = fakeDiscovery.start();
                NodeTestFixture fixture = new NodeTestFixture(FakeServer.servingAnyCommand())) {
            fixture.discovery = discovery.endpoint();
            fixture.policyFactory = (settings, seed, actions) -> recordingPolicy(actions);
            fixture.start();
            assertEquals("CACHED 1", FakeDiscovery.awaitNext(listUpdates));
            fakeDiscovery.responses.add(HEADERS_WITHOUT_LENGTH + indented);
            assertEquals("FULL 1", FakeDiscovery.awaitNext(listUpdates));
            fakeDiscovery.awaitRequest("since=41");
            for (String truncatedResponse :
                    List.of(
                            HEADERS_WITHOUT_LENGTH + completeJson + FakeDiscovery.RESET,
                            HEADERS_WITHOUT_LENGTH
                                    + completeJson.substring(0, 30)
                                    + FakeDiscovery.RESET,
                            chunked + FakeDiscovery.RESET,
                            HEADERS_WITHOUT_LENGTH + completeJson.substring(0, 30),
                            chunked.substring(0, 70))) {
                fakeDiscovery.responses.add(truncatedResponse);
                assertEquals("FAILED 0", FakeDiscovery.awaitNext(listUpdates), truncatedResponse);
                fakeDiscovery.awaitRequest("since=41");
            }
            fakeDiscovery.responses.add(chunked + "0\r\n\r\n");
            assertEquals("FULL 2", FakeDiscovery.awaitNext(listUpdates));
            fakeDiscovery.awaitRequest("since=42");
        }
    }

    /**
     * Administrators restart the servers that they drain, so the discovery may report a server as
     * removed just before the drain call. The call must still succeed; otherwise the server would
     * be used as soon as it returns, which happened 23 times on one day.
     */
    @Test
    void aServerJustRemovedFromTheListCanBeDrainedAndStaysDrainedOnItsReturn() throws Exception {
        FakeServer[] fakeServers = {FakeServer.servingAnyCommand(), FakeServer.servingAnyCommand()};
        try (FakeServer discovery = fakeDiscovery.start();
                NodeTestFixture fixture = new NodeTestFixture(fakeServers)) {
            fixture.discovery = discovery.endpoint();
            fixture.start();
            fakeDiscovery.responses.add(
                    FakeDiscovery.listResponse(
                            8,
                            true,
                            NodeTestFixture.target("s-1", fakeServers[1].endpoint(), "Ready")));
            fakeDiscovery.awaitRequest("since=8");
            // The sweep, four times a second, forgets removed servers without connections.
            Thread.sleep(600);
            assertTrue(
                    fixture.loop.submit(() -> fixture.node.setAdminDrain("s-0", true)).get().get(),
                    "the server was listed until a moment ago");
            assertFalse(
                    fixture.loop.submit(() -> fixture.node.setAdminDrain("s-7", true)).get().get(),
                    "no server has ever had this id");
            fakeDiscovery.responses.add(
                    FakeDiscovery.listResponse(
                            9,
                            true,
                            NodeTestFixture.target("s-0", fakeServers[0].endpoint(), "Ready"),
                            NodeTestFixture.target("s-1", fakeServers[1].endpoint(), "Ready")));
            fakeDiscovery.awaitRequest("since=9");
            try (TestConnection client = fixture.client()) {
                for (int i = 0; i < 50; i++) {
                    assertEquals(
                            "HD O" + i + " c77",
                            client.request("ms " + i + " 1 O" + i + " Pc=copy,t=acme,d=5000\r\nx"));
                }
            }
            assertEquals(0, fakeServers[0].connections.get());
        }
    }

    /**
     * A refused connection can fail within the call that opens it; this must not end the watch
     * permanently.
     */
    @Test
    void aRefusedConnectionIsAFailureAndIsRetried() throws Exception {
        FakeServer discovery = fakeDiscovery.start();
        discovery.stopListening();
        try (NodeTestFixture fixture = new NodeTestFixture(FakeServer.servingAnyCommand())) {
            fixture.discovery = discovery.endpoint();
            fixture.policyFactory = (settings, seed, actions) -> recordingPolicy(actions);
            fixture.start();
            assertEquals("CACHED 1", FakeDiscovery.awaitNext(listUpdates));
            assertEquals("FAILED 0", FakeDiscovery.awaitNext(listUpdates));
            assertEquals("FAILED 0", FakeDiscovery.awaitNext(listUpdates));
            assertEquals("FAILED 0", FakeDiscovery.awaitNext(listUpdates));
        }
    }

    /** Answers with a list of one server, and does not respond to watches. */
    private static FakeServer startMovedDiscovery(BlockingQueue<String> newRequests)
            throws IOException {
        return new FakeServer(
                connection -> {
                    String request = connection.readLine();
                    for (String line = request; line != null && !line.isEmpty(); ) {
                        line = connection.readLine();
                    }
                    newRequests.add(request);
                    if (request.endsWith("/members HTTP/1.1")) {
                        connection.write(
                                FakeDiscovery.listResponse(
                                        3,
                                        true,
                                        NodeTestFixture.target("s-9", "127.0.0.1:9", "Ready")));
                    } else {
                        connection.readLine();
                    }
                });
    }

    /**
     * When a new configuration contains another address, the watch moves there at once and requests
     * the full list, as versions may differ; the end of the old call is not reported as a failure.
     */
    @Test
    void aNewDiscoveryAddressIsCalledAtOnceWithoutAFailure() throws Exception {
        BlockingQueue<String> newRequests = new LinkedBlockingQueue<>();
        try (FakeServer discovery = fakeDiscovery.start();
                FakeServer newDiscovery = startMovedDiscovery(newRequests);
                NodeTestFixture fixture = new NodeTestFixture(FakeServer.servingAnyCommand())) {
            fixture.discovery = discovery.endpoint();
            fixture.policyFactory = (settings, seed, actions) -> recordingPolicy(actions);
            fixture.start();
            assertEquals("CACHED 1", FakeDiscovery.awaitNext(listUpdates));
            assertTrue(FakeDiscovery.awaitNext(fakeDiscovery.requests) != null);
            Path config =
                    Files.writeString(
                            folder.resolve("config.json"), "{\"discovery\":\"127.0.0.1:2\"}");
            reload(fixture, config);
            fixture.discovery = newDiscovery.endpoint();
            Files.writeString(config, fixture.config("127.0.0.1:0"));
            reload(fixture, config);
            reload(fixture, config);
            assertEquals("GET /catalog/members HTTP/1.1", FakeDiscovery.awaitNext(newRequests));
            assertEquals(
                    "FULL 1",
                    FakeDiscovery.awaitNext(listUpdates),
                    "the end of the old call is not reported as a failure");
            assertTrue(
                    FakeDiscovery.awaitNext(newRequests)
                            .startsWith("GET /catalog/members?since=3&timeout_ms="));
            reload(fixture, config);
            fakeDiscovery.responses.add("");
            fixture.discovery = discovery.endpoint();
            Files.writeString(config, fixture.config("127.0.0.1:0"));
            fakeDiscovery.responses.add(FakeDiscovery.listResponse(50, true));
            reload(fixture, config);
            assertEquals(
                    "GET /catalog/members HTTP/1.1",
                    FakeDiscovery.awaitNext(fakeDiscovery.requests));
            assertEquals(
                    "FULL 0",
                    FakeDiscovery.awaitNext(listUpdates),
                    "the list comes from the discovery that the file names");
            assertEquals(
                    null,
                    newRequests.poll(),
                    "a reload without a change of the address sends no request");
        }
    }

    /**
     * An update that an unresponsive watch misses becomes binding 2 s after its wait, or 6 s after
     * it stopped responding; another call must return it before that. With a wait of 20 s, a
     * timeout 2.5 s after it and then a backoff, drains were applied 23 s late.
     */
    @Test
    void anUnresponsiveWatchIsRestartedInTimeWithoutAFailure() throws Exception {
        try (FakeServer discovery = fakeDiscovery.start();
                NodeTestFixture fixture = new NodeTestFixture(FakeServer.servingAnyCommand())) {
            fixture.discovery = discovery.endpoint();
            fixture.policyFactory = (settings, seed, actions) -> recordingPolicy(actions);
            fixture.start();
            assertEquals("CACHED 1", FakeDiscovery.awaitNext(listUpdates));
            // The fake discovery does not respond to this call while it has no prepared response.
            assertTrue(
                    FakeDiscovery.awaitNext(fakeDiscovery.requests)
                            .startsWith("GET /catalog/members?since=7&timeout_ms="));
            long startNanos = System.nanoTime();
            assertTrue(
                    FakeDiscovery.awaitNext(fakeDiscovery.requests)
                            .startsWith("GET /catalog/members?since=7&timeout_ms="));
            long unresponsiveMillis = (System.nanoTime() - startNanos) / 1_000_000;
            assertTrue(
                    unresponsiveMillis < 4_500,
                    "the second call needs part of the 6 s; milliseconds used: "
                            + unresponsiveMillis);
            // Both calls get a response: the first one's connection is closed, so that its response
            // must be ignored.
            fakeDiscovery.responses.add(FakeDiscovery.listResponse(8, false));
            fakeDiscovery.responses.add(FakeDiscovery.listResponse(8, false));
            assertEquals(
                    "DELTA 0",
                    FakeDiscovery.awaitNext(listUpdates),
                    "an unresponsive connection is not a failure and causes no backoff");
        }
    }

    private static void reload(NodeTestFixture fixture, Path config) throws Exception {
        fixture.loop
                .submit(() -> fixture.node.reload(new ConfigFile(config.toString()).load()))
                .get();
    }
}
