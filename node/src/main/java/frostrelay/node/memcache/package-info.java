/**
 * Codec of the memcache meta protocol, shared by the connections to clients and to cache servers.
 *
 * <p>{@link frostrelay.node.memcache.MetaDecoder} splits a byte stream into {@link
 * frostrelay.node.memcache.MetaFrame}s, {@link frostrelay.node.memcache.MetaCommandParser}
 * validates a client's frame and converts it to a {@link frostrelay.node.memcache.MetaCommand}, and
 * the command encodes itself for the cache server. A decoder belongs to one connection and runs on
 * its event loop; frames and commands are immutable. A data block is reserved in a {@link
 * frostrelay.node.net.MemoryPool} and released when the frame is complete or the decoder is
 * removed. After a framing error a decoder parses no further frames.
 */
package frostrelay.node.memcache;
