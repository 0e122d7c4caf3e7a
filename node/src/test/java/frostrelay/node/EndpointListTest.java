package frostrelay.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import frostrelay.node.config.DeploymentSettings;
import frostrelay.node.config.EndpointList;
import frostrelay.node.config.Json;
import frostrelay.policy.api.EndpointState;

import org.junit.jupiter.api.Test;

import java.nio.charset.StandardCharsets;

/** Parsing of endpoint lists yields the same server ids at every balancer. */
class EndpointListTest {
    /**
     * Rendezvous hashing needs the same id for a server at all balancers, whose addresses for it
     * differ.
     */
    @Test
    void aServerIdDependsOnlyOnTheUid() throws Exception {
        DeploymentSettings settings;
        try (NodeTestFixture fixture = new NodeTestFixture()) {
            settings = fixture.deploymentSettings();
        }
        EndpointList here =
                parse(NodeTestFixture.target("s-5be2a07c", "127.0.0.1:11211", "Ready"), settings);
        EndpointList there =
                parse(
                        NodeTestFixture.target("s-5be2a07c", "127.9.0.1:11211", "Terminating"),
                        settings);
        EndpointList otherServer =
                parse(NodeTestFixture.target("s-5be2a07d", "127.0.0.1:11211", "Gone"), settings);
        assertEquals(here.endpoints().get(0).server().id(), there.endpoints().get(0).server().id());
        assertTrue(
                here.endpoints().get(0).server().id()
                        != otherServer.endpoints().get(0).server().id());
        assertEquals(EndpointState.DRAINING, there.endpoints().get(0).server().state());
        assertEquals(EndpointState.REMOVED, otherServer.endpoints().get(0).server().state());
    }

    private static EndpointList parse(String target, DeploymentSettings settings) {
        String text = "{\"rev\":1,\"all\":true,\"targets\":[" + target + "]}";
        return EndpointList.parse(Json.parse(text.getBytes(StandardCharsets.UTF_8)), settings);
    }
}
