package frostrelay.node.upstream;

import frostrelay.node.lifecycle.ActionGuard;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/** One cache server of the endpoint list with its connections. Runs on the event loop. */
final class PooledServer {
    /** The number that the listener gave this server, for events about its attempts. */
    final int number;

    InetSocketAddress endpoint;

    /** Whether the endpoint list names it as removed, or no longer names it. */
    boolean removed;

    /** When the endpoint list named it last. */
    long lastListedNanos;

    /** Whether the endpoint list has it as ready, regardless of administrative drains. */
    boolean listedReady;

    /** The last moment at which a send may start; {@link ActionGuard#NEVER} while it is in use. */
    long sendAllowedUntilNanos = ActionGuard.NEVER;

    /** Connections that are being opened or are open. */
    int connectionCount;

    /** Its idle connections, the least recently used first. */
    final Deque<UpstreamConnection> idleConnections = new ArrayDeque<>();

    PooledServer(int number) {
        this.number = number;
    }

    /** Whether sends may start without a time limit. */
    boolean isUsable() {
        return sendAllowedUntilNanos == ActionGuard.NEVER;
    }

    void closeIdleConnections() {
        for (UpstreamConnection connection : List.copyOf(idleConnections)) {
            connection.retire();
        }
    }
}
