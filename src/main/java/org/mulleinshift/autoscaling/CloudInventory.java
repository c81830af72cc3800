package org.mulleinshift.autoscaling;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;
import org.mulleinshift.membership.LeadershipTerm;
import org.mulleinshift.protocol.CloudCodec;
import org.mulleinshift.protocol.CloudMachine;
import org.mulleinshift.protocol.MachineId;
import org.mulleinshift.protocol.MalformedMessageException;
import org.mulleinshift.transport.EventLoop;
import org.mulleinshift.transport.HttpRequest;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Periodically reads the cloud's list of machines. The list lags behind: a machine that is missing
 * from it is not necessarily gone.
 */
final class CloudInventory {
  private static final Logger LOG = LoggerFactory.getLogger(CloudInventory.class);
  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(5);
  private static final Duration LIST_INTERVAL = Duration.ofSeconds(10);

  private final LeadershipTerm term;
  private final EventLoop loop;
  private final CloudClient cloud;
  private final Consumer<CloudMachine> onListed;

  CloudInventory(
      EventLoop loop, LeadershipTerm term, CloudClient cloud, Consumer<CloudMachine> onListed) {
    this.loop = loop;
    this.term = term;
    this.cloud = cloud;
    this.onListed = onListed;
  }

  /** Lists the machines now, and again after each interval until the term ends. */
  void listPeriodically() {
    if (!term.isActive()) {
      return;
    }
    loop.after(LIST_INTERVAL, this::listPeriodically);
    if (term.hasValidLease()) {
      list(Optional.empty());
    }
  }

  private void list(Optional<MachineId> after) {
    if (!cloud.limiter().tryAcquire(1, 1)) {
      return;
    }
    cloud.send(
        HttpRequest.get(CloudCodec.machineListPath(after), REQUEST_TIMEOUT),
        response -> {
          if (response.isOk() && term.isActive()) {
            onPage(response.body());
          }
        });
  }

  private void onPage(String body) {
    try {
      CloudCodec.Page page = CloudCodec.parseMachineList(body);
      page.machines().forEach(onListed);
      if (page.more() && !page.machines().isEmpty()) {
        list(Optional.of(page.machines().get(page.machines().size() - 1).id()));
      }
    } catch (MalformedMessageException e) {
      LOG.warn("machine list malformed, reason={}", e.getMessage());
    }
  }
}
