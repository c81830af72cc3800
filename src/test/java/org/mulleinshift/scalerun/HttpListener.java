package org.mulleinshift.scalerun;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;
import org.mulleinshift.transport.HttpRequest;
import org.mulleinshift.transport.HttpResponse;

/** HTTP server of the simulated services and workers; may serve many loopback addresses. */
final class HttpListener {
  /** Answers a request; the reply may be given later and from any thread. */
  interface Handler {
    void handle(InetSocketAddress local, HttpRequest request, Consumer<HttpResponse> reply);
  }

  private static final int MAX_BODY = 4 << 20;
  private static final int BACKLOG = 4096;
  private static final Duration NO_DEADLINE = Duration.ofDays(1);

  private final Channel channel;

  HttpListener(
      EventLoopGroup threads, InetSocketAddress address, ByteCounter counter, Handler handler) {
    channel =
        new ServerBootstrap()
            .group(threads)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel child) {
                    child.pipeline().addLast(counter, new HttpServerCodec());
                    child.pipeline().addLast(new HttpObjectAggregator(MAX_BODY));
                    child.pipeline().addLast(new RequestHandler(handler));
                  }
                })
            .bind(address)
            .syncUninterruptibly()
            .channel();
  }

  InetSocketAddress address() {
    return (InetSocketAddress) channel.localAddress();
  }

  void close() {
    channel.close().syncUninterruptibly();
  }

  /** Handles the requests of one connection; HTTP/1.1 clients send them one at a time. */
  private static final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
    private final Handler handler;

    RequestHandler(Handler handler) {
      this.handler = handler;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest message) {
      String body = message.content().toString(StandardCharsets.UTF_8);
      HttpRequest request =
          new HttpRequest(message.method().name(), message.uri(), Optional.of(body), NO_DEADLINE);
      InetSocketAddress local = (InetSocketAddress) context.channel().localAddress();
      handler.handle(local, request, reply -> respond(context, reply));
    }

    private static void respond(ChannelHandlerContext context, HttpResponse reply) {
      ChannelFuture unused = context.writeAndFlush(response(reply));
    }

    private static FullHttpResponse response(HttpResponse reply) {
      FullHttpResponse response =
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1,
              HttpResponseStatus.valueOf(reply.status()),
              Unpooled.copiedBuffer(reply.body(), StandardCharsets.UTF_8));
      response.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
      response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
      return response;
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      ChannelFuture unused = context.close();
    }
  }
}
