package frostrelay.node.upstream;

import frostrelay.node.memcache.MetaDecoder;
import frostrelay.node.net.MemoryAccount;
import frostrelay.node.net.MemoryPool;
import frostrelay.node.proxy.Attempt;

import io.netty.channel.Channel;

/**
 * The memory for what one connection receives: the response of its attempt is reserved for the
 * client that waits for it, other bytes are counted for all connections together. While there is no
 * memory for a response, the connection is not read. Runs on the event loop.
 */
final class IncomingResponseMemory implements MetaDecoder.ResponseMemory {
    private final UpstreamConnectionPool pool;
    private final MemoryAccount undecodedAccount;
    private final MetaDecoder decoder;
    private Channel channel;
    private Attempt attempt;
    private int undecodedBytes;

    IncomingResponseMemory(UpstreamConnectionPool pool) {
        this.pool = pool;
        this.undecodedAccount = pool.undecodedBytes();
        this.decoder = MetaDecoder.forResponses(this);
    }

    /** Returns the decoder of this connection's responses. */
    MetaDecoder decoder() {
        return decoder;
    }

    void setChannel(Channel connectedChannel) {
        channel = connectedChannel;
    }

    /** Sets the attempt whose response is expected; null if there is none. */
    void setAttempt(Attempt newAttempt) {
        attempt = newAttempt;
    }

    @Override
    public MemoryPool memoryForData() {
        return attempt == null ? undecodedAccount : attempt.activeRequest.responseMemory();
    }

    @Override
    public void onMemoryAwaited() {
        channel.config().setAutoRead(false);
        pool.awaitMemory(this);
    }

    @Override
    public void onMemoryReserved() {
        pool.stopAwaitingMemory(this);
        channel.config().setAutoRead(true);
    }

    boolean isAwaited() {
        return decoder.isAwaitingMemory();
    }

    /** Continues with the response that waits for memory if there is some now. */
    void tryResume() {
        decoder.resume();
    }

    /** Counts the bytes that the last read has left undecoded. */
    void onReadComplete() {
        countUndecoded(decoder.undecodedBytes());
    }

    /** Releases what is held when the connection has ended. */
    void onConnectionLost() {
        pool.stopAwaitingMemory(this);
        countUndecoded(0);
    }

    private void countUndecoded(int newCount) {
        undecodedAccount.reserve(newCount - undecodedBytes);
        undecodedBytes = newCount;
    }
}
