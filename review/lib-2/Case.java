package review2;

import java.io.IOException;
import java.io.PrintWriter;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * One case of the review: the record of what happened, the processes that it starts, and the
 * verdict. Exit status: 10 if the rule was broken, 0 if it held, anything else if the case could
 * not run; run.sh translates these.
 */
public abstract class Case {
    private static final int EXIT_BROKEN = 10;
    private static final int EXIT_HELD = 0;
    private static final int EXIT_COULD_NOT_RUN = 3;
    private static final long LIMIT_MILLIS = 115_000;
    private static final int FIRST_PORT = 12_000;
    private static final int LAST_PORT = 32_000;
    private static final Random PORTS = new Random();
    private static final Set<Integer> USED_PORTS = new HashSet<>();

    /** Whether the disruption takes place. */
    protected final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

    private final Path root = Path.of(System.getProperty("case.root"));
    private final Path folder = Path.of(System.getProperty("case.folder"));
    private final long startedAtNanos = System.nanoTime();
    private final List<Balancer> balancers = new ArrayList<>();
    private final List<String> breaches = new ArrayList<>();
    private Path temporary;
    private PrintWriter record;

    /** Plays the case; each breach of the rule is reported with {@link #broken}. */
    protected abstract void play() throws Exception;

    /** Runs a case and ends the process. */
    protected static void run(Case newCase) {
        newCase.runAndExit();
    }

    private void runAndExit() {
        int status = EXIT_COULD_NOT_RUN;
        try {
            record = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")));
            temporary = Files.createTempDirectory("review2-");
            Runtime.getRuntime().addShutdownHook(new Thread(this::cleanUp));
            startWatchdog();
            note("case", getClass().getSimpleName() + (trouble ? "" : " without the disruption"));
            play();
            synchronized (breaches) {
                status = breaches.isEmpty() ? EXIT_HELD : EXIT_BROKEN;
                note("verdict", breaches.isEmpty() ? "the rule held" : "the rule was broken");
                System.out.println(
                        breaches.isEmpty() ? "held" : "broken: " + breaches.size() + " times, first: " + breaches.get(0));
            }
        } catch (Throwable e) {
            if (record != null) {
                note("verdict", "the case could not run: " + e);
            }
            e.printStackTrace();
        }
        System.exit(status);
    }

    private void startWatchdog() {
        Thread watchdog =
                new Thread(
                        () -> {
                            sleep(LIMIT_MILLIS);
                            note("verdict", "the case could not run: it takes too long");
                            System.exit(EXIT_COULD_NOT_RUN);
                        });
        watchdog.setDaemon(true);
        watchdog.start();
    }

    private void cleanUp() {
        for (Balancer balancer : balancers) {
            balancer.kill();
        }
        try {
            for (Balancer balancer : balancers) {
                note("log of " + balancer.name, "");
                for (String line : Files.readAllLines(balancer.log, StandardCharsets.UTF_8)) {
                    record.println("    " + line);
                }
            }
        } catch (IOException e) {
            record.println(e);
        }
        try (Stream<Path> files = Files.walk(temporary)) {
            files.sorted(Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
        } catch (IOException e) {
            record.println(e);
        }
        record.flush();
        record.close();
    }

    /** The time since the start of the case in milliseconds. */
    protected final double now() {
        return (System.nanoTime() - startedAtNanos) / 1e6;
    }

    /** Writes a line to the record. */
    public final void note(String who, String what) {
        synchronized (record) {
            record.println(String.format(Locale.ROOT, "%10.1f ms  %-16s %s", now(), who, what));
            record.flush();
        }
    }

    /** Reports a breach of the rule. */
    protected final void broken(String what) {
        synchronized (breaches) {
            breaches.add(what);
        }
        note("BROKEN", what);
    }

    protected static void sleep(double millis) {
        try {
            if (millis > 0) {
                TimeUnit.MICROSECONDS.sleep((long) (millis * 1000));
            }
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Waits until the given time of {@link #now}. */
    protected final void sleepUntil(double atMillis) {
        sleep(atMillis - now());
    }

    protected static Thread spawn(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /**
     * Returns a free loopback address as ADDRESS:PORT, below the ports that the system gives to
     * outgoing connections.
     */
    protected static synchronized String freeAddress() throws IOException {
        while (true) {
            int port = FIRST_PORT + PORTS.nextInt(LAST_PORT - FIRST_PORT);
            try (ServerSocket socket = new ServerSocket()) {
                socket.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port));
                if (USED_PORTS.add(port)) {
                    return "127.0.0.1:" + port;
                }
            } catch (BindException e) {
                // In use: another one is tried.
            }
        }
    }

    protected static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        return new InetSocketAddress(
                text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    /** Starts a balancer with the run line of the deploy file and waits until it answers mn. */
    protected final Balancer start(Balancer balancer) throws Exception {
        balancers.add(balancer);
        balancer.start(this, root, Files.createDirectory(temporary.resolve(balancer.name)));
        balancer.awaitReady(this);
        return balancer;
    }
}
