package frostrelay.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** What operators ask for reaches clients and hosts. */
class OperationsTest {
    private static boolean ready(Rig rig) throws Exception {
        return rig.loop.submit(rig.node::ready).get();
    }

    @Test
    void aDrainTellsTheFrontNoAndLetsGoOfEveryClient() throws Exception {
        try (Rig rig = new Rig(FakeHost.serving()).start();
                Peer idle = rig.client();
                Peer busy = rig.client()) {
            assertEquals("HD O2 c77", idle.ask(Rig.COPY));
            assertTrue(ready(rig));
            rig.loop.submit(rig.node::startDrain).get();
            assertFalse(ready(rig));
            assertEquals("HD O2 c77", busy.ask(Rig.COPY), "served once more");
            assertEquals(null, busy.line(), "and closed behind the answer");
            assertEquals(null, idle.line(), "closed though it asked for nothing");
            try (Peer front = rig.client()) {
                assertEquals("SERVER_ERROR draining", front.ask("mn"));
                assertEquals(null, front.line());
            }
            rig.loop.submit(rig.node::stopDrain).get();
            assertTrue(ready(rig));
            try (Peer back = rig.client()) {
                assertEquals("MN", back.ask("mn"));
                assertEquals("HD O2 c77", back.ask(Rig.COPY));
                assertEquals("MN", back.ask("mn"), "kept open again");
            }
        }
    }

    @Test
    void aDrainAnswersWhatIsOpen() throws Exception {
        FakeHost[] host = new FakeHost[1];
        java.util.concurrent.CountDownLatch draining = new java.util.concurrent.CountDownLatch(1);
        host[0] =
                FakeHost.answering(
                        command -> {
                            try {
                                draining.await();
                            } catch (InterruptedException e) {
                                return null;
                            }
                            return FakeHost.served(command);
                        });
        try (Rig rig = new Rig(host).start();
                Peer client = rig.client()) {
            client.write(Rig.COPY + "\r\n");
            host[0].command();
            rig.loop.submit(rig.node::startDrain).get();
            draining.countDown();
            assertEquals("HD O2 c77", client.line());
            assertEquals(null, client.line());
        }
    }

    /** Another host takes what the held one would have got. */
    @Test
    void aHeldHostIsNotUsedUntilItIsLetGo() throws Exception {
        FakeHost[] hosts = {FakeHost.serving(), FakeHost.serving()};
        try (Rig rig = new Rig(hosts).start();
                Peer client = rig.client()) {
            assertFalse(hold(rig, "s-9", true), "nobody has this id");
            assertFalse(hold(rig, "s-9", false));
            assertTrue(hold(rig, "s-0", true));
            assertTrue(hold(rig, "s-0", true), "twice does no harm");
            for (int i = 0; i < 50; i++) {
                assertEquals(
                        "HD O" + i + " c77",
                        client.ask("ms " + i + " 1 O" + i + " Pc=copy,t=acme,d=5000\r\nx"));
            }
            assertEquals(0, hosts[0].connections.get());
            assertTrue(hold(rig, "s-0", false), "one call back is enough");
            assertTrue(hold(rig, "s-0", false));
            for (int i = 0; hosts[0].connections.get() == 0; i++) {
                client.ask("ms " + i + " 1 O" + i + " Pc=copy,t=acme,d=5000\r\nx");
            }
        }
    }

    private static boolean hold(Rig rig, String id, boolean out) throws Exception {
        return rig.loop.submit(() -> rig.node.hold(id, out)).get().get();
    }

    @Test
    void callsComeInOverHttp() throws Exception {
        try (Rig rig = new Rig(FakeHost.serving())) {
            rig.console = "127.0.0.1:" + StopTest.freePort();
            rig.start();
            java.net.http.HttpClient http = java.net.http.HttpClient.newHttpClient();
            java.net.http.HttpResponse<String> answer =
                    http.send(
                            java.net.http.HttpRequest.newBuilder(
                                            java.net.URI.create(
                                                    "http://" + rig.console + "/ops/readiness"))
                                    .build(),
                            java.net.http.HttpResponse.BodyHandlers.ofString());
            assertEquals(200, answer.statusCode());
        }
    }
}
