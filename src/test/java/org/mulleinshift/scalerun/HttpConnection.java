package org.mulleinshift.scalerun;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import org.mulleinshift.transport.HttpResponse;

/**
 * A client's HTTP connection, kept open while requests go to the same address. A new request
 * replaces a pending one, whose reply is then never delivered.
 */
final class HttpConnection {
  private static final int MAX_BODY = 4 << 20;
  private static final int CONNECT_MILLIS = 2000;

  private final EventLoopGroup threads;
  private final ByteCounter counter;
  private Channel channel;
  private InetSocketAddress target;
  private Consumer<HttpResponse> pendingReply;

  HttpConnection(EventLoopGroup threads, ByteCounter counter) {
    this.threads = threads;
    this.counter = counter;
  }

  /** Sends a request; {@link HttpResponse#NO_RESPONSE} is the reply if the connection fails. */
  synchronized void send(
      InetSocketAddress address,
      String method,
      String path,
      String body,
      Consumer<HttpResponse> reply) {
    boolean busy = pendingReply != null;
    boolean usable = !busy && channel != null && channel.isActive() && address.equals(target);
    if (!usable) {
      closeChannel();
    }
    pendingReply = reply;
    FullHttpRequest request = request(method, path, body);
    if (usable) {
      ChannelFuture unused = channel.writeAndFlush(request);
    } else {
      open(address, request);
    }
  }

  private void open(InetSocketAddress address, FullHttpRequest request) {
    target = address;
    ChannelFuture opening =
        new Bootstrap()
            .group(threads)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MILLIS)
            .handler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel child) {
                    child.pipeline().addLast(counter, new HttpClientCodec());
                    child.pipeline().addLast(new HttpObjectAggregator(MAX_BODY));
                    child.pipeline().addLast(new ResponseHandler());
                  }
                })
            .connect(address);
    Channel opened = opening.channel();
    channel = opened;
    opening.addListener(
        done -> {
          if (done.isSuccess()) {
            ChannelFuture unused = opened.writeAndFlush(request);
          } else {
            request.release();
            complete(opened, HttpResponse.NO_RESPONSE);
          }
        });
  }

  private static FullHttpRequest request(String method, String path, String body) {
    FullHttpRequest request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            HttpMethod.valueOf(method),
            path,
            Unpooled.copiedBuffer(body, StandardCharsets.UTF_8));
    request.headers().set(HttpHeaderNames.HOST, "controller");
    request.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
    request.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, request.content().readableBytes());
    return request;
  }

  /** Closes the connection; the reply of a pending request is never called. */
  synchronized void close() {
    closeChannel();
  }

  private void closeChannel() {
    pendingReply = null;
    if (channel != null) {
      ChannelFuture unused = channel.close();
      channel = null;
    }
  }

  private void complete(Channel from, HttpResponse reply) {
    Consumer<HttpResponse> consumer;
    synchronized (this) {
      if (from != channel) {
        return;
      }
      consumer = pendingReply;
      pendingReply = null;
    }
    if (consumer != null) {
      consumer.accept(reply);
    }
  }

  private final class ResponseHandler extends SimpleChannelInboundHandler<FullHttpResponse> {
    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
      String body = response.content().toString(StandardCharsets.UTF_8);
      boolean keepAlive = HttpUtil.isKeepAlive(response);
      complete(context.channel(), new HttpResponse(response.status().code(), body));
      if (!keepAlive) {
        ChannelFuture unused = context.close();
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      complete(context.channel(), HttpResponse.NO_RESPONSE);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      ChannelFuture unused = context.close();
    }
  }
}
