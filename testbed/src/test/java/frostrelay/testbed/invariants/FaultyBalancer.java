package frostrelay.testbed.invariants;

import com.fasterxml.jackson.jr.ob.JSON;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A balancer that forwards requests to the caches in turn and violates one invariant at intervals,
 * to test that the invariant checker detects it.
 */
final class FaultyBalancer implements AutoCloseable {
    /** The injected defect. */
    enum Fault {
        NONE,
        SAYS_NOTHING,
        ENDS_THE_CONNECTION,
        ANSWERS_TWICE,
        SENDS_USES_TWICE,
        SENDS_NOTES_LATE_AGAIN,
        REFUSES_WHAT_RAN,
        MIXES_VALUES_UP,
        MAKES_RECEIPTS_UP,
        SENDS_TO_THE_FIRST_ONLY
    }

    /** The defect affects one of this many requests, selected by the hash of the id. */
    private static final int FAULT_INTERVAL_REQUESTS = 10;

    private final Fault fault;
    private final long lateSendDelayMillis;
    private final List<InetSocketAddress> caches = new ArrayList<>();
    private final ServerSocket server;
    private final InetSocketAddress discovery;
    private final AtomicInteger requestCount = new AtomicInteger();
    private volatile byte[] lastValue;

    /**
     * Creates a balancer. {@code config}: in the format of a real balancer; {@code
     * lateSendDelayMillis}: delay before a late send.
     */
    FaultyBalancer(String config, InetSocketAddress listen, Fault fault, long lateSendDelayMillis)
            throws IOException {
        this.fault = fault;
        this.lateSendDelayMillis = lateSendDelayMillis;
        Map<?, ?> json = JSON.std.mapFrom(config);
        for (Object target : (List<?>) ((Map<?, ?>) json.get("known")).get("targets")) {
            caches.add(address((String) ((Map<?, ?>) target).get("endpoint")));
        }
        server = new ServerSocket(listen.getPort(), 200, listen.getAddress());
        discovery = address((String) json.get("discovery"));
    }

    /**
     * Accepts clients and polls discovery correctly; only its use of that information is defective.
     */
    void start() {
        startThread(
                () -> {
                    while (true) {
                        Socket client = server.accept();
                        startThread(() -> serve(client));
                    }
                });
        startThread(
                () -> {
                    while (!server.isClosed()) {
                        pollDiscovery();
                        pause(50);
                    }
                });
    }

    private void pollDiscovery() throws IOException {
        try (Socket socket = new Socket(discovery.getAddress(), discovery.getPort())) {
            socket.getOutputStream()
                    .write(
                            "GET /catalog/members HTTP/1.1\r\nHost: x\r\n\r\n"
                                    .getBytes(StandardCharsets.ISO_8859_1));
            socket.getInputStream().readAllBytes();
        }
    }

    private static InetSocketAddress address(String text) {
        int colon = text.indexOf(':');
        return new InetSocketAddress(
                text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    private interface IoTask {
        void run() throws IOException;
    }

    private static void startThread(IoTask task) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                task.run();
                            } catch (IOException e) {
                                // The test or the peer has ended.
                            }
                        });
        thread.setDaemon(true);
        thread.start();
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** A line with its data block. */
    private record Frame(String line, byte[] bytes) {}

    private static Frame read(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        for (int c = in.read(); c >= 0; c = in.read()) {
            bytes.write(c);
            if (c == '\n') {
                String line = bytes.toString(StandardCharsets.ISO_8859_1).strip();
                String[] words = line.split(" ");
                int length =
                        words[0].equals("ms")
                                ? Integer.parseInt(words[2])
                                : words[0].equals("VA") ? Integer.parseInt(words[1]) : -2;
                bytes.write(in.readNBytes(length + 2));
                return new Frame(line, bytes.toByteArray());
            }
        }
        return null;
    }

    /** Returns null if the cache cannot be reached. */
    private Frame forward(InetSocketAddress cache, Frame command) {
        try (Socket socket = new Socket(cache.getAddress(), cache.getPort())) {
            socket.getOutputStream().write(command.bytes);
            return read(new BufferedInputStream(socket.getInputStream()));
        } catch (IOException e) {
            return null;
        }
    }

    private void serve(Socket client) throws IOException {
        try (client) {
            client.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(client.getInputStream());
            for (Frame command = read(in); command != null; command = read(in)) {
                respond(client, command);
            }
        }
    }

    private void respond(Socket client, Frame command) throws IOException {
        int requestNumber = requestCount.incrementAndGet();
        boolean isFaulty = requestNumber % FAULT_INTERVAL_REQUESTS == 0;
        boolean isUse = command.line.contains("c=use");
        InetSocketAddress cache =
                caches.get(
                        fault == Fault.SENDS_TO_THE_FIRST_ONLY ? 0 : requestNumber % caches.size());
        if (isFaulty && fault == Fault.SAYS_NOTHING) {
            return;
        }
        // Selected by id, because a client resends a request that may have crossed a close.
        if (fault == Fault.ENDS_THE_CONNECTION
                && command.line.split(" ")[3].hashCode() % FAULT_INTERVAL_REQUESTS == 0) {
            client.close();
            return;
        }
        if (fault == Fault.SENDS_TO_THE_FIRST_ONLY) {
            // Learns of the start before it sends; otherwise the cache may crash in slow start
            // before a violation can be attributed to a balancer.
            pollDiscovery();
        }
        Frame response = forward(cache, command);
        if (response == null) {
            response =
                    new Frame("", "SERVER_ERROR failed\r\n".getBytes(StandardCharsets.ISO_8859_1));
        }
        if (isUse && fault == Fault.SENDS_USES_TWICE) {
            response = forward(caches.get((requestNumber + 1) % caches.size()), command);
        }
        byte[] bytes = response.bytes;
        if (isUse && fault == Fault.REFUSES_WHAT_RAN) {
            bytes = "SERVER_ERROR busy\r\n".getBytes(StandardCharsets.ISO_8859_1);
        }
        if (isUse && fault == Fault.MAKES_RECEIPTS_UP) {
            bytes =
                    (response.line.replaceFirst(" c\\S+", " cffff") + "\r\n")
                            .getBytes(StandardCharsets.ISO_8859_1);
        }
        if (response.line.startsWith("VA")) {
            byte[] previousValue = lastValue;
            lastValue = bytes;
            if (isFaulty && fault == Fault.MIXES_VALUES_UP && previousValue != null) {
                bytes = previousValue;
            }
        }
        client.getOutputStream().write(bytes);
        if (isFaulty && fault == Fault.ANSWERS_TWICE) {
            client.getOutputStream().write(bytes);
        }
        if (command.line.contains("c=note") && fault == Fault.SENDS_NOTES_LATE_AGAIN) {
            pause(lateSendDelayMillis);
            forward(caches.get((requestNumber + 1) % caches.size()), command);
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
