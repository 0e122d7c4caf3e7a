package review2;

import java.util.ArrayList;
import java.util.List;

/** A new configuration moves discovery; the first call there waits too long and fails. */
public final class MovedDiscovery extends Case {
    private static final int CACHES = 4;
    private static final int INSTANCES = 12;
    private static final double REQUESTS_PER_SECOND = 150;

    /** The wait after which discovery ends a call with 503. */
    private static final double QUEUE_MILLIS = 3000;

    private static final double TOLD_MILLIS = 4000;
    private static final double GRACE_MILLIS = 500 + 50;

    /** For the time in which a sent byte waits to be read by this stand-in. */
    private static final double LAG_MILLIS = 100;

    private final List<Cache> caches = new ArrayList<>();
    private volatile double hangupAt;
    private int sentTooLate;

    public static void main(String[] arguments) {
        run(new MovedDiscovery());
    }

    @Override
    protected void play() throws Exception {
        for (int i = 0; i < CACHES; i++) {
            caches.add(new Cache(this, "s-" + i, this::handle));
        }
        String[] before = caches.stream().map(cache -> cache.entry("Ready")).toArray(String[]::new);
        String[] after = before.clone();
        after[0] = caches.get(0).entry("Terminating");
        List<Discovery.Call> open = new ArrayList<>();
        Discovery old =
                new Discovery(
                        this,
                        "old discovery",
                        call -> {
                            synchronized (open) {
                                open.add(call);
                            }
                            new CalmDiscovery(5, before).serve(call);
                        });
        Discovery moved =
                new Discovery(
                        this,
                        "new discovery",
                        call -> {
                            if (trouble && call.number == 1) {
                                sleep(QUEUE_MILLIS);
                                call.refuse();
                            } else {
                                new CalmDiscovery(9, after).serve(call);
                            }
                        });
        Balancer balancer = new Balancer("n12");
        balancer.discovery = old.endpoint;
        balancer.known = Discovery.list(5, true, before);
        Settings settings = new Settings();
        settings.instances = INSTANCES;
        settings.rank = INSTANCES - 1;
        balancer.settings = settings.json();
        start(balancer);
        Clients clients = new Clients(this, balancer);
        clients.start(REQUESTS_PER_SECOND);
        sleep(8000);

        balancer.discovery = moved.endpoint;
        balancer.writeConfig();
        old.close();
        balancer.signal("HUP");
        hangupAt = now();
        sleep(1500);
        synchronized (open) {
            for (Discovery.Call call : open) {
                call.reset();
            }
        }
        sleep(10_000);
        clients.stop();
        sleep(500);
        note("sum", sentTooLate + " sends to s-0 later than " + (TOLD_MILLIS + GRACE_MILLIS + LAG_MILLIS) + " ms after SIGHUP");
    }

    private void handle(Cache cache, Cache.Command command) throws Exception {
        if (hangupAt > 0 && cache == caches.get(0)) {
            double sinceHangup = command.firstByteAt - hangupAt;
            note(command.connection, String.format("gets %s, %.0f ms after SIGHUP", command.id, sinceHangup));
            if (sinceHangup > TOLD_MILLIS + GRACE_MILLIS + LAG_MILLIS) {
                sentTooLate++;
                broken(
                        String.format(
                                "%s was sent to s-0, which drains, %.0f ms after SIGHUP", command.id, sinceHangup));
            }
        }
        note(command.connection, "runs " + command.id);
        sleep(5);
        command.serve();
    }
}
