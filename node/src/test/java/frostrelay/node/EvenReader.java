package frostrelay.node;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

/** A client that sends commands at once and reads what comes at an even pace, in small pieces. */
final class EvenReader implements AutoCloseable {
    private static final int RECEIVE_BUFFER_BYTES = 64 * 1024;
    private static final int PIECES_PER_SECOND = 20;

    private final Socket socket = new Socket();
    private final int bytesPerSecond;
    private volatile boolean stopped;
    private volatile long receivedBytes;

    EvenReader(int port, String commands, int bytesPerSecond) throws IOException {
        this.bytesPerSecond = bytesPerSecond;
        socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
        socket.getOutputStream().write(commands.getBytes(StandardCharsets.ISO_8859_1));
        Thread thread = new Thread(this::read, "even reader");
        thread.setDaemon(true);
        thread.start();
    }

    private void read() {
        byte[] piece = new byte[Math.max(1, bytesPerSecond / PIECES_PER_SECOND)];
        long startNanos = System.nanoTime();
        try {
            InputStream in = socket.getInputStream();
            for (int length = 0; length >= 0 && !stopped; length = in.read(piece)) {
                receivedBytes += length;
                long dueNanos = startNanos + receivedBytes * 1_000_000_000L / bytesPerSecond;
                TimeUnit.NANOSECONDS.sleep(dueNanos - System.nanoTime());
            }
        } catch (IOException e) {
            // A reset ends the connection too.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    long receivedBytes() {
        return receivedBytes;
    }

    @Override
    public void close() throws IOException {
        stopped = true;
        socket.close();
    }
}
