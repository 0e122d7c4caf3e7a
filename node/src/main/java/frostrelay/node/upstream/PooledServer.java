package frostrelay.node.upstream;

import frostrelay.node.lifecycle.ActionGuard;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/** A cache server of the endpoint list and its connections. Runs on the event loop. */
final class PooledServer {
    /** The number by which events about attempts identify this server, assigned by the listener. */
    final int number;

    InetSocketAddress endpoint;

    /** Whether the endpoint list marks the server as removed or no longer contains it. */
    boolean removed;

    /** The time at which an endpoint list last contained the server. */
    long lastListedNanos;

    /** Whether the endpoint list marks the server as ready, regardless of administrative drains. */
    boolean listedReady;

    /**
     * The latest time at which a send may start; {@link ActionGuard#NEVER} while the server is not
     * drained.
     */
    long sendAllowedUntilNanos = ActionGuard.NEVER;

    /** The number of connections that are being opened or are open. */
    int connectionCount;

    /** The idle connections, the least recently used first. */
    final Deque<UpstreamConnection> idleConnections = new ArrayDeque<>();

    PooledServer(int number) {
        this.number = number;
    }

    /** Returns whether sends may start without a time limit. */
    boolean isUsable() {
        return sendAllowedUntilNanos == ActionGuard.NEVER;
    }

    void closeIdleConnections() {
        for (UpstreamConnection connection : List.copyOf(idleConnections)) {
            connection.retire();
        }
    }
}
