package frostrelay.rig.wire;

import java.net.InetAddress;
import java.net.InetSocketAddress;

/** Addresses for stand-ins: the loopback range and nothing else. */
public final class Loopback {
    private Loopback() {
    }

    /** A port on 127.0.0.1; 0 lets the system choose. */
    public static InetSocketAddress port(int port) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }

    /** Reads ADDRESS:PORT. Throws IllegalArgumentException for any other form, and for what is not loopback. */
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
