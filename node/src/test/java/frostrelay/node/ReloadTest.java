package frostrelay.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import frostrelay.policy.Api;

import org.junit.jupiter.api.Test;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.UnaryOperator;

/** New settings are taken whole or not at all, and what is open under the former ones goes on. */
class ReloadTest {
    private static Map<?, ?> json(String text) {
        return Json.parse(text.getBytes(StandardCharsets.UTF_8));
    }

    private static Config running(Rig rig) {
        return Config.parse(json(rig.config("127.0.0.1:0")));
    }

    private static void reload(Rig rig, UnaryOperator<String> edit) throws Exception {
        Map<?, ?> json = json(edit.apply(rig.config("127.0.0.1:0")));
        rig.loop.submit(() -> rig.node.reload(json)).get();
    }

    @Test
    void aNewClassIsServedAndADroppedOneForAWhile() throws Exception {
        try (Rig rig = new Rig(FakeHost.serving()).start();
                Peer client = rig.client()) {
            assertEquals(
                    "CLIENT_ERROR unknown class",
                    client.ask(Rig.READ.replace("c=read", "c=fetch")));
            // The new name comes first in the file: numbers must not move.
            reload(
                    rig,
                    text ->
                            text.replace(
                                            "{\"name\":\"read\"",
                                            "{\"name\":\"fetch\",\"effect\":\"fragile\",\"group\":\"all\",\"goal-time-ns\":5000000000,"
                                                    + "\"deadline-ns\":9000000000,\"late-worth\":0.5,\"window-ns\":5000000000},{\"name\":\"read\"")
                                    .replace("\"name\":\"copy\"", "\"name\":\"copy-2\""));
            assertEquals("HD O2 c77", client.ask(Rig.COPY.replace("c=copy", "c=fetch")));
            assertEquals("HD O2 c77", client.ask(Rig.COPY.replace("c=copy", "c=copy-2")));
            assertEquals("HD O2 c77", client.ask(Rig.COPY), "clients hear of new settings later");
            assertEquals("HD O3 c77", client.ask(Rig.PUT));
            assertEquals(
                    "CLIENT_ERROR unknown class",
                    client.ask(Rig.READ.replace("c=read", "c=copy-3")));
        }
    }

    /**
     * Lines are read byte by byte, settings as UTF-8: names beyond ASCII were unknown, and all of
     * their requests answered so.
     */
    @Test
    void namesMayHaveAnyLetters() throws Exception {
        FakeHost host = FakeHost.serving();
        try (Rig rig = new Rig(host).start();
                Peer client = rig.client()) {
            reload(
                    rig,
                    text ->
                            text.replace("\"name\":\"copy\"", "\"name\":\"señal-№1\"")
                                    .replace("\"name\":\"acme\"", "\"name\":\"compañía\""));
            String command = "ms 1 1 O2 Pc=señal-№1,t=compañía,d=5000\r\nx\r\n";
            client.write(command.getBytes(StandardCharsets.UTF_8));
            assertEquals("HD O2 c77", client.line());
            String sent =
                    new String(
                            host.command().getBytes(StandardCharsets.ISO_8859_1),
                            StandardCharsets.UTF_8);
            assertTrue(sent.startsWith("ms 1 1 O2 Pc=señal-№1,t=compañía,d="), sent);
            assertEquals(
                    "CLIENT_ERROR unknown tenant",
                    client.ask("ms 1 1 O2 Pc=read,t=compania,d=5000\r\nx"));
        }
    }

    @Test
    void namesKeepTheirNumbersAndWhatTheyStandForChanges() {
        Config running = running(new Rig());
        String swapped =
                new Rig()
                        .config("127.0.0.1:0")
                        .replace("\"name\":\"read\"", "\"name\":\"x\"")
                        .replace("\"name\":\"put\"", "\"name\":\"read\"")
                        .replace("\"name\":\"x\"", "\"name\":\"put\"")
                        .replace("\"zones\":[\"a\",\"b\"]", "\"zones\":[\"c\",\"a\"]");
        Config fresh = running.succeed(json(swapped));
        assertEquals(running.site().requestClass("read"), fresh.site().requestClass("read"));
        assertEquals(Api.Effect.DEDUP, fresh.site().settings.classes().get(0).effect());
        assertEquals(running.site().zone("a"), fresh.site().zone("a"));
        assertEquals(fresh.site().zone("c"), fresh.site().settings.zone());
    }

    @Test
    void aDroppedClassIsForgottenAfterItsTime() {
        Config running = running(new Rig());
        Map<?, ?> without =
                json(new Rig().settings().replace("\"name\":\"copy\"", "\"name\":\"other\""));
        Site longAgo = running.site().succeed(without, Clock.now() - 60 * Clock.SECOND);
        assertEquals(null, longAgo.requestClass("copy"));
        assertEquals(4, longAgo.settings.classes().size(), "its number stays taken");
        assertEquals(List.of("other", "put", "read"), longAgo.names());
        Site again = longAgo.succeed(json(new Rig().settings()), Clock.now());
        assertEquals(running.site().requestClass("copy"), again.requestClass("copy"));
    }

    @Test
    void nothingIsTakenFromABrokenFile() throws Exception {
        String whole = new Rig().config("127.0.0.1:0");
        Config running = Config.parse(json(whole));
        List<String> broken =
                new ArrayList<>(
                        List.of(
                                whole.replace("\"deadline-ns\":10000000000", "\"deadline-ns\":-5"),
                                whole.replace("\"deadline-ns\":10000000000", "\"deadline-ns\":0"),
                                whole.replace(
                                        "\"deadline-ns\":10000000000",
                                        "\"deadline-ns\":\"10000000000\""),
                                whole.replace("\"max-attempts\":4", "\"max-attempts\":0"),
                                whole.replace("\"max-attempts\":4", "\"max-attempts\":null"),
                                whole.replace("\"max-attempts\":4", "\"max-attempts\":[4]"),
                                whole.replace("\"effect\":\"fragile\"", "\"effect\":\"often\""),
                                whole.replace("\"name\":\"copy\"", "\"name\":\"read\""),
                                whole.replaceFirst(
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
            broken.add(whole.replace("\"" + key + "\":", "\"no-" + key + "\":"));
        }
        for (String text : broken) {
            assertFalse(text.equals(whole));
            assertThrows(ConfigException.class, () -> running.succeed(json(text)), text);
        }
        assertEquals(running.site().names(), running.succeed(json(whole)).site().names());
    }

    /**
     * At a start as well: an effect that nobody knows was once taken for the strictest, and a
     * missing deadline for a second.
     */
    @Test
    void whatCannotBeMeantIsRefusedWithItsKey() {
        String whole = new Rig().config("127.0.0.1:0");
        Map<String, String> broken =
                Map.of(
                        "settings.categories.1.effect",
                                whole.replace("\"effect\":\"fragile\"", "\"effect\":\"often\""),
                        "settings.categories.0.deadline-ns",
                                whole.replaceFirst("\"deadline-ns\":10000000000,", ""),
                        "settings.categories.0.goal-time-ns",
                                whole.replaceFirst(
                                        "\"goal-time-ns\":5000000000", "\"goal-time-ns\":0"),
                        "settings.ceilings.multiplex",
                                whole.replace("\"multiplex\":1", "\"multiplex\":0"),
                        "settings.n-instances",
                                whole.replace("\"n-instances\":1", "\"n-instances\":0"),
                        "limits.sockets", whole.replace("\"sockets\":1024", "\"sockets\":0"));
        broken.forEach(
                (key, text) -> {
                    assertFalse(text.equals(whole), key);
                    ConfigException refused =
                            assertThrows(
                                    ConfigException.class, () -> Config.parse(json(text)), key);
                    assertTrue(
                            refused.getMessage().contains("'" + key + "'"), refused.getMessage());
                });
    }

    @Test
    void aBrokenFileChangesNothingWhereItServes() throws Exception {
        try (Rig rig = new Rig(FakeHost.serving()).start();
                Peer client = rig.client()) {
            reload(
                    rig,
                    text ->
                            text.replace("\"name\":\"copy\"", "\"name\":\"copy-2\"")
                                    .replace("\"max-attempts\":4", "\"max-attempts\":-4"));
            assertEquals(
                    "CLIENT_ERROR unknown class",
                    client.ask(Rig.READ.replace("c=read", "c=copy-2")));
            assertEquals("HD O2 c77", client.ask(Rig.COPY));
            assertTrue(rig.loop.submit(rig.node::ready).get());
        }
    }
}
