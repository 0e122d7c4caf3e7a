package review2;

import java.util.ArrayList;
import java.util.List;

/** An open watch falls silent; discovery is crowded when the next one comes. */
public final class SilentWatch extends Case {
    private static final int CACHES = 4;
    private static final int INSTANCES = 12;
    private static final double REQUESTS_PER_SECOND = 150;

    /** How long the calls wait in turn at the crowded discovery, which fails them after 3 s. */
    private static final double CROWDED_MILLIS = 2800;

    /** When a change counts as told, after the end of the wait of the silent watch. */
    private static final double TOLD_AFTER_WAIT_MILLIS = 2000;

    /** The grace, the 50 ms of the protocol page, and the time in which a sent byte waits for this stand-in. */
    private static final double GRACE_MILLIS = 500 + 50 + 100;

    private final List<Cache> caches = new ArrayList<>();

    /** By when no further send to the draining cache may begin. */
    private volatile double lastSendAt = Double.MAX_VALUE;

    private int sentTooLate;

    public static void main(String[] arguments) {
        run(new SilentWatch());
    }

    @Override
    protected void play() throws Exception {
        for (int i = 0; i < CACHES; i++) {
            caches.add(new Cache(this, "s-" + i, this::handle));
        }
        String[] before = caches.stream().map(cache -> cache.entry("Ready")).toArray(String[]::new);
        String[] after = before.clone();
        after[0] = caches.get(0).entry("Terminating");
        Discovery discovery = new Discovery(this, "discovery", call -> serve(call, before, after));
        Balancer balancer = new Balancer("n12");
        balancer.discovery = discovery.endpoint;
        balancer.known = Discovery.list(5, true, before);
        Settings settings = new Settings();
        settings.instances = INSTANCES;
        settings.rank = INSTANCES - 1;
        balancer.settings = settings.json();
        start(balancer);
        Clients clients = new Clients(this, balancer);
        clients.start(REQUESTS_PER_SECOND);
        sleep(30_000);
        clients.stop();
        sleep(500);
        note("sum", sentTooLate + " sends to s-0 later than allowed");
    }

    private void serve(Discovery.Call call, String[] before, String[] after) throws Exception {
        if (call.number == 1) {
            new CalmDiscovery(5, before).serve(call);
            return;
        }
        if (call.number == 2) {
            // s-0 begins to drain 1 s later.
            double watchedSince = now();
            sleep(1000);
            note("s-0", "begins to drain");
            if (trouble) {
                note("discovery", "watch 2 falls silent; it waits for " + call.waitMillis + " ms");
                lastSendAt = watchedSince + call.waitMillis + TOLD_AFTER_WAIT_MILLIS + GRACE_MILLIS;
                return;
            }
            lastSendAt = now() + GRACE_MILLIS;
            call.answer(Discovery.list(6, false, after[0]));
            return;
        }
        if (trouble) {
            sleep(CROWDED_MILLIS);
        }
        if (call.since < 6) {
            call.answer(Discovery.list(6, false, after[0]));
        } else {
            new CalmDiscovery(6, after).serve(call);
        }
    }

    private void handle(Cache cache, Cache.Command command) throws Exception {
        if (cache == caches.get(0) && lastSendAt < Double.MAX_VALUE) {
            note(command.connection, "gets " + command.id);
            if (command.firstByteAt > lastSendAt) {
                sentTooLate++;
                broken(
                        String.format(
                                "%s was sent to s-0, which drains, %.0f ms after the last moment for that",
                                command.id, command.firstByteAt - lastSendAt));
            }
        }
        note(command.connection, "runs " + command.id);
        sleep(5);
        command.serve();
    }
}
