package frostrelay.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import frostrelay.node.config.Config;
import frostrelay.node.config.ConfigException;
import frostrelay.node.config.DeploymentSettings;
import frostrelay.node.config.Json;
import frostrelay.node.time.Clock;
import frostrelay.policy.api.Idempotency;

import org.junit.jupiter.api.Test;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.UnaryOperator;

/** New settings are applied completely or not at all; open requests keep the previous ones. */
class ReloadTest {
    private static Map<?, ?> json(String text) {
        return Json.parse(text.getBytes(StandardCharsets.UTF_8));
    }

    private static Config runningConfig(NodeTestFixture fixture) {
        return Config.parse(json(fixture.config("127.0.0.1:0")));
    }

    private static void reload(NodeTestFixture fixture, UnaryOperator<String> edit)
            throws Exception {
        Map<?, ?> json = json(edit.apply(fixture.config("127.0.0.1:0")));
        fixture.loop.submit(() -> fixture.node.reload(json)).get();
    }

    @Test
    void newClassesAreServedAndRemovedOnesForAGracePeriod() throws Exception {
        try (NodeTestFixture fixture = new NodeTestFixture(FakeServer.servingAnyCommand()).start();
                TestConnection client = fixture.client()) {
            assertEquals(
                    "CLIENT_ERROR unknown class",
                    client.request(NodeTestFixture.READ.replace("c=read", "c=fetch")));
            // The new name is first in the file: the numbers of other names must not change.
            reload(
                    fixture,
                    text ->
                            text.replace(
                                            "{\"name\":\"read\"",
                                            "{\"name\":\"fetch\",\"effect\":\"fragile\",\"group\":\"all\",\"goal-time-ns\":5000000000,"
                                                    + "\"deadline-ns\":9000000000,\"late-worth\":0.5,\"window-ns\":5000000000},{\"name\":\"read\"")
                                    .replace("\"name\":\"copy\"", "\"name\":\"copy-2\""));
            assertEquals(
                    "HD O2 c77",
                    client.request(
                            NodeTestFixture.NON_IDEMPOTENT_WRITE.replace("c=copy", "c=fetch")));
            assertEquals(
                    "HD O2 c77",
                    client.request(
                            NodeTestFixture.NON_IDEMPOTENT_WRITE.replace("c=copy", "c=copy-2")));
            assertEquals(
                    "HD O2 c77",
                    client.request(NodeTestFixture.NON_IDEMPOTENT_WRITE),
                    "a removed class is accepted for a grace period");
            assertEquals("HD O3 c77", client.request(NodeTestFixture.IDEMPOTENT_WRITE));
            assertEquals(
                    "CLIENT_ERROR unknown class",
                    client.request(NodeTestFixture.READ.replace("c=read", "c=copy-3")));
        }
    }

    /**
     * Lines are read as bytes and settings as UTF-8; names with other than ASCII characters must
     * still match.
     */
    @Test
    void namesMayContainNonAsciiCharacters() throws Exception {
        FakeServer fakeServer = FakeServer.servingAnyCommand();
        try (NodeTestFixture fixture = new NodeTestFixture(fakeServer).start();
                TestConnection client = fixture.client()) {
            reload(
                    fixture,
                    text ->
                            text.replace("\"name\":\"copy\"", "\"name\":\"señal-№1\"")
                                    .replace("\"name\":\"acme\"", "\"name\":\"compañía\""));
            String command = "ms 1 1 O2 Pc=señal-№1,t=compañía,d=5000\r\nx\r\n";
            client.write(command.getBytes(StandardCharsets.UTF_8));
            assertEquals("HD O2 c77", client.readLine());
            String forwarded =
                    new String(
                            fakeServer.awaitCommand().getBytes(StandardCharsets.ISO_8859_1),
                            StandardCharsets.UTF_8);
            assertTrue(forwarded.startsWith("ms 1 1 O2 Pc=señal-№1,t=compañía,d="), forwarded);
            assertEquals(
                    "CLIENT_ERROR unknown tenant",
                    client.request("ms 1 1 O2 Pc=read,t=compania,d=5000\r\nx"));
        }
    }

    @Test
    void namesKeepTheirNumbersWhenTheirSettingsChange() {
        Config runningConfig = runningConfig(new NodeTestFixture());
        String swappedText =
                new NodeTestFixture()
                        .config("127.0.0.1:0")
                        .replace("\"name\":\"read\"", "\"name\":\"x\"")
                        .replace("\"name\":\"put\"", "\"name\":\"read\"")
                        .replace("\"name\":\"x\"", "\"name\":\"put\"")
                        .replace("\"zones\":[\"a\",\"b\"]", "\"zones\":[\"c\",\"a\"]");
        Config newConfig = runningConfig.replacedBy(json(swappedText));
        assertEquals(
                runningConfig.settings().classNumber("read"),
                newConfig.settings().classNumber("read"));
        assertEquals(
                Idempotency.IDEMPOTENCY_KEY,
                newConfig.settings().policySettings.classes().get(0).idempotency());
        assertEquals(
                runningConfig.settings().zoneNumber("a"), newConfig.settings().zoneNumber("a"));
        assertEquals(
                newConfig.settings().zoneNumber("c"), newConfig.settings().policySettings.zone());
    }

    @Test
    void aRemovedClassIsUnknownAfterItsGracePeriod() {
        Config runningConfig = runningConfig(new NodeTestFixture());
        Map<?, ?> settingsWithoutCopy =
                json(
                        new NodeTestFixture()
                                .settings()
                                .replace("\"name\":\"copy\"", "\"name\":\"other\""));
        DeploymentSettings expiredSettings =
                runningConfig
                        .settings()
                        .replacedBy(settingsWithoutCopy, Clock.now() - 60 * Clock.NANOS_PER_SECOND);
        assertEquals(null, expiredSettings.classNumber("copy"));
        assertEquals(
                4, expiredSettings.policySettings.classes().size(), "its number is not reused");
        assertEquals(List.of("other", "put", "read"), expiredSettings.classNames());
        DeploymentSettings restoredSettings =
                expiredSettings.replacedBy(json(new NodeTestFixture().settings()), Clock.now());
        assertEquals(
                runningConfig.settings().classNumber("copy"), restoredSettings.classNumber("copy"));
    }

    @Test
    void nothingIsAppliedFromAnInvalidFile() throws Exception {
        String completeText = new NodeTestFixture().config("127.0.0.1:0");
        Config runningConfig = Config.parse(json(completeText));
        List<String> broken =
                new ArrayList<>(
                        List.of(
                                completeText.replace(
                                        "\"deadline-ns\":10000000000", "\"deadline-ns\":-5"),
                                completeText.replace(
                                        "\"deadline-ns\":10000000000", "\"deadline-ns\":0"),
                                completeText.replace(
                                        "\"deadline-ns\":10000000000",
                                        "\"deadline-ns\":\"10000000000\""),
                                completeText.replace("\"max-attempts\":4", "\"max-attempts\":0"),
                                completeText.replace("\"max-attempts\":4", "\"max-attempts\":null"),
                                completeText.replace("\"max-attempts\":4", "\"max-attempts\":[4]"),
                                completeText.replace(
                                        "\"effect\":\"fragile\"", "\"effect\":\"often\""),
                                completeText.replace("\"name\":\"copy\"", "\"name\":\"read\""),
                                completeText.replaceFirst(
                                        "\"categories\":\\[[^\\]]*\\]", "\"categories\":[]")));
        for (String key :
                List.of(
                        "listen",
                        "discovery",
                        "known",
                        "settings",
                        "limits",
                        "categories",
                        "effect",
                        "deadline-ns",
                        "ceilings",
                        "max-attempts",
                        "guarantees",
                        "tip-multiple",
                        "tenants")) {
            broken.add(completeText.replace("\"" + key + "\":", "\"no-" + key + "\":"));
        }
        for (String text : broken) {
            assertFalse(text.equals(completeText));
            assertThrows(ConfigException.class, () -> runningConfig.replacedBy(json(text)), text);
        }
        assertEquals(
                runningConfig.settings().classNames(),
                runningConfig.replacedBy(json(completeText)).settings().classNames());
    }

    /**
     * Validation at the start must not replace an unknown effect by the strictest one, nor a
     * missing deadline by one second.
     */
    @Test
    void anInvalidValueIsRejectedWithItsKey() {
        String completeText = new NodeTestFixture().config("127.0.0.1:0");
        Map<String, String> broken =
                Map.of(
                        "settings.categories.1.effect",
                                completeText.replace(
                                        "\"effect\":\"fragile\"", "\"effect\":\"often\""),
                        "settings.categories.0.deadline-ns",
                                completeText.replaceFirst("\"deadline-ns\":10000000000,", ""),
                        "settings.categories.0.goal-time-ns",
                                completeText.replaceFirst(
                                        "\"goal-time-ns\":5000000000", "\"goal-time-ns\":0"),
                        "settings.ceilings.multiplex",
                                completeText.replace("\"multiplex\":1", "\"multiplex\":0"),
                        "settings.n-instances",
                                completeText.replace("\"n-instances\":1", "\"n-instances\":0"),
                        "limits.sockets",
                                completeText.replace("\"sockets\":1024", "\"sockets\":0"));
        broken.forEach(
                (key, text) -> {
                    assertFalse(text.equals(completeText), key);
                    ConfigException exception =
                            assertThrows(
                                    ConfigException.class, () -> Config.parse(json(text)), key);
                    assertTrue(
                            exception.getMessage().contains("'" + key + "'"),
                            exception.getMessage());
                });
    }

    @Test
    void anInvalidFileDoesNotAffectARunningNode() throws Exception {
        try (NodeTestFixture fixture = new NodeTestFixture(FakeServer.servingAnyCommand()).start();
                TestConnection client = fixture.client()) {
            reload(
                    fixture,
                    text ->
                            text.replace("\"name\":\"copy\"", "\"name\":\"copy-2\"")
                                    .replace("\"max-attempts\":4", "\"max-attempts\":-4"));
            assertEquals(
                    "CLIENT_ERROR unknown class",
                    client.request(NodeTestFixture.READ.replace("c=read", "c=copy-2")));
            assertEquals("HD O2 c77", client.request(NodeTestFixture.NON_IDEMPOTENT_WRITE));
            assertTrue(fixture.loop.submit(fixture.node::isReady).get());
        }
    }
}
