package org.mulleinshift.coordination;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import org.mulleinshift.protocol.BadMessage;
import org.mulleinshift.protocol.CloudCodec;
import org.mulleinshift.protocol.MachineType;
import org.mulleinshift.protocol.MachineTypeId;
import org.mulleinshift.transport.EventLoop;
import org.mulleinshift.transport.HttpCaller;
import org.mulleinshift.transport.HttpReply;
import org.mulleinshift.transport.HttpRequest;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The machine types and their current prices, read again now and then. */
final class Catalog {
  private static final Logger LOG = LoggerFactory.getLogger(Catalog.class);
  private static final Duration DEADLINE = Duration.ofSeconds(4);
  private static final Duration RETRY = Duration.ofMillis(1500);
  private static final Duration REFRESH = Duration.ofSeconds(60);

  private final EventLoop loop;
  private final HttpCaller calls;
  private final InetSocketAddress cloud;
  private final Runnable onChange;
  private Map<MachineTypeId, MachineType> types = Map.of();

  Catalog(EventLoop loop, HttpCaller calls, InetSocketAddress cloud, Runnable onChange) {
    this.loop = loop;
    this.calls = calls;
    this.cloud = cloud;
    this.onChange = onChange;
  }

  void start() {
    calls.call(cloud, HttpRequest.get(CloudCodec.CATALOG, DEADLINE), this::received);
  }

  private void received(HttpReply reply) {
    if (reply.ok()) {
      try {
        types = CloudCodec.parseCatalog(reply.body());
        loop.after(REFRESH, this::start);
        onChange.run();
        return;
      } catch (BadMessage e) {
        LOG.warn("catalog: {}", e.getMessage());
      }
    }
    loop.after(RETRY.plusMillis((long) (500 * loop.random())), this::start);
  }

  boolean known() {
    return !types.isEmpty();
  }

  Optional<MachineType> type(MachineTypeId id) {
    return Optional.ofNullable(types.get(id));
  }

  Map<MachineTypeId, MachineType> types() {
    return types;
  }
}
