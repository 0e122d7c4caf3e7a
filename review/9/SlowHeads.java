package review2;

import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.FutureTask;
import java.util.concurrent.TimeUnit;

/** Clients that kept their connections write the head of their next request slowly. */
public final class SlowHeads extends Case {
    /** How long the head of a request takes; clients may need 2 s. */
    private static final double HEAD_MILLIS = 1800;

    private static final int PIECES = 9;

    /** How long the clients rest between an answer and their next request. */
    private static final double[] REST_MILLIS = {10_000, 15_000, 18_500, 18_800, 19_100, 19_400};

    private Balancer balancer;

    public static void main(String[] arguments) {
        run(new SlowHeads());
    }

    @Override
    protected void play() throws Exception {
        Cache cache = new Cache(this, "s-0", this::handle);
        Discovery discovery =
                new Discovery(this, "discovery", new CalmDiscovery(2, cache.entry("Ready")));
        balancer = new Balancer("n1");
        balancer.discovery = discovery.endpoint;
        balancer.known = Discovery.list(2, true, cache.entry("Ready"));
        balancer.settings = new Settings().json();
        start(balancer);
        sleep(500);
        CountDownLatch done = new CountDownLatch(REST_MILLIS.length);
        for (int i = 0; i < REST_MILLIS.length; i++) {
            int number = i;
            spawn(
                    () -> {
                        playClient(number);
                        done.countDown();
                    });
        }
        if (!done.await(60, TimeUnit.SECONDS)) {
            throw new IOException("clients are not done");
        }
    }

    private void handle(Cache cache, Cache.Command command) throws Exception {
        note(command.connection, "runs " + command.id);
        sleep(5);
        command.serve();
    }

    private void playClient(int number) {
        String name = "client " + number;
        try (Client client = new Client(this, name, balancer.listen)) {
            String first = client.ask(command(number, 1), 5000);
            if (first == null || !first.startsWith("VA ")) {
                throw new IOException("the first request is not served");
            }
            sleep(REST_MILLIS[number]);
            String command = command(number, 2);
            note(name, "begins after a rest of " + REST_MILLIS[number] + " ms: " + command.strip());
            FutureTask<String> reading =
                    new FutureTask<>(
                            () -> {
                                String read = client.readAnswer(8000);
                                note(name, "reads " + (read == null ? "the end of the connection" : read));
                                return read;
                            });
            spawn(reading);
            if (trouble) {
                int size = (command.length() + PIECES - 1) / PIECES;
                for (int from = 0; from < command.length(); from += size) {
                    client.write(command.substring(from, Math.min(command.length(), from + size)));
                    if (from + size < command.length()) {
                        sleep(HEAD_MILLIS / (PIECES - 1));
                    }
                }
            } else {
                client.write(command);
            }
            note(name, "has written the last byte");
            String answer = reading.get();
            note(name, "has " + (answer == null ? "no answer" : answer));
            if (answer == null) {
                broken(name + ": no answer to a request that was written whole; the balancer ended the connection");
            }
        } catch (IOException | ExecutionException e) {
            broken(name + ": no answer: " + e);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private static String command(int client, int number) {
        String id = String.format("%016x", 0xa000000000000000L + client * 0x100 + number);
        return "mg " + id + " v O" + id + " Pc=leer-plantilla,t=estudio-andes,d=3000\r\n";
    }
}
