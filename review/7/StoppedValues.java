package review2;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** A planned restart begins while caches give long values, for which they need seconds. */
public final class StoppedValues extends Case {
    private static final int CACHES = 3;
    private static final int CLIENTS = 5;
    private static final int VALUE_BYTES = 2 * 1024 * 1024;

    /** How long a cache needs to give a value, in pieces of the same size and at an even pace. */
    private static final double GIVE_MILLIS = 9000;

    private static final int PIECES = 256;
    private static final double STOP_AFTER_MILLIS = 1500;

    /** When the platform would kill the balancer; 3.7 s after SIGTERM is the earliest. */
    private static final double KILL_MILLIS = 15_000;

    private Balancer balancer;

    public static void main(String[] arguments) {
        run(new StoppedValues());
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

        CountDownLatch done = new CountDownLatch(CLIENTS);
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            spawn(
                    () -> {
                        read(number);
                        done.countDown();
                    });
        }
        sleep(STOP_AFTER_MILLIS);
        double stoppedAt = now();
        if (trouble) {
            balancer.signal("TERM");
            while (balancer.isAlive() && now() < stoppedAt + KILL_MILLIS) {
                sleep(20);
            }
            note(
                    balancer.name,
                    balancer.isAlive()
                            ? "still runs; the platform would kill it now"
                            : String.format("ended by itself %.0f ms after SIGTERM", now() - stoppedAt));
        }
        if (!done.await(30, TimeUnit.SECONDS)) {
            throw new IOException("clients are not done");
        }
    }

    private void handle(Cache cache, Cache.Command command) throws Exception {
        note(command.connection, "begins to give the value for " + command.id);
        command.write("VA " + VALUE_BYTES + " O" + command.id + " h1\r\n");
        double startedAt = now();
        byte[] piece = new byte[VALUE_BYTES / PIECES];
        try {
            for (int i = 0; i < PIECES; i++) {
                sleepUntil(startedAt + GIVE_MILLIS * i / PIECES);
                command.write(piece);
            }
            command.write("\r\n");
            note(command.connection, "gave all of the value for " + command.id);
        } catch (IOException e) {
            note(command.connection, "was kept from giving the rest of the value for " + command.id + ": " + e);
            throw e;
        }
    }

    private void read(int number) {
        String name = "client " + number;
        String id = String.format("%016x", 0x5000000000000000L + number);
        int received = 0;
        boolean begun = false;
        try (Client client = new Client(this, name, balancer.listen)) {
            client.write("mg " + id + " v O" + id + " Pc=leer-plantilla,t=estudio-andes,d=3000\r\n");
            note(name, "asks for the value of " + id);
            String line = client.readLine(5000);
            note(name, "gets " + line);
            if (line == null) {
                broken(name + ": the connection ended without an answer");
                return;
            }
            if (!line.startsWith("VA ")) {
                return;
            }
            begun = true;
            received = client.readBytes(VALUE_BYTES + 2, 8000);
            note(name, "reads " + received + " bytes of " + (VALUE_BYTES + 2));
            if (received < VALUE_BYTES + 2) {
                broken(name + ": cut off, " + received + " of " + (VALUE_BYTES + 2) + " bytes of the value");
            }
        } catch (IOException e) {
            if (begun) {
                broken(name + ": cut off: " + e);
            } else {
                note(name, "not judged, no value had begun: " + e);
            }
        }
    }
}
