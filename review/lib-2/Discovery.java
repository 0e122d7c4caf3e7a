package review2;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** A stand-in for discovery, whose answers a script gives. */
public final class Discovery implements AutoCloseable {
    /** One call. */
    public static final class Call {
        /** The version that the caller has; -1 if it asks for the whole list. */
        public long since = -1;

        /** How long a watch may wait. */
        public long waitMillis;

        public int number;
        private Socket socket;
        private Case owner;
        private String name;

        public void answer(String json) throws IOException {
            owner.note(name, "call " + number + " answered: " + json);
            respond("200 OK", json);
        }

        /** Ends the call as one that waited too long. */
        public void refuse() throws IOException {
            owner.note(name, "call " + number + " ends with 503");
            respond("503 Service Unavailable", "{}");
        }

        private void respond(String status, String body) throws IOException {
            socket.getOutputStream()
                    .write(
                            ("HTTP/1.1 " + status + "\r\nContent-Type: application/json\r\nContent-Length: "
                                            + body.length() + "\r\nConnection: close\r\n\r\n" + body)
                                    .getBytes(StandardCharsets.UTF_8));
            socket.close();
        }

        /** Resets the connection. */
        public void reset() throws IOException {
            if (!socket.isClosed()) {
                owner.note(name, "call " + number + " is reset");
                socket.setSoLinger(true, 0);
                socket.close();
            }
        }

        /** Returns whether the caller has closed the connection by now. */
        public boolean isAbandoned() {
            try {
                socket.setSoTimeout(1);
                return socket.getInputStream().read() < 0;
            } catch (java.net.SocketTimeoutException e) {
                return false;
            } catch (IOException e) {
                return true;
            }
        }
    }

    /** Serves a call; runs on a thread of its own. */
    public interface Script {
        void serve(Call call) throws Exception;
    }

    public final String endpoint;
    private final Case owner;
    private final String name;
    private final Script script;
    private final ServerSocket listening;
    private int calls;

    /** All calls, so that no connection ends because nothing refers to it. */
    private final List<Call> allCalls = new ArrayList<>();

    public Discovery(Case owner, String name, Script script) throws IOException {
        this.owner = owner;
        this.name = name;
        this.script = script;
        this.listening = new ServerSocket(0, 128, InetAddress.getByName("127.0.0.1"));
        this.endpoint = "127.0.0.1:" + listening.getLocalPort();
        Case.spawn(this::accept);
    }

    /** Returns a list in discovery's form. */
    public static String list(long revision, boolean all, String... entries) {
        return "{\"rev\":" + revision + ",\"all\":" + all + ",\"targets\":["
                + String.join(",", entries) + "]}";
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = listening.accept();
                Case.spawn(() -> serve(socket));
            }
        } catch (SocketException e) {
            // Closed.
        } catch (IOException e) {
            owner.note(name, e.toString());
        }
    }

    private void serve(Socket socket) {
        try {
            BufferedReader reader =
                    new BufferedReader(
                            new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
            String request = reader.readLine();
            if (request == null) {
                return;
            }
            String line = reader.readLine();
            while (line != null && !line.isEmpty()) {
                line = reader.readLine();
            }
            Call call = new Call();
            call.owner = owner;
            call.name = name;
            call.socket = socket;
            String path = request.split(" ")[1];
            for (String part : path.substring(path.indexOf('?') + 1).split("&")) {
                if (part.startsWith("since=")) {
                    call.since = Long.parseLong(part.substring(6));
                } else if (part.startsWith("timeout_ms=")) {
                    call.waitMillis = Long.parseLong(part.substring(11));
                }
            }
            synchronized (this) {
                call.number = ++calls;
                allCalls.add(call);
            }
            owner.note(name, "call " + call.number + ": " + request);
            script.serve(call);
        } catch (Exception e) {
            owner.note(name, e.toString());
        }
    }

    @Override
    public void close() throws IOException {
        listening.close();
    }
}
