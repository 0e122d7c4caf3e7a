package frostrelay.node;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** A discovery for tests: records requests and answers them with prepared responses. */
final class FakeDiscovery {
    /** Marks the end of a response after which the connection is reset. */
    static final String RESET = "<reset>";

    final BlockingQueue<String> responses = new LinkedBlockingQueue<>();
    final BlockingQueue<String> requests = new LinkedBlockingQueue<>();

    /** Starts to listen. Each call gets the next prepared response; an empty one is a reset. */
    FakeServer start() throws IOException {
        return new FakeServer(
                connection -> {
                    String request = connection.readLine();
                    for (String line = request; line != null && !line.isEmpty(); ) {
                        line = connection.readLine();
                    }
                    requests.add(request);
                    try {
                        String response =
                                responses.poll(
                                        TestConnection.TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
                        if (response == null || response.isEmpty()) {
                            connection.reset();
                        } else if (response.endsWith(RESET)) {
                            connection.write(
                                    response.substring(0, response.length() - RESET.length()));
                            connection.reset();
                        } else {
                            connection.write(response);
                        }
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                });
    }

    static String okResponse(String json) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + json.length() + "\r\n\r\n" + json;
    }

    static String listResponse(int revision, boolean isFullList, String... targets) {
        return okResponse(
                "{\"rev\":"
                        + revision
                        + ",\"all\":"
                        + isFullList
                        + ",\"targets\":["
                        + String.join(",", targets)
                        + "]}");
    }

    static String awaitNext(BlockingQueue<String> queue) throws InterruptedException {
        return queue.poll(TestConnection.TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    /**
     * Skips requests until one contains {@code since}, which names the version of the last list
     * that was accepted; the others must be watches too.
     */
    void awaitRequest(String since) throws InterruptedException {
        for (String request = awaitNext(requests);
                !request.contains(since);
                request = awaitNext(requests)) {
            assertTrue(request.startsWith("GET /catalog/members"));
        }
    }
}
