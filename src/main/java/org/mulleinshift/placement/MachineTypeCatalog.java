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

/** The machine types and their current prices, refreshed periodically from the cloud API. */
public final class MachineTypeCatalog {
  private static final Logger LOG = LoggerFactory.getLogger(MachineTypeCatalog.class);
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(4);
  private static final Duration RETRY_DELAY = Duration.ofMillis(1500);
  private static final Duration REFRESH_INTERVAL = Duration.ofSeconds(60);

  /** Maximum random delay added to a retry, so that controllers do not retry at the same time. */
  private static final int RETRY_JITTER_MILLIS = 500;

  private final EventLoop loop;
  private final AsyncHttpClient client;
  private final InetSocketAddress cloud;
  private final Runnable onChange;
  private Map<MachineTypeId, MachineType> types = Map.of();

  /**
   * An empty catalog.
   *
   * @param cloud the address of the cloud API
   * @param onChange is called on the event loop after each successful refresh
   */
  public MachineTypeCatalog(
      EventLoop loop, AsyncHttpClient client, InetSocketAddress cloud, Runnable onChange) {
    this.loop = loop;
    this.client = client;
    this.cloud = cloud;
    this.onChange = onChange;
  }

  /** Requests the catalog now and keeps refreshing it; failed requests are retried. */
  public void start() {
    client.call(cloud, HttpRequest.get(CloudCodec.CATALOG_PATH, CALL_TIMEOUT), this::onResponse);
  }

  private void onResponse(HttpResponse response) {
    if (response.isOk()) {
      try {
        types = CloudCodec.parseCatalog(response.body());
        loop.after(REFRESH_INTERVAL, this::start);
        onChange.run();
        return;
      } catch (MalformedMessageException e) {
        LOG.warn("machine type catalog malformed, error={}", e.getMessage());
      }
    }
    loop.after(RETRY_DELAY.plusMillis((long) (RETRY_JITTER_MILLIS * loop.random())), this::start);
  }

  /** Whether the catalog has been read. */
  public boolean isLoaded() {
    return !types.isEmpty();
  }

  /** The type with the id; empty if the catalog does not list it or is not loaded. */
  public Optional<MachineType> type(MachineTypeId id) {
    return Optional.ofNullable(types.get(id));
  }

  /** All types, in the order of the cloud's response; empty until loaded. */
  public Map<MachineTypeId, MachineType> types() {
    return types;
  }
}
