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
import org.mulleinshift.transport.HttpStatus;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Requests machines from the cloud. The name of a provisioning request is stored before it is used
 * and never used again; its key is deleted only after the machines are stored.
 */
public final class Provisioner {
  private static final Logger LOG = LoggerFactory.getLogger(Provisioner.class);
  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(5);
  private static final Duration RETRY_DELAY = Duration.ofSeconds(1);

  /** After so many timeouts the machines of a request are no longer counted on. */
  private static final int EXPECTED_TIMEOUTS = 2;

  /** The cloud's answer if it is out of machines, as opposed to unavailable. */
  private static final String NO_CAPACITY = "no capacity";

  /** Is notified of what became of provisioning requests. */
  interface Listener {
    /** The machines were provisioned, perhaps fewer than requested. */
    void onProvisioned(ProvisioningRequest request, List<MachineId> machines);

    /** The cloud had fewer machines than requested, or none. */
    void onRefused(ProvisioningRequest request, Refusal refusal);
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

  /** Sends the requests that an earlier leader stored. */
  void start() {
    requests.values().forEach(this::send);
  }

  /** Requests whose machines may still be counted on. */
  List<ProvisioningRequest> expected() {
    long maxSeconds = REQUEST_TIMEOUT.toSeconds() * EXPECTED_TIMEOUTS;
    return requests.values().stream()
        .filter(Provisioner::isOpen)
        .filter(request -> loop.now().secondsSince(request.plannedAt()) <= maxSeconds)
        .toList();
  }

  /** Machines of an offer that are planned or requested and not answered. */
  int outstanding(Offer offer) {
    return requests.values().stream()
        .filter(request -> isOpen(request) && Offer.of(request).equals(offer))
        .mapToInt(ProvisioningRequest::count)
        .sum();
  }

  private static boolean isOpen(ProvisioningRequest request) {
    return request.state() != ProvisioningRequest.State.ANSWERED;
  }

  /**
   * Loads stored requests. A new leader sends them again under their stored names: the same name
   * never provisions twice.
   */
  public void load(List<KeyValue> items) {
    for (KeyValue item : items) {
      String name = item.key().substring(StoreKeys.PROVISIONING_REQUESTS.length());
      try {
        requests.put(name, ProvisioningRequest.read(name, item.value(), loop.now()));
        batcher.recordRevision(item.key(), item.revision());
      } catch (MalformedMessageException e) {
        // Neither sent again nor ended here. Its machines, if any come, are adopted as unexpected.
        LOG.warn("stored record unreadable, key={} reason={}", item.key(), e.getMessage());
      }
    }
  }

  /** Requests so many machines of an offer. */
  void provision(Offer offer, int count) {
    for (int remaining = count; remaining > 0; remaining -= CloudCodec.MAX_MACHINES_PER_REQUEST) {
      provisionBatch(offer, Math.min(remaining, CloudCodec.MAX_MACHINES_PER_REQUEST));
    }
  }

  private void provisionBatch(Offer offer, int count) {
    lastNumber++;
    String name = "r-" + termNumber + "-" + lastNumber;
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
    batcher.submit(StoreKeys.provisioningRequest(name), new StoreRequest(request));
  }

  private void send(ProvisioningRequest request) {
    if (!term.isActive() || request.state() != ProvisioningRequest.State.SENT) {
      return;
    }
    if (!term.hasValidLease() || !cloud.limiter().tryAcquire(1, 0)) {
      loop.after(RETRY_DELAY, () -> send(request));
      return;
    }
    String body =
        CloudCodec.writeProvisioningRequest(
            request.name(), request.type(), request.zone(), request.spot(), request.count());
    cloud.call(
        HttpRequest.post(CloudCodec.MACHINES_PATH, body, REQUEST_TIMEOUT),
        response -> onResponse(request, response));
  }

  private void onResponse(ProvisioningRequest request, HttpResponse response) {
    if (!term.isActive()) {
      return;
    }
    if (response.isOk()) {
      try {
        onProvisioned(request, CloudCodec.parseProvisioningResponse(response.body()));
        return;
      } catch (MalformedMessageException e) {
        LOG.warn(
            "provisioning response malformed, request={} reason={}",
            request.name(),
            e.getMessage());
      }
    }
    if (isRefusal(response)) {
      onRefused(request);
      return;
    }
    // No clear answer: the cloud may have provisioned. The retry uses the same name.
    loop.after(RETRY_DELAY, () -> send(request));
  }

  private static boolean isRefusal(HttpResponse response) {
    return response.status() == HttpStatus.BAD_REQUEST
        || (response.status() == HttpStatus.SERVICE_UNAVAILABLE
            && response.body().contains(NO_CAPACITY));
  }

  private void onRefused(ProvisioningRequest request) {
    LOG.info(
        "provisioning refused, request={} type={} zone={}",
        request.name(),
        request.type(),
        request.zone());
    listener.onRefused(request, Refusal.TOTAL);
    complete(request);
  }

  private void onProvisioned(ProvisioningRequest request, List<MachineId> machines) {
    LOG.info(
        "machines provisioned, request={} count={} requested={} type={} zone={}",
        request.name(),
        machines.size(),
        request.count(),
        request.type(),
        request.zone());
    if (machines.size() < request.count()) {
      listener.onRefused(request, machines.isEmpty() ? Refusal.TOTAL : Refusal.PARTIAL);
    }
    listener.onProvisioned(request, machines);
    complete(request);
  }

  /** The request's key is deleted only after its machines are stored. */
  private void complete(ProvisioningRequest request) {
    request.transitionTo(ProvisioningRequest.State.ANSWERED);
    batcher.submit(StoreKeys.provisioningRequest(request.name()), new DeleteRequest(request));
  }

  /** Stores the name of a request before the cloud receives it. */
  private final class StoreRequest implements TransactionBatcher.Mutation {
    private final ProvisioningRequest request;

    StoreRequest(ProvisioningRequest request) {
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

  /** Deletes the key of a request that was answered. */
  private final class DeleteRequest implements TransactionBatcher.Mutation {
    private final ProvisioningRequest request;

    DeleteRequest(ProvisioningRequest request) {
      this.request = request;
    }

    @Override
    public List<Write> writes() {
      return List.of(Write.delete(StoreKeys.provisioningRequest(request.name())));
    }

    @Override
    public void onCommitted(Revision revision) {
      requests.remove(request.name());
    }
  }
}
