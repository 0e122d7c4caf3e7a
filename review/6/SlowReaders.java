package review2;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients read long values, more of them at once than memory holds, and need seconds for each. */
public final class SlowReaders extends Case {
    private static final int CACHES = 9;

    /** Less than a third of the descriptors. */
    private static final int CLIENTS = 300;

    /** Between the starts of two clients, which makes 300 requests a second. */
    private static final double START_MILLIS = 10;

    private static final int VALUES = 3;

    /** How long a client needs to read a value, at an even pace. */
    private static final double READ_MILLIS = 9000;

    public static void main(String[] arguments) {
        run(new SlowReaders());
    }

    @Override
    protected void play() throws Exception {
        LongValues longValues = new LongValues(this);
        List<Cache> caches = new ArrayList<>();
        for (int i = 0; i < CACHES; i++) {
            caches.add(new Cache(this, "s-" + i, longValues::handle));
        }
        String[] entries = caches.stream().map(cache -> cache.entry("Ready")).toArray(String[]::new);
        Discovery discovery = new Discovery(this, "discovery", new CalmDiscovery(2, entries));
        Balancer balancer = new Balancer("n1");
        balancer.discovery = discovery.endpoint;
        balancer.known = Discovery.list(2, true, entries);
        balancer.settings = new Settings().json();
        start(balancer);
        sleep(500);

        AtomicInteger whole = new AtomicInteger();
        CountDownLatch done = new CountDownLatch(CLIENTS);
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            spawn(
                    () -> {
                        LongValues.Result result =
                                longValues.read(balancer.listen, number, VALUES, trouble ? READ_MILLIS : 0);
                        whole.addAndGet(result.whole);
                        if (result.cutOff != null) {
                            broken("client " + number + " was cut off: " + result.cutOff);
                        }
                        done.countDown();
                    });
            sleep(START_MILLIS);
        }
        if (!done.await(80, TimeUnit.SECONDS)) {
            throw new IOException("clients are not done");
        }
        note("sum", whole + " whole values for " + CLIENTS + " clients");
    }
}
