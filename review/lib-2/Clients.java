package review2;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Random;

/** Usual clients: reads at an even mean rate, on connections that are kept and used again. */
public final class Clients {
    private final Case owner;
    private final Balancer balancer;
    private final Random random = new Random(11);
    private final Deque<Client> idle = new ArrayDeque<>();
    private volatile boolean stopped;

    public Clients(Case owner, Balancer balancer) {
        this.owner = owner;
        this.balancer = balancer;
    }

    /** Starts to send reads in the background. */
    public void start(double requestsPerSecond) {
        Case.spawn(
                () -> {
                    double next = owner.now();
                    for (int number = 1; !stopped; number++) {
                        next += -Math.log(1 - random.nextDouble()) * 1000 / requestsPerSecond;
                        Case.sleep(next - owner.now());
                        String id = String.format("%016x", 0xc100000000000000L + number);
                        String key = String.format("%016x", random.nextLong());
                        Case.spawn(() -> read(id, key));
                    }
                });
    }

    public void stop() {
        stopped = true;
    }

    private void read(String id, String key) {
        try {
            Client client;
            synchronized (idle) {
                client = idle.poll();
            }
            client = client == null ? new Client(owner, "client", balancer.listen) : client;
            client.ask("mg " + key + " v O" + id + " Pc=leer-plantilla,t=estudio-andes,d=3000\r\n", 5000);
            synchronized (idle) {
                idle.push(client);
            }
        } catch (IOException e) {
            owner.note("client", id + ": " + e);
        }
    }
}
