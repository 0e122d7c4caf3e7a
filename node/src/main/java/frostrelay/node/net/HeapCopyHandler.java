package frostrelay.node.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/**
 * Copies what is read to the heap, for handlers that keep it: however small the pieces are that a
 * peer sends, none of them holds a whole read buffer.
 */
public final class HeapCopyHandler extends ChannelInboundHandlerAdapter {
    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        ByteBuf bytes = (ByteBuf) message;
        ctx.fireChannelRead(
                HeapCumulator.INSTANCE.cumulate(ctx.alloc(), Unpooled.EMPTY_BUFFER, bytes));
    }
}
