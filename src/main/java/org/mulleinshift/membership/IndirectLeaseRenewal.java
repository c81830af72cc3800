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
 * Lease renewal through a peer. A controller that lost the store asks a peer that the store serves
 * to renew its session lease and to read what has changed among the control keys and among the
 * active jobs, where cancellations are recorded; so it keeps its shards. The peer does this after
 * the request was sent: each {@link OwnershipLease.Evidence} counts from when it was requested.
 *
 * <p>The request for the active jobs names no lease. A peer of an earlier build finds that lease
 * expired and reports so, which is evidence of nothing.
 */
public final class IndirectLeaseRenewal {
  private static final Logger LOG = LoggerFactory.getLogger(IndirectLeaseRenewal.class);
  private static final Duration REQUEST_INTERVAL = Duration.ofSeconds(1);

  /** Longer responses are not sent; the lease of the sender of the request then expires. */
  private static final int MAX_CHARACTERS = 1 << 19;

  private static final LeaseId NO_LEASE = new LeaseId(0);
  private static final Duration INVALID_LOG_INTERVAL = Duration.ofMinutes(1);

  /**
   * A request without a response so far; {@code since} is the revision up to which changes are
   * known.
   */
  private record PendingRequest(LeaseId lease, Revision since, MonotonicTime sentAt) {
    String prefix() {
      return lease.equals(NO_LEASE) ? StoreKeys.ACTIVE_JOBS : StoreKeys.CONTROL;
    }
  }

  private final EventLoop loop;
  private final NodeId self;
  private final KeyValueStore store;
  private final StoreHealth storeHealth;
  private final PeerFailureDetector peers;
  private final ControllerSession session;
  private final ClusterView view;
  private final PrefixWatcher control;
  private final PrefixWatcher jobs;
  private final BiConsumer<NodeId, Object> sendToPeer;
  private final Map<Long, PendingRequest> pending = new HashMap<>();
  private long lastRequestId;
  private long attempts;
  private boolean running;
  private long invalidResponses;
  private Optional<MonotonicTime> invalidLoggedAt = Optional.empty();

  /**
   * What the renewal needs of its controller.
   *
   * @param storeHealth health of the connection to the store
   * @param peers which peers the store serves
   * @param session the session to renew
   * @param view the control keys, updated through {@code control}
   * @param control the cached control keys
   * @param jobs the cached records of active jobs
   */
  public record Context(
      KeyValueStore store,
      StoreHealth storeHealth,
      PeerFailureDetector peers,
      ControllerSession session,
      ClusterView view,
      PrefixWatcher control,
      PrefixWatcher jobs) {}

  /**
   * Sends nothing before {@link #start}.
   *
   * @param sendToPeer sends a message to a peer
   */
  public IndirectLeaseRenewal(
      EventLoop loop, NodeId self, Context context, BiConsumer<NodeId, Object> sendToPeer) {
    this.loop = loop;
    this.self = self;
    this.store = context.store();
    this.storeHealth = context.storeHealth();
    this.peers = context.peers();
    this.session = context.session();
    this.view = context.view();
    this.control = context.control();
    this.jobs = context.jobs();
    this.sendToPeer = sendToPeer;
  }

  /** The store was lost: requests renewals from now on until it is back. */
  public void start() {
    if (!running) {
      running = true;
      requestRenewal();
    }
  }

  private void requestRenewal() {
    if (storeHealth.state() != StoreHealth.State.LOST) {
      running = false;
      pending.clear();
      return;
    }
    loop.after(REQUEST_INTERVAL, this::requestRenewal);
    List<NodeId> served = peers.peersServedByStore();
    Optional<LeaseId> lease = session.lease();
    if (lease.isEmpty() || served.isEmpty()) {
      return;
    }
    pending.values().removeIf(old -> loop.now().since(old.sentAt).compareTo(REQUEST_INTERVAL) > 0);
    // In turn: a peer that does not answer costs one attempt.
    NodeId peer = served.get((int) (attempts % served.size()));
    attempts++;
    requestRenewal(peer, lease.get(), control.revision());
    requestRenewal(peer, NO_LEASE, jobs.revision());
  }

  private void requestRenewal(NodeId peer, LeaseId lease, Revision since) {
    long id = ++lastRequestId;
    pending.put(id, new PendingRequest(lease, since, loop.now()));
    sendToPeer.accept(peer, new LeaseRenewalRequest(id, lease.value(), since.value()));
  }

  /** A peer without the store asks for a renewal. Costs three requests at the store, no write. */
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
    boolean complete = characters <= MAX_CHARACTERS;
    return new LeaseRenewalResponse(
        request.getId(),
        request.getLease(),
        false,
        complete,
        changes.revision().value(),
        complete ? list : List.of());
  }

  /**
   * A peer's response. What it shows counts from when this controller sent the request; a response
   * to no pending request is out of date and ignored.
   */
  public void onResponse(NodeId peer, LeaseRenewalResponse response) {
    PendingRequest request = pending.remove(response.getId());
    if (request == null) {
      return;
    }
    if (request.lease.value() != response.getLease()) {
      onInvalidResponse(peer, "of another lease");
    } else if (response.getExpired()) {
      if (!request.lease.equals(NO_LEASE)) {
        session.onExpiryReportedByPeer(request.lease);
      }
    } else if (!response.getComplete()) {
      onInvalidResponse(peer, "too much has changed");
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
      // The cache notifies the session once it is current.
      jobs.tryApply(changes, request.sentAt);
    } else if (control.tryApply(changes, request.sentAt)) {
      session.onRenewedByPeer(request.lease, request.sentAt, ownGrants());
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
    if (response.getRevision() < request.since.value()) {
      throw new MalformedMessageException("of an earlier revision than asked for");
    }
    List<Change> changes = new ArrayList<>();
    for (KeyChange change : response.getChanges()) {
      if (!change.getKey().startsWith(request.prefix())
          || change.getVersion() > response.getRevision()) {
        throw new MalformedMessageException(change.getKey() + " does not belong there");
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
    if (invalidLoggedAt.filter(at -> now.since(at).compareTo(INVALID_LOG_INTERVAL) < 0).isEmpty()) {
      invalidLoggedAt = Optional.of(now);
      LOG.warn(
          "lease renewal response invalid, peer={} reason={} count={}",
          peer,
          reason,
          invalidResponses);
    }
  }
}
