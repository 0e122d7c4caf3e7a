package frostrelay.testbed.wire;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

/** Addresses for stand-ins: the loopback range and nothing else. */
public final class Loopback {
    private static final int FIRST_PORT = 12_000;
    private static final int PORTS = 18_000;

    /** Rigs that run side by side begin at different places. */
    private static final AtomicInteger NEXT =
            new AtomicInteger((int) (ProcessHandle.current().pid() * 997));

    private Loopback() {}

    /** A port on 127.0.0.1; 0 lets the system choose. */
    public static InetSocketAddress port(int port) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }

    /**
     * A port that is free now and stays so: below those that the system gives to connections, so
     * that one of a balancer that is away for a while is not taken by somebody's client. Throws
     * IOException if there is none.
     */
    public static int freePort() throws IOException {
        for (int i = 0; i < PORTS; i++) {
            int port = FIRST_PORT + Math.floorMod(NEXT.getAndIncrement(), PORTS);
            try (ServerSocket tcp = new ServerSocket(port, 1, InetAddress.getLoopbackAddress());
                    DatagramSocket udp = new DatagramSocket(port(port))) {
                if (tcp.getLocalPort() == udp.getLocalPort()) {
                    return port;
                }
            } catch (IOException e) {
                // Somebody has it.
            }
        }
        throw new IOException("no free port");
    }

    /**
     * Reads ADDRESS:PORT. Throws IllegalArgumentException for any other form, and for what is not
     * loopback.
     */
    public static InetSocketAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        String host = colon < 0 ? "" : text.substring(0, colon);
        if (!host.matches("127\\.\\d{1,3}\\.\\d{1,3}\\.\\d{1,3}|localhost|\\[::1\\]")) {
            throw new IllegalArgumentException("no loopback address and port: " + text);
        }
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            return new InetSocketAddress(host.equals("localhost") ? "127.0.0.1" : host, port);
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException("no loopback address and port: " + text);
        }
    }

    /** ADDRESS:PORT. */
    public static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
