package frostrelay.testbed.wire;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

/** Loopback addresses for the testbed's servers. */
public final class Loopback {
    private static final int FIRST_PORT = 12_000;
    private static final int PORTS = 18_000;

    /** Testbeds that run in parallel start at different ports. */
    private static final AtomicInteger NEXT =
            new AtomicInteger((int) (ProcessHandle.current().pid() * 997));

    private Loopback() {}

    /** Returns an address on 127.0.0.1; port 0 stands for any free port. */
    public static InetSocketAddress port(int port) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }

    /**
     * Returns a free port below the range from which the system assigns ports to outgoing
     * connections, so that no client takes the port of a balancer while it restarts. Throws
     * IOException if no port is free.
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
                // The port is in use.
            }
        }
        throw new IOException("no free port");
    }

    /**
     * Parses ADDRESS:PORT. Throws IllegalArgumentException for any other format and for addresses
     * other than loopback.
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

    /** Returns an address in the format ADDRESS:PORT. */
    public static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
