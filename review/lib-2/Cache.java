package review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

/** A stand-in for a template cache, which handles the commands of a connection in their order. */
public final class Cache implements AutoCloseable {
    /** A command as it came. */
    public static final class Command {
        public String connection;
        public boolean write;
        public String key;
        public String id;
        public Map<String, String> figures = new HashMap<>();

        /** Times of the first and the last byte, by {@link Case#now}. */
        public double firstByteAt;

        public double lastByteAt;
        private OutputStream output;

        /** Writes bytes of an answer. */
        public void write(byte[] bytes) throws IOException {
            synchronized (output) {
                output.write(bytes);
                output.flush();
            }
        }

        public void write(String text) throws IOException {
            write(text.getBytes(StandardCharsets.ISO_8859_1));
        }

        /** Answers as a cache that has served the command. */
        public void serve() throws IOException {
            write(write ? "HD O" + id + " cr" + id + "\r\n" : "VA 5 O" + id + " h1\r\nvalue\r\n");
        }
    }

    /** What the cache does with a command; runs on the thread of its connection. */
    public interface Handler {
        void handle(Cache cache, Command command) throws Exception;
    }

    public final String uid;
    public final String endpoint;
    private final Case owner;
    private final Handler handler;
    private final ServerSocket listening;
    private int connections;

    public Cache(Case owner, String uid, Handler handler) throws IOException {
        this.owner = owner;
        this.uid = uid;
        this.handler = handler;
        this.listening = new ServerSocket(0, 1024, InetAddress.getByName("127.0.0.1"));
        this.endpoint = "127.0.0.1:" + listening.getLocalPort();
        Case.spawn(this::accept);
    }

    /** The cache's entry in a list. */
    public String entry(String state) {
        return "{\"uid\":\"" + uid + "\",\"endpoint\":\"" + endpoint
                + "\",\"az\":\"stgo-centro\",\"model\":\"basico-1c\",\"pod_group\":0,\"state\":\"" + state
                + "\",\"capacity_hint\":1.0,\"boot_ms\":0}";
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = listening.accept();
                String name = uid + "/" + ++connections;
                Case.spawn(() -> serve(socket, name));
            }
        } catch (IOException e) {
            // Closed.
        }
    }

    private void serve(Socket socket, String name) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream input = new BufferedInputStream(socket.getInputStream(), 64 * 1024);
            for (Command command = read(input, socket, name);
                    command != null;
                    command = read(input, socket, name)) {
                handler.handle(this, command);
            }
        } catch (Exception e) {
            owner.note(name, "connection ended: " + e);
        }
    }

    private Command read(InputStream input, Socket socket, String name) throws IOException {
        Command command = new Command();
        StringBuilder line = new StringBuilder();
        for (int c = input.read(); c != '\n'; c = input.read()) {
            if (c < 0) {
                return null;
            }
            if (line.length() == 0) {
                command.firstByteAt = owner.now();
            }
            line.append((char) c);
        }
        String[] words = line.toString().strip().split(" +");
        command.connection = name;
        command.output = socket.getOutputStream();
        if (words[0].equals("mn")) {
            command.write("MN\r\n");
            return read(input, socket, name);
        }
        if (!words[0].equals("mg") && !words[0].equals("ms")) {
            command.write("ERROR\r\n");
            return read(input, socket, name);
        }
        command.write = words[0].equals("ms");
        command.key = words[1];
        for (int i = 2; i < words.length; i++) {
            if (words[i].startsWith("O")) {
                command.id = words[i].substring(1);
            } else if (words[i].startsWith("P")) {
                for (String figure : words[i].substring(1).split(",")) {
                    command.figures.put(
                            figure.substring(0, figure.indexOf('=')),
                            figure.substring(figure.indexOf('=') + 1));
                }
            }
        }
        if (command.write) {
            input.readNBytes(Integer.parseInt(words[2]) + 2);
        }
        command.lastByteAt = owner.now();
        return command;
    }

    @Override
    public void close() throws IOException {
        listening.close();
    }
}
