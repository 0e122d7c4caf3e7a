package frostrelay.node.client;

import frostrelay.node.memcache.MetaFrame;

/**
 * A command that has been read but not started.
 *
 * @param arrivedAtNanos the arrival time of its last bytes, by {@link frostrelay.node.time.Clock}
 */
record ReceivedCommand(MetaFrame frame, long arrivedAtNanos) {}
