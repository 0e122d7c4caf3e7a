package frostrelay.node;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** A server on an ephemeral port that runs a test's script on each connection. */
public final class FakeServer implements AutoCloseable {
    /** A script that handles one connection until it ends. */
    public interface ConnectionScript {
        void run(TestConnection connection) throws IOException;
    }

    /** A function that returns the response to a command, or null for none. */
    interface Responder {
        String respondTo(String command);
    }

    public final AtomicInteger connections = new AtomicInteger();

    /**
     * The received commands in the order of arrival, each as its line and, for a write, its data.
     */
    public final BlockingQueue<String> commands = new LinkedBlockingQueue<>();

    /** Contains the element {@code "end"} for every connection that the peer has closed. */
    final BlockingQueue<String> closedConnections = new LinkedBlockingQueue<>();

    private final ServerSocket server;
    private final Thread acceptor;

    public FakeServer(ConnectionScript script) throws IOException {
        server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        acceptor =
                startThread(
                        () -> {
                            while (true) {
                                Socket socket = server.accept();
                                connections.incrementAndGet();
                                startThread(
                                        () -> {
                                            try (TestConnection connection =
                                                    new TestConnection(socket)) {
                                                script.run(connection);
                                            }
                                        });
                            }
                        });
    }

    private interface IoTask {
        void run() throws IOException;
    }

    private static Thread startThread(IoTask task) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                task.run();
                            } catch (IOException e) {
                                // The test is over, or its script ended the connection.
                            }
                        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Returns a server that answers every command with the responder's response. */
    static FakeServer respondingWith(Responder responder) throws IOException {
        FakeServer[] fakeServer = new FakeServer[1];
        fakeServer[0] =
                new FakeServer(
                        connection -> {
                            String command = fakeServer[0].readCommand(connection);
                            while (command != null) {
                                String text = responder.respondTo(command);
                                if (text != null) {
                                    connection.write(text);
                                }
                                command = fakeServer[0].readCommand(connection);
                            }
                            fakeServer[0].closedConnections.add("end");
                        });
        return fakeServer[0];
    }

    /**
     * Returns a server that answers a read with its key as the value, and a write with a fixed
     * receipt.
     */
    public static FakeServer servingAnyCommand() throws IOException {
        return respondingWith(FakeServer::successResponse);
    }

    static String successResponse(String command) {
        String[] words = command.split(" ");
        return words[0].equals("mg")
                ? valueResponse(command, words[1])
                : "HD " + opaque(command) + " c77\r\n";
    }

    static String valueResponse(String command, String value) {
        return "VA "
                + value.length()
                + " "
                + opaque(command)
                + " h1 Lutil=0.5\r\n"
                + value
                + "\r\n";
    }

    static String opaque(String command) {
        for (String word : command.split(" ")) {
            if (word.startsWith("O")) {
                return word;
            }
        }
        return "O";
    }

    /** Reads a command with its data, records it, and returns its line; null at the end. */
    String readCommand(TestConnection connection) throws IOException {
        String line = connection.readLine();
        if (line != null) {
            String[] words = line.split(" ");
            if (words[0].equals("ms")) {
                line += " data=" + connection.readData(Integer.parseInt(words[2]));
            }
            commands.add(line);
        }
        return line;
    }

    /** Waits for the next command; null if none arrives in time. */
    String awaitCommand() throws InterruptedException {
        return commands.poll(TestConnection.TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    String awaitClose() throws InterruptedException {
        return closedConnections.poll(TestConnection.TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    public String endpoint() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** Stops listening, so that connections are refused from now on. */
    public void stopListening() throws IOException, InterruptedException {
        server.close();
        // The kernel keeps listening while a thread is still inside its accept.
        acceptor.join(TestConnection.TIMEOUT_MILLIS);
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
