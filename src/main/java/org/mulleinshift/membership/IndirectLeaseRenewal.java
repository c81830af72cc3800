package org.mulleinshift.membership;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import org.mulleinshift.model.ClusterView;
import org.mulleinshift.protocol.Json;
import org.mulleinshift.protocol.LeaseId;
import org.mulleinshift.protocol.MalformedMessageException;
import org.mulleinshift.protocol.NodeId;
import org.mulleinshift.protocol.Revision;
import org.mulleinshift.protocol.ShardId;
import org.mulleinshift.protocol.StoreCodec.Change;
import org.mulleinshift.protocol.StoreCodec.Changes;
import org.mulleinshift.protocol.peer.KeyChange;
import org.mulleinshift.protocol.peer.LeaseRenewalRequest;
import org.mulleinshift.protocol.peer.LeaseRenewalResponse;
import org.mulleinshift.store.KeyValueStore;
import org.mulleinshift.store.KeyValueStore.ReadResult;
import org.mulleinshift.store.PrefixWatcher;
import org.mulleinshift.store.StoreKeys;
import org.mulleinshift.transport.EventLoop;
import org.mulleinshift.transport.MonotonicTime;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Lease renewal through a peer, by which a controller that lost the store keeps its shards. It asks
 * a peer that the store serves to renew its session lease and to read the changes of the control
 * keys and of the active jobs, where cancellations are recorded. The peer does so after the request
 * was sent, so each piece of {@link OwnershipLease.Evidence} is dated by its request.
 *
 * <p>The request for the active jobs has lease id 0, which no lease has. A peer running an earlier
 * build reports that lease as expired; such a response is ignored.
 */
public final class IndirectLeaseRenewal {
  private static final Logger LOG = LoggerFactory.getLogger(IndirectLeaseRenewal.class);
  private static final Duration REQUEST_INTERVAL = Duration.ofSeconds(1);

  /**
   * Limit on the values in a response. Beyond it the response is sent as incomplete, without the
   * changes, and the requesting controller's ownership lease expires.
   */
  private static final int MAX_RESPONSE_CHARACTERS = 1 << 19;

  private static final LeaseId NO_LEASE = new LeaseId(0);
  private static final Duration INVALID_RESPONSE_LOG_INTERVAL = Duration.ofMinutes(1);

  /**
   * A request without a response so far.
   *
   * @param sinceRevision the revision up to which changes are known
   */
  private record PendingRequest(LeaseId lease, Revision sinceRevision, MonotonicTime sentAt) {
    String prefix() {
      return lease.equals(NO_LEASE) ? StoreKeys.ACTIVE_JOBS : StoreKeys.CONTROL;
    }
  }

  private final EventLoop loop;
  private final NodeId self;
  private final KeyValueStore store;
  private final StoreHealth storeHealth;
  private final PeerFailureDetector failureDetector;
  private final ControllerSession session;
  private final ClusterView view;
  private final PrefixWatcher controlKeys;
  private final PrefixWatcher activeJobs;
  private final BiConsumer<NodeId, Object> sendToPeer;
  private final Map<Long, PendingRequest> pendingRequests = new HashMap<>();
  private long lastRequestId;
  private long attempts;
  private boolean running;
  private long invalidResponses;
  private Optional<MonotonicTime> invalidResponseLoggedAt = Optional.empty();

  /**
   * The components that lease renewal uses.
   *
   * @param storeHealth health of this controller's connection to the store
   * @param failureDetector knows which peers the store serves
   * @param session the session to renew
   * @param view the state read from the control keys, updated through {@code controlKeys}
   * @param controlKeys watcher of the control keys
   * @param activeJobs watcher of the active jobs' records
   */
  public record Context(
      KeyValueStore store,
      StoreHealth storeHealth,
      PeerFailureDetector failureDetector,
      ControllerSession session,
      ClusterView view,
      PrefixWatcher controlKeys,
      PrefixWatcher activeJobs) {}

  /**
   * Creates an inactive instance; {@link #start} sends the first request.
   *
   * @param sendToPeer sends a message to a peer
   */
  public IndirectLeaseRenewal(
      EventLoop loop, NodeId self, Context context, BiConsumer<NodeId, Object> sendToPeer) {
    this.loop = loop;
    this.self = self;
    this.store = context.store();
    this.storeHealth = context.storeHealth();
    this.failureDetector = context.failureDetector();
    this.session = context.session();
    this.view = context.view();
    this.controlKeys = context.controlKeys();
    this.activeJobs = context.activeJobs();
    this.sendToPeer = sendToPeer;
  }

  /** Called when the store is lost; requests renewals periodically until it is back. */
  public void start() {
    if (!running) {
      running = true;
      requestRenewal();
    }
  }

  private void requestRenewal() {
    if (storeHealth.state() != StoreHealth.State.LOST) {
      running = false;
      pendingRequests.clear();
      return;
    }
    loop.after(REQUEST_INTERVAL, this::requestRenewal);
    List<NodeId> served = failureDetector.peersServedByStore();
    Optional<LeaseId> lease = session.lease();
    if (lease.isEmpty() || served.isEmpty()) {
      return;
    }
    pendingRequests
        .values()
        .removeIf(old -> loop.now().since(old.sentAt).compareTo(REQUEST_INTERVAL) > 0);
    // Round-robin, so that an unresponsive peer costs only one attempt.
    NodeId peer = served.get((int) (attempts % served.size()));
    attempts++;
    requestRenewal(peer, lease.get(), controlKeys.revision());
    requestRenewal(peer, NO_LEASE, activeJobs.revision());
  }

  private void requestRenewal(NodeId peer, LeaseId lease, Revision sinceRevision) {
    long id = ++lastRequestId;
    pendingRequests.put(id, new PendingRequest(lease, sinceRevision, loop.now()));
    sendToPeer.accept(peer, new LeaseRenewalRequest(id, lease.value(), sinceRevision.value()));
  }

  /**
   * Handles the request of a peer that lost the store. Both requests of a renewal together cost
   * three requests to the store and no write.
   */
  public void onRequest(NodeId peer, LeaseRenewalRequest request) {
    if (storeHealth.state() != StoreHealth.State.CONNECTED) {
      return;
    }
    LeaseId lease = new LeaseId(request.getLease());
    if (lease.equals(NO_LEASE)) {
      readChanges(peer, request, StoreKeys.ACTIVE_JOBS);
      return;
    }
    store.renewLease(
        lease,
        renewed -> {
          if (renewed instanceof ReadResult.Absent<Boolean>) {
            sendToPeer.accept(peer, expiredResponse(request));
          } else if (renewed instanceof ReadResult.Found<Boolean>) {
            readChanges(peer, request, StoreKeys.CONTROL);
          }
        });
  }

  private void readChanges(NodeId peer, LeaseRenewalRequest request, String prefix) {
    store.readChanges(
        prefix,
        new Revision(request.getSinceRevision()),
        KeyValueStore.Urgency.URGENT,
        answer -> {
          if (answer instanceof ReadResult.Found<Changes> found) {
            sendToPeer.accept(peer, response(request, found.value()));
          }
        });
  }

  private static LeaseRenewalResponse expiredResponse(LeaseRenewalRequest request) {
    return new LeaseRenewalResponse(request.getId(), request.getLease(), true, true, 0L, List.of());
  }

  private static LeaseRenewalResponse response(LeaseRenewalRequest request, Changes changes) {
    List<KeyChange> list = new ArrayList<>();
    int characters = 0;
    for (Change change : changes.changes()) {
      String value = change.value().map(Json::write).orElse("");
      characters += value.length();
      list.add(new KeyChange(change.key(), value, change.revision().value()));
    }
    boolean complete = characters <= MAX_RESPONSE_CHARACTERS;
    return new LeaseRenewalResponse(
        request.getId(),
        request.getLease(),
        false,
        complete,
        changes.revision().value(),
        complete ? list : List.of());
  }

  /**
   * Handles a peer's response. What it shows is valid as of when this controller sent the request.
   * A response that matches no pending request is outdated and ignored.
   */
  public void onResponse(NodeId peer, LeaseRenewalResponse response) {
    PendingRequest request = pendingRequests.remove(response.getId());
    if (request == null) {
      return;
    }
    if (request.lease.value() != response.getLease()) {
      onInvalidResponse(peer, "response for another lease");
    } else if (response.getExpired()) {
      if (!request.lease.equals(NO_LEASE)) {
        session.onExpiryReportedByPeer(request.lease);
      }
    } else if (!response.getComplete()) {
      onInvalidResponse(peer, "too many changes");
    } else {
      apply(peer, request, response);
    }
  }

  private void apply(NodeId peer, PendingRequest request, LeaseRenewalResponse response) {
    Changes changes;
    try {
      changes = parse(request, response);
    } catch (MalformedMessageException e) {
      onInvalidResponse(peer, e.getMessage());
      return;
    }
    if (request.lease.equals(NO_LEASE)) {
      // The watcher's listener notifies the session once the changes are applied.
      activeJobs.tryApply(changes, request.sentAt);
    } else if (controlKeys.tryApply(changes, request.sentAt)) {
      session.onRenewedByPeer(request.lease, request.sentAt, controlKeys.revision(), ownGrants());
    }
  }

  private Map<ShardId, Revision> ownGrants() {
    Map<ShardId, Revision> own = new HashMap<>();
    view.grants()
        .forEach(
            (shard, grant) -> {
              if (grant.owner().equals(self)) {
                own.put(shard, grant.revision());
              }
            });
    return own;
  }

  private static Changes parse(PendingRequest request, LeaseRenewalResponse response)
      throws MalformedMessageException {
    if (response.getRevision() < request.sinceRevision.value()) {
      throw new MalformedMessageException("revision older than the requested one");
    }
    List<Change> changes = new ArrayList<>();
    for (KeyChange change : response.getChanges()) {
      if (!change.getKey().startsWith(request.prefix())
          || change.getVersion() > response.getRevision()) {
        throw new MalformedMessageException(
            change.getKey() + " is outside the requested prefix or revision");
      }
      Optional<JsonNode> value =
          change.getValue().isEmpty()
              ? Optional.empty()
              : Optional.of(Json.parseObject(change.getValue()));
      changes.add(new Change(change.getKey(), value, new Revision(change.getVersion())));
    }
    return new Changes(changes, new Revision(response.getRevision()));
  }

  private void onInvalidResponse(NodeId peer, String reason) {
    invalidResponses++;
    MonotonicTime now = loop.now();
    if (invalidResponseLoggedAt
        .filter(at -> now.since(at).compareTo(INVALID_RESPONSE_LOG_INTERVAL) < 0)
        .isEmpty()) {
      invalidResponseLoggedAt = Optional.of(now);
      LOG.warn(
          "lease renewal response invalid, peer={} reason={} count={}",
          peer,
          reason,
          invalidResponses);
    }
  }
}
