package org.mulleinshift.placement;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import org.mulleinshift.protocol.CloudCodec;
import org.mulleinshift.protocol.MachineType;
import org.mulleinshift.protocol.MachineTypeId;
import org.mulleinshift.protocol.MalformedMessageException;
import org.mulleinshift.transport.AsyncHttpClient;
import org.mulleinshift.transport.EventLoop;
import org.mulleinshift.transport.HttpRequest;
import org.mulleinshift.transport.HttpResponse;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The machine types and their current prices, read again now and then. */
public final class MachineTypeCatalog {
  private static final Logger LOG = LoggerFactory.getLogger(MachineTypeCatalog.class);
  private static final Duration DEADLINE = Duration.ofSeconds(4);
  private static final Duration RETRY = Duration.ofMillis(1500);
  private static final Duration REFRESH = Duration.ofSeconds(60);

  private final EventLoop loop;
  private final AsyncHttpClient calls;
  private final InetSocketAddress cloud;
  private final Runnable onChange;
  private Map<MachineTypeId, MachineType> types = Map.of();

  public MachineTypeCatalog(
      EventLoop loop, AsyncHttpClient calls, InetSocketAddress cloud, Runnable onChange) {
    this.loop = loop;
    this.calls = calls;
    this.cloud = cloud;
    this.onChange = onChange;
  }

  public void start() {
    calls.call(cloud, HttpRequest.get(CloudCodec.CATALOG, DEADLINE), this::onResponse);
  }

  private void onResponse(HttpResponse reply) {
    if (reply.ok()) {
      try {
        types = CloudCodec.parseCatalog(reply.body());
        loop.after(REFRESH, this::start);
        onChange.run();
        return;
      } catch (MalformedMessageException e) {
        LOG.warn("catalog: {}", e.getMessage());
      }
    }
    loop.after(RETRY.plusMillis((long) (500 * loop.random())), this::start);
  }

  public boolean isLoaded() {
    return !types.isEmpty();
  }

  public Optional<MachineType> type(MachineTypeId id) {
    return Optional.ofNullable(types.get(id));
  }

  public Map<MachineTypeId, MachineType> types() {
    return types;
  }
}
