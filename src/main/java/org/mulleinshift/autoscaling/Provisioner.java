package org.mulleinshift.autoscaling;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.mulleinshift.membership.LeadershipTerm;
import org.mulleinshift.model.ProvisioningRequest;
import org.mulleinshift.protocol.CloudCodec;
import org.mulleinshift.protocol.MachineId;
import org.mulleinshift.protocol.MalformedMessageException;
import org.mulleinshift.protocol.Revision;
import org.mulleinshift.protocol.StoreCodec.KeyValue;
import org.mulleinshift.protocol.StoreCodec.Write;
import org.mulleinshift.store.StoreKeys;
import org.mulleinshift.store.TransactionBatcher;
import org.mulleinshift.transport.EventLoop;
import org.mulleinshift.transport.HttpRequest;
import org.mulleinshift.transport.HttpResponse;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Asks the cloud for machines. A rental's name is stored before it is used and never used again;
 * the key goes only after the machines are stored.
 */
public final class Provisioner {
  private static final Logger LOG = LoggerFactory.getLogger(Provisioner.class);
  private static final Duration DEADLINE = Duration.ofSeconds(5);
  private static final Duration RETRY = Duration.ofSeconds(1);

  /** Hears what came of rentals. */
  interface Listener {
    void onProvisioned(ProvisioningRequest request, List<MachineId> machines);

    /** Some, but not all, or none of the machines are to be had. */
    void onRefused(ProvisioningRequest request, boolean some);
  }

  private final LeadershipTerm term;
  private final TransactionBatcher batcher;
  private final EventLoop loop;
  private final CloudClient cloud;
  private final Revision termNumber;
  private final Listener listener;
  private final Map<String, ProvisioningRequest> requests = new LinkedHashMap<>();
  private long lastNumber;

  Provisioner(
      EventLoop loop,
      LeadershipTerm term,
      Revision termNumber,
      TransactionBatcher batcher,
      CloudClient cloud,
      Listener listener) {
    this.loop = loop;
    this.term = term;
    this.termNumber = termNumber;
    this.batcher = batcher;
    this.cloud = cloud;
    this.listener = listener;
  }

  void start() {
    requests.values().forEach(this::send);
  }

  /** Rentals whose machines may still be counted on. */
  List<ProvisioningRequest> expected() {
    return requests.values().stream()
        .filter(request -> request.state() != ProvisioningRequest.State.ANSWERED)
        .filter(request -> loop.now().secondsSince(request.plannedAt()) <= DEADLINE.toSeconds() * 2)
        .toList();
  }

  /** Machines of an offer that were planned or asked for and not answered. */
  int outstanding(OfferSelector.Offer offer) {
    int count = 0;
    for (ProvisioningRequest request : requests.values()) {
      boolean open = request.state() != ProvisioningRequest.State.ANSWERED;
      count += open && OfferSelector.Offer.of(request).equals(offer) ? request.count() : 0;
    }
    return count;
  }

  /** A new leader asks again under the stored names: the same name never rents twice. */
  public void load(List<KeyValue> items) {
    for (KeyValue item : items) {
      String name = item.key().substring(StoreKeys.PROVISIONING_REQUESTS.length());
      try {
        requests.put(name, ProvisioningRequest.read(name, item.value(), loop.now()));
        batcher.recordRevision(item.key(), item.revision());
      } catch (MalformedMessageException e) {
        // Not ours to ask again or to end. Its machines, if any come, are adopted as unexpected.
        LOG.warn("{}: this build can't read it: {}", item.key(), e.getMessage());
      }
    }
  }

  void provision(OfferSelector.Offer offer, int count) {
    for (int left = count; left > 0; left -= CloudCodec.MAX_PROVISIONED) {
      provisionBatch(offer, Math.min(left, CloudCodec.MAX_PROVISIONED));
    }
  }

  private void provisionBatch(OfferSelector.Offer offer, int count) {
    String name = "r-" + termNumber + "-" + ++lastNumber;
    ProvisioningRequest request =
        new ProvisioningRequest(
            name,
            offer.type(),
            offer.zone(),
            offer.spot(),
            count,
            loop.now(),
            ProvisioningRequest.State.PLANNED);
    requests.put(name, request);
    batcher.submit(StoreKeys.provisioningRequest(name), new RequestMutation(request));
  }

  private void send(ProvisioningRequest request) {
    if (!term.active() || request.state() != ProvisioningRequest.State.SENT) {
      return;
    }
    if (!term.holdsValidLease() || !cloud.limiter().tryAcquire(1, 0)) {
      loop.after(RETRY, () -> send(request));
      return;
    }
    cloud.call(
        HttpRequest.post(
            CloudCodec.MACHINES,
            CloudCodec.provision(
                request.name(), request.type(), request.zone(), request.spot(), request.count()),
            DEADLINE),
        reply -> onResponse(request, reply));
  }

  private void onResponse(ProvisioningRequest request, HttpResponse reply) {
    if (!term.active()) {
      return;
    }
    if (reply.ok()) {
      try {
        rented(request, CloudCodec.parseProvisioned(reply.body()));
        return;
      } catch (MalformedMessageException e) {
        LOG.warn("answer to rental {}: {}", request.name(), e.getMessage());
      }
    }
    if (reply.status() == 400 || (reply.status() == 503 && reply.body().contains("no capacity"))) {
      LOG.info("rental {} of {} in {} refused", request.name(), request.type(), request.zone());
      listener.onRefused(request, false);
      complete(request);
      return;
    }
    // No clear answer: the cloud may have rented. The same name asks again.
    loop.after(RETRY, () -> send(request));
  }

  private void rented(ProvisioningRequest request, List<MachineId> machines) {
    LOG.info(
        "rental {}: {} of {} {} in {}",
        request.name(),
        machines.size(),
        request.count(),
        request.type(),
        request.zone());
    if (machines.size() < request.count()) {
      listener.onRefused(request, !machines.isEmpty());
    }
    listener.onProvisioned(request, machines);
    complete(request);
  }

  /** The rental's key goes only after its machines are stored. */
  private void complete(ProvisioningRequest request) {
    request.transitionTo(ProvisioningRequest.State.ANSWERED);
    batcher.submit(
        StoreKeys.provisioningRequest(request.name()),
        new TransactionBatcher.Mutation() {
          @Override
          public List<Write> writes() {
            return List.of(Write.delete(StoreKeys.provisioningRequest(request.name())));
          }

          @Override
          public void onCommitted(Revision revision) {
            requests.remove(request.name());
          }
        });
  }

  /** A rental's name, stored before the cloud hears it. */
  private final class RequestMutation implements TransactionBatcher.Mutation {
    private final ProvisioningRequest request;

    RequestMutation(ProvisioningRequest request) {
      this.request = request;
    }

    @Override
    public List<Write> writes() {
      return request.state() == ProvisioningRequest.State.PLANNED
          ? List.of(Write.put(StoreKeys.provisioningRequest(request.name()), request.write()))
          : List.of();
    }

    @Override
    public void onCommitted(Revision revision) {
      request.transitionTo(ProvisioningRequest.State.SENT);
      send(request);
    }
  }
}
