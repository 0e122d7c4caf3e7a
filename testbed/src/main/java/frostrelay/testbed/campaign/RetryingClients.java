package frostrelay.testbed.campaign;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients that stay with one balancer whatever it says: each sends a read, and on any answer, or
 * where its connection is closed, the next one at once. They count what was answered, what was
 * closed without an answer behind a whole request on a connection that had answered before, which a
 * client sends once more, and what was neither answered nor closed in its time.
 */
final class RetryingClients {
    private static final int REQUEST_TIMEOUT_MILLIS = 2_000;
    private static final int GRACE_MILLIS = 1_000;

    /** Requests of one client in a play: the loop is bounded, whatever it meets. */
    private static final int MAX_REQUESTS_PER_CLIENT = 20_000;

    private static final int RECONNECT_DELAY_MILLIS = 5;

    private final InetSocketAddress address;
    private final List<Thread> threads = new ArrayList<>();
    final AtomicInteger answered = new AtomicInteger();
    final AtomicInteger closed = new AtomicInteger();
    final AtomicInteger unanswered = new AtomicInteger();
    final AtomicInteger mismatched = new AtomicInteger();
    private volatile boolean stopped;

    RetryingClients(InetSocketAddress address) {
        this.address = address;
    }

    void start(int clients) {
        for (int i = 0; i < clients; i++) {
            int client = i;
            Thread thread = new Thread(() -> run(client), "retrier");
            thread.setDaemon(true);
            threads.add(thread);
            thread.start();
        }
    }

    private void run(int client) {
        int number = 0;
        while (!stopped && number < MAX_REQUESTS_PER_CLIENT) {
            try (Socket socket = new Socket()) {
                socket.connect(address, GRACE_MILLIS);
                socket.setSoTimeout(REQUEST_TIMEOUT_MILLIS + GRACE_MILLIS);
                socket.setTcpNoDelay(true);
                BufferedReader in =
                        new BufferedReader(
                                new InputStreamReader(
                                        socket.getInputStream(), StandardCharsets.ISO_8859_1));
                for (boolean first = true;
                        !stopped && number < MAX_REQUESTS_PER_CLIENT;
                        first = false) {
                    if (!sendRequest(
                            socket.getOutputStream(),
                            in,
                            String.format(Locale.ROOT, "f%02x%013x", client, ++number),
                            first)) {
                        break;
                    }
                }
            } catch (IOException e) {
                // Not reached, or reset before anything was sent: it comes again.
            }
            try {
                Thread.sleep(RECONNECT_DELAY_MILLIS);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    /** Whether the connection goes on. */
    private boolean sendRequest(OutputStream out, BufferedReader in, String id, boolean first)
            throws IOException {
        out.write(
                ("mg key-"
                                + id.charAt(id.length() - 1)
                                + " v O"
                                + id
                                + " Pc=read,t=t,d="
                                + REQUEST_TIMEOUT_MILLIS
                                + ",h=1000\r\n")
                        .getBytes(StandardCharsets.ISO_8859_1));
        try {
            String line = in.readLine();
            if (line == null) {
                // A connection that was just made, or one that went idle a moment ago: closes cross
                // requests.
                closed.addAndGet(first ? 0 : 1);
                return false;
            }
            if (line.startsWith("VA ")) {
                String value = in.readLine();
                mismatched.addAndGet(value != null && value.startsWith(id + '|') ? 0 : 1);
            }
            answered.incrementAndGet();
            return true;
        } catch (SocketTimeoutException e) {
            unanswered.incrementAndGet();
            return false;
        }
    }

    void stop() throws InterruptedException {
        stopped = true;
        for (Thread thread : threads) {
            thread.join(REQUEST_TIMEOUT_MILLIS + GRACE_MILLIS);
        }
    }
}
