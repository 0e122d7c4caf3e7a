package frostrelay.node;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;

/** A connection with blocking reads, each of which has a long timeout. */
public final class TestConnection implements AutoCloseable {
    public static final int TIMEOUT_MILLIS = 20_000;
    private final Socket socket;
    private final InputStream in;

    TestConnection(Socket socket) throws IOException {
        this.socket = socket;
        socket.setSoTimeout(TIMEOUT_MILLIS);
        socket.setTcpNoDelay(true);
        in = new BufferedInputStream(socket.getInputStream());
    }

    public TestConnection write(String text) throws IOException {
        return write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    public TestConnection write(byte[] bytes) throws IOException {
        socket.getOutputStream().write(bytes);
        return this;
    }

    /**
     * Returns the next line without its CRLF, or null at the end of the stream or after a reset.
     */
    public String readLine() throws IOException {
        StringBuilder line = new StringBuilder();
        try {
            for (int c = in.read(); c >= 0; c = in.read()) {
                if (c == '\n') {
                    return line.substring(0, line.length() - 1);
                }
                line.append((char) c);
            }
        } catch (SocketException e) {
            return null;
        }
        return null;
    }

    String readData(int length) throws IOException {
        String data = new String(in.readNBytes(length), StandardCharsets.ISO_8859_1);
        readLine();
        return data;
    }

    /** Sends a command and reads one line of its response. */
    public String request(String command) throws IOException {
        return write(command + "\r\n").readLine();
    }

    /** Waits for the peer to close the connection; returns whether it did so without a reset. */
    boolean closesGracefully() throws IOException {
        try {
            while (in.read() >= 0) {
                // Bytes before the end are ignored.
            }
            return true;
        } catch (SocketException e) {
            return false;
        }
    }

    /** Waits for the peer to close the connection, ignoring lines received before that. */
    void awaitClose() throws IOException {
        String line = readLine();
        while (line != null) {
            line = readLine();
        }
    }

    /** Ends the connection with a reset instead of an orderly close. */
    public void reset() throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    /** Closes the connection in the middle of a test. */
    void disconnect() throws IOException {
        socket.close();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
