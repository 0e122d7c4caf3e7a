package review2;

import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** One connection of a client. */
public final class Client implements AutoCloseable {
    public final String name;
    private final Case owner;
    private final Socket socket;
    private final InputStream input;

    public Client(Case owner, String name, String balancer) throws IOException {
        this(owner, name, balancer, 0);
    }

    /** A receiveBuffer of 0 leaves the size of the socket's buffer to the system. */
    public Client(Case owner, String name, String balancer, int receiveBuffer) throws IOException {
        this.owner = owner;
        this.name = name;
        socket = new Socket();
        if (receiveBuffer > 0) {
            socket.setReceiveBufferSize(receiveBuffer);
        }
        socket.connect(Case.address(balancer), 1000);
        socket.setTcpNoDelay(true);
        input = new BufferedInputStream(socket.getInputStream(), 64 * 1024);
    }

    public void write(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Reads a line without its CRLF; null at the end of the stream. */
    public String readLine(int timeoutMillis) throws IOException {
        socket.setSoTimeout(timeoutMillis);
        StringBuilder line = new StringBuilder();
        for (int c = input.read(); c != '\n'; c = input.read()) {
            if (c < 0) {
                return null;
            }
            line.append((char) c);
        }
        return line.substring(0, Math.max(0, line.length() - 1));
    }

    /** Reads as many bytes; returns how many came before the end of the stream. */
    public int readBytes(int count, int timeoutMillis) throws IOException {
        socket.setSoTimeout(timeoutMillis);
        byte[] piece = new byte[64 * 1024];
        int received = 0;
        while (received < count) {
            int read = input.read(piece, 0, Math.min(piece.length, count - received));
            if (read < 0) {
                break;
            }
            received += read;
        }
        return received;
    }

    /**
     * Reads an answer with its value. Returns its first line; null if the connection ended without
     * a whole answer.
     */
    public String readAnswer(int timeoutMillis) throws IOException {
        String line = readLine(timeoutMillis);
        if (line != null && line.startsWith("VA ")) {
            int length = Integer.parseInt(line.split(" ")[1]) + 2;
            if (readBytes(length, timeoutMillis) < length) {
                throw new EOFException("the value is cut off");
            }
        }
        return line;
    }

    /** Sends a command and reads its answer, both of which are recorded. */
    public String ask(String command, int timeoutMillis) throws IOException {
        owner.note(name, "sends " + command.strip().replace("\r\n", " "));
        write(command);
        String answer = readAnswer(timeoutMillis);
        owner.note(name, "gets " + (answer == null ? "the end of the connection" : answer));
        return answer;
    }

    @Override
    public void close() {
        try {
            socket.close();
        } catch (IOException e) {
            owner.note(name, "close: " + e);
        }
    }
}
