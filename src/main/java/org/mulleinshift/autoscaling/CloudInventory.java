package org.mulleinshift.autoscaling;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;
import org.mulleinshift.leader.Leader;
import org.mulleinshift.protocol.CloudCodec;
import org.mulleinshift.protocol.CloudMachine;
import org.mulleinshift.protocol.MachineId;
import org.mulleinshift.protocol.MalformedMessageException;
import org.mulleinshift.transport.EventLoop;
import org.mulleinshift.transport.HttpRequest;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Reads the cloud's list of machines now and then; it lags, and proves nothing alone. */
final class CloudInventory {
  private static final Logger LOG = LoggerFactory.getLogger(CloudInventory.class);
  private static final Duration DEADLINE = Duration.ofSeconds(5);
  private static final Duration LIST_EVERY = Duration.ofSeconds(10);

  private final Leader leader;
  private final Leader.Context context;
  private final EventLoop loop;
  private final Autoscaler.Cloud cloud;
  private final Consumer<CloudMachine> onListed;

  CloudInventory(
      Leader leader,
      Leader.Context context,
      Autoscaler.Cloud cloud,
      Consumer<CloudMachine> listed) {
    this.leader = leader;
    this.context = context;
    this.loop = context.loop();
    this.cloud = cloud;
    this.onListed = listed;
  }

  void listPeriodically() {
    if (!leader.leading()) {
      return;
    }
    loop.after(LIST_EVERY, this::listPeriodically);
    if (context.holdsValidLease().getAsBoolean()) {
      list(Optional.empty());
    }
  }

  private void list(Optional<MachineId> after) {
    if (!cloud.budget().tryAcquire(1, 1)) {
      return;
    }
    cloud
        .calls()
        .call(
            cloud.address(),
            HttpRequest.get(CloudCodec.listPath(after), DEADLINE),
            reply -> {
              if (!reply.ok() || !leader.leading()) {
                return;
              }
              try {
                CloudCodec.Page page = CloudCodec.parseList(reply.body());
                page.machines().forEach(onListed);
                if (page.more() && !page.machines().isEmpty()) {
                  list(Optional.of(page.machines().get(page.machines().size() - 1).id()));
                }
              } catch (MalformedMessageException e) {
                LOG.warn("machine list: {}", e.getMessage());
              }
            });
  }
}
