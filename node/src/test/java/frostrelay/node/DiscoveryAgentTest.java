package frostrelay.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;

import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/** Checks that the list of an agent, to which lists are pushed, is in effect from the start. */
class DiscoveryAgentTest {
    private final FakeDiscovery fakeDiscovery = new FakeDiscovery();

    /**
     * The agent's list is applied before clients are served, although the policy does not
     * subscribe; otherwise drained servers would be used.
     */
    @Test
    void aPushedListIsAppliedBeforeClientsAreServedAndIsWatchedAfterwards() throws Exception {
        FakeServer[] fakeServers = {FakeServer.servingAnyCommand(), FakeServer.servingAnyCommand()};
        try (FakeServer agent = fakeDiscovery.start();
                NodeTestFixture fixture = new NodeTestFixture(fakeServers)) {
            fixture.discovery = agent.endpoint();
            fixture.endpointsPushed = true;
            CompletableFuture<Void> started =
                    CompletableFuture.runAsync(
                            () -> {
                                try {
                                    fixture.start();
                                } catch (Exception e) {
                                    throw new IllegalStateException(e);
                                }
                            });
            assertEquals(
                    "GET /catalog/members HTTP/1.1",
                    FakeDiscovery.awaitNext(fakeDiscovery.requests),
                    "the first call requests the full list without waiting");
            assertThrows(
                    TimeoutException.class,
                    () -> started.get(500, TimeUnit.MILLISECONDS),
                    "the node must not start with the configuration's list");
            fakeDiscovery.responses.add(
                    FakeDiscovery.listResponse(
                            8,
                            true,
                            NodeTestFixture.target("s-0", fakeServers[0].endpoint(), "Terminating"),
                            NodeTestFixture.target("s-1", fakeServers[1].endpoint(), "Ready")));
            started.get(TestConnection.TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            try (TestConnection client = fixture.client()) {
                sendTwentyRequests(client);
                assertEquals(0, fakeServers[0].connections.get());
                fakeDiscovery.responses.add("");
                fakeDiscovery.awaitRequest("since=8");
                fakeDiscovery.awaitRequest("since=8");
                fakeDiscovery.responses.add(
                        FakeDiscovery.listResponse(
                                9,
                                false,
                                NodeTestFixture.target("s-0", fakeServers[0].endpoint(), "Ready"),
                                NodeTestFixture.target("s-1", fakeServers[1].endpoint(), "Gone")));
                fakeDiscovery.awaitRequest("since=9");
                int previousCommandCount = fakeServers[1].commands.size();
                sendTwentyRequests(client);
                assertEquals(previousCommandCount, fakeServers[1].commands.size());
            }
        }
    }

    private static void sendTwentyRequests(TestConnection client) throws IOException {
        for (int i = 0; i < 20; i++) {
            assertEquals(
                    "HD O" + i + " c77",
                    client.request("ms " + i + " 1 O" + i + " Pc=copy,t=acme,d=5000\r\nx"));
        }
    }

    /** If the agent is down at the start, the balancer serves with the configuration's list. */
    @Test
    void anAgentThatIsDownDoesNotDelayTheStart() throws Exception {
        FakeServer agent = fakeDiscovery.start();
        agent.stopListening();
        try (NodeTestFixture fixture = new NodeTestFixture(FakeServer.servingAnyCommand())) {
            fixture.discovery = agent.endpoint();
            fixture.endpointsPushed = true;
            fixture.start();
            try (TestConnection client = fixture.client()) {
                assertEquals("HD O2 c77", client.request(NodeTestFixture.NON_IDEMPOTENT_WRITE));
            }
        }
    }
}
