package org.mulleinshift.scalerun;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandler.Sharable;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import java.util.concurrent.atomic.LongAdder;

/** Counts the bytes and the open connections of all channels whose pipeline contains it. */
@Sharable
final class ByteCounter extends ChannelDuplexHandler {
  private final LongAdder bytes = new LongAdder();
  private final LongAdder open = new LongAdder();

  /** Payload bytes in both directions, without TCP and IP headers. */
  long bytes() {
    return bytes.sum();
  }

  long open() {
    return open.sum();
  }

  @Override
  public void channelActive(ChannelHandlerContext context) {
    open.increment();
    context.fireChannelActive();
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    open.decrement();
    context.fireChannelInactive();
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    count(message);
    context.fireChannelRead(message);
  }

  @Override
  public void write(ChannelHandlerContext context, Object message, ChannelPromise promise)
      throws Exception {
    count(message);
    super.write(context, message, promise);
  }

  private void count(Object message) {
    if (message instanceof ByteBuf buffer) {
      bytes.add(buffer.readableBytes());
    }
  }
}
