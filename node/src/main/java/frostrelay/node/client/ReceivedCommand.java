package frostrelay.node.client;

import frostrelay.node.memcache.MetaFrame;

/**
 * A command that was read and is not begun yet.
 *
 * @param arrivedAtNanos when its last bytes arrived, by {@link frostrelay.node.time.Clock}
 */
record ReceivedCommand(MetaFrame frame, long arrivedAtNanos) {}
