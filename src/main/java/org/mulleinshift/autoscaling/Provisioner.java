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
 * and never reused; its key is deleted only after the machines are stored.
 */
public final class Provisioner {
  private static final Logger LOG = LoggerFactory.getLogger(Provisioner.class);
  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(5);
  private static final Duration RETRY_DELAY = Duration.ofSeconds(1);

  /** Number of request timeouts after which the machines of a request are no longer expected. */
  private static final int MAX_EXPECTED_TIMEOUTS = 2;

  /**
   * Text of the cloud's response when it has run out of machines, as opposed to being unavailable.
   */
  private static final String NO_CAPACITY = "no capacity";

  /** Receives the outcome of provisioning requests. */
  interface Listener {
    /** Called when the cloud provisioned the machines, possibly fewer than requested or none. */
    void onProvisioned(ProvisioningRequest request, List<MachineId> machines);

    /** Called when the cloud had fewer machines than requested, or none. */
    void onRefused(ProvisioningRequest request, Refusal refusal);
  }

  private final LeadershipTerm term;
  private final TransactionBatcher batcher;
  private final EventLoop loop;
  private final CloudClient cloud;
  private final Revision termNumber;
  private final Listener listener;
  private final Map<String, ProvisioningRequest> requests = new LinkedHashMap<>();
  private long lastRequestNumber;

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

  /** Sends the requests that an earlier leader stored and may have sent already. */
  void start() {
    requests.values().forEach(this::send);
  }

  /**
   * Returns the requests whose machines may still be expected: those that are unanswered and
   * recent.
   */
  List<ProvisioningRequest> expectedRequests() {
    long maxAgeSeconds = REQUEST_TIMEOUT.toSeconds() * MAX_EXPECTED_TIMEOUTS;
    return requests.values().stream()
        .filter(Provisioner::isOpen)
        .filter(request -> loop.now().secondsSince(request.plannedAt()) <= maxAgeSeconds)
        .toList();
  }

  /** Returns the number of machines of an offer that are planned or requested and not answered. */
  int outstandingMachines(Offer offer) {
    return requests.values().stream()
        .filter(request -> isOpen(request) && Offer.of(request).equals(offer))
        .mapToInt(ProvisioningRequest::count)
        .sum();
  }

  private static boolean isOpen(ProvisioningRequest request) {
    return request.state() != ProvisioningRequest.State.ANSWERED;
  }

  /**
   * Loads the requests that an earlier leader stored. They are sent again under their stored names:
   * the cloud never provisions twice for the same name.
   */
  public void load(List<KeyValue> items) {
    for (KeyValue item : items) {
      String name = item.key().substring(StoreKeys.PROVISIONING_REQUESTS.length());
      try {
        requests.put(name, ProvisioningRequest.read(name, item.value(), loop.now()));
        batcher.recordRevision(item.key(), item.revision());
      } catch (MalformedMessageException e) {
        // The request is neither sent again nor deleted. If its machines come, they are registered
        // as unexpected ones.
        LOG.warn("stored record unreadable, key={} reason={}", item.key(), e.getMessage());
      }
    }
  }

  /**
   * Requests the given number of machines of an offer, in as many requests as the cloud's limit
   * needs.
   */
  void provision(Offer offer, int count) {
    for (int remaining = count; remaining > 0; remaining -= CloudCodec.MAX_MACHINES_PER_REQUEST) {
      provisionBatch(offer, Math.min(remaining, CloudCodec.MAX_MACHINES_PER_REQUEST));
    }
  }

  private void provisionBatch(Offer offer, int count) {
    lastRequestNumber++;
    String name = "r-" + termNumber + "-" + lastRequestNumber;
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
    batcher.submit(StoreKeys.provisioningRequest(name), new PutRequestKey(request));
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
    cloud.send(
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
    // Without a definite answer the cloud may have provisioned the machines. The retry uses the
    // same name.
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

  /** Marks the request as answered. Its key is deleted only after its machines are stored. */
  private void complete(ProvisioningRequest request) {
    request.transitionTo(ProvisioningRequest.State.ANSWERED);
    batcher.submit(StoreKeys.provisioningRequest(request.name()), new DeleteRequestKey(request));
  }

  /** Stores the name of a request before it is sent to the cloud. */
  private final class PutRequestKey implements TransactionBatcher.Mutation {
    private final ProvisioningRequest request;

    PutRequestKey(ProvisioningRequest request) {
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
  private final class DeleteRequestKey implements TransactionBatcher.Mutation {
    private final ProvisioningRequest request;

    DeleteRequestKey(ProvisioningRequest request) {
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
