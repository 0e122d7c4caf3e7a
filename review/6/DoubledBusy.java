package review2;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Caches turn some reads away; a second copy of that answer comes some milliseconds late. */
public final class DoubledBusy extends Case {
    private static final int CACHES = 3;
    private static final double REQUESTS_PER_SECOND = 250;
    private static final double PLAYED_MILLIS = 15_000;

    /** Share of the reads that are turned away, and of the writes among the requests. */
    private static final double BUSY_SHARE = 0.05;

    private static final double WRITE_SHARE = 0.1;
    private static final double COPY_LATE_MILLIS = 6;
    private static final double READ_MILLIS = 2;
    private static final double WRITE_MILLIS = 15;

    private final Random cacheRandom = new Random(7);
    private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
    private final Deque<Client> idle = new ArrayDeque<>();
    private Balancer balancer;

    public static void main(String[] arguments) {
        run(new DoubledBusy());
    }

    @Override
    protected void play() throws Exception {
        List<Cache> caches = new ArrayList<>();
        for (int i = 0; i < CACHES; i++) {
            caches.add(new Cache(this, "s-" + i, this::handle));
        }
        String[] entries = caches.stream().map(cache -> cache.entry("Ready")).toArray(String[]::new);
        Discovery discovery = new Discovery(this, "discovery", new CalmDiscovery(2, entries));
        balancer = new Balancer("n1");
        balancer.discovery = discovery.endpoint;
        balancer.known = Discovery.list(2, true, entries);
        balancer.settings = new Settings().json();
        start(balancer);
        sleep(500);

        Random random = new Random(11);
        double until = now() + PLAYED_MILLIS;
        double next = now();
        for (int number = 1; next < until; number++) {
            next += -Math.log(1 - random.nextDouble()) * 1000 / REQUESTS_PER_SECOND;
            sleepUntil(next);
            String id = String.format("%016x", 0x9b10000000000000L + number);
            String key = String.format("%016x", random.nextLong());
            boolean write = random.nextDouble() < WRITE_SHARE;
            spawn(() -> ask(id, key, write));
        }
        sleep(6000);
        runs.forEach(
                (id, count) -> {
                    if (count.get() > 1) {
                        broken("registrar-uso " + id + " was run " + count.get() + " times");
                    }
                });
        note("sum", runs.size() + " registrar-uso were run");
    }

    private void handle(Cache cache, Cache.Command command) throws Exception {
        if (!command.write) {
            boolean busy;
            synchronized (cacheRandom) {
                busy = cacheRandom.nextDouble() < BUSY_SHARE;
            }
            if (!busy) {
                note(command.connection, "runs leer-plantilla " + command.id);
                sleep(READ_MILLIS);
                command.serve();
                return;
            }
            note(command.connection, "turns " + command.id + " away: SERVER_ERROR busy");
            command.write("SERVER_ERROR busy\r\n");
            if (trouble) {
                spawn(
                        () -> {
                            sleep(COPY_LATE_MILLIS);
                            note(command.connection, "the second copy of that answer to " + command.id);
                            try {
                                command.write("SERVER_ERROR busy\r\n");
                            } catch (IOException e) {
                                note(command.connection, "the copy was not wanted: " + e);
                            }
                        });
            }
            return;
        }
        int count = runs.computeIfAbsent(command.id, id -> new AtomicInteger()).incrementAndGet();
        note(command.connection, "runs registrar-uso " + command.id + ", run " + count);
        sleep(WRITE_MILLIS);
        command.serve();
    }

    private void ask(String id, String key, boolean write) {
        try {
            Client client;
            synchronized (idle) {
                client = idle.poll();
            }
            client = client == null ? new Client(this, "client", balancer.listen) : client;
            if (write) {
                client.ask("ms " + key + " 5 O" + id + " Pc=registrar-uso,t=estudio-andes,d=5000\r\nhello\r\n", 6000);
            } else {
                client.ask("mg " + key + " v O" + id + " Pc=leer-plantilla,t=estudio-andes,d=3000\r\n", 6000);
            }
            synchronized (idle) {
                idle.push(client);
            }
        } catch (IOException e) {
            note("client", id + ": " + e);
        }
    }
}
