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
import org.mulleinshift.store.StoreKeys;
import org.mulleinshift.store.WatchCache;
import org.mulleinshift.transport.EventLoop;
import org.mulleinshift.transport.MonotonicTime;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A controller that lost the state service asks a served peer to renew its session lease, to tell
 * what has changed among the control keys, and what among the active jobs, where cancellations are;
 * so it goes on holding its shards. What the peer does comes after the question: each ground of the
 * {@link OwnershipLease} counts from when it was asked for.
 *
 * <p>The question for the active jobs names no lease. A peer of an earlier build finds that lease
 * over, says so, and proves nothing by it.
 */
public final class IndirectLeaseRenewal {
  private static final Logger LOG = LoggerFactory.getLogger(IndirectLeaseRenewal.class);
  private static final Duration EVERY = Duration.ofSeconds(1);

  /** Longer answers are left out; the asker then runs to the end of its lease. */
  private static final int MAX_CHARACTERS = 1 << 19;

  private static final LeaseId NO_LEASE = new LeaseId(0);
  private static final Duration INVALID_LOG_INTERVAL = Duration.ofMinutes(1);

  private record PendingRequest(LeaseId lease, Revision since, MonotonicTime sentAt) {
    String prefix() {
      return lease.equals(NO_LEASE) ? StoreKeys.ACTIVE_JOBS : StoreKeys.CONTROL;
    }
  }

  private final EventLoop loop;
  private final NodeId self;
  private final KeyValueStore store;
  private final StoreHealth link;
  private final PeerFailureDetector links;
  private final ControllerSession session;
  private final ClusterView view;
  private final WatchCache control;
  private final WatchCache jobs;
  private final BiConsumer<NodeId, Object> send;
  private final Map<Long, PendingRequest> pending = new HashMap<>();
  private long lastRequestId;
  private long turns;
  private boolean running;
  private long invalidResponses;
  private Optional<MonotonicTime> invalidLoggedAt = Optional.empty();

  /** What proofs are made of. */
  public record Parts(
      KeyValueStore store,
      StoreHealth link,
      PeerFailureDetector links,
      ControllerSession session,
      ClusterView view,
      WatchCache control,
      WatchCache jobs) {}

  public IndirectLeaseRenewal(
      EventLoop loop, NodeId self, Parts parts, BiConsumer<NodeId, Object> send) {
    this.loop = loop;
    this.self = self;
    this.store = parts.store();
    this.link = parts.link();
    this.links = parts.links();
    this.session = parts.session();
    this.view = parts.view();
    this.control = parts.control();
    this.jobs = parts.jobs();
    this.send = send;
  }

  /** The link was lost: from now on until it is back. */
  public void start() {
    if (!running) {
      running = true;
      requestRenewal();
    }
  }

  private void requestRenewal() {
    if (link.state() != StoreHealth.State.LOST) {
      running = false;
      pending.clear();
      return;
    }
    loop.after(EVERY, this::requestRenewal);
    List<NodeId> served = links.peersServedByStore();
    Optional<LeaseId> hold = session.lease();
    if (hold.isEmpty() || served.isEmpty()) {
      return;
    }
    pending.values().removeIf(old -> loop.now().since(old.sentAt).compareTo(EVERY) > 0);
    // One after the other: a peer that does not answer costs one turn.
    NodeId peer = served.get((int) (turns % served.size()));
    turns++;
    requestRenewal(peer, hold.get(), control.revision());
    requestRenewal(peer, NO_LEASE, jobs.revision());
  }

  private void requestRenewal(NodeId peer, LeaseId hold, Revision since) {
    long id = ++lastRequestId;
    pending.put(id, new PendingRequest(hold, since, loop.now()));
    send.accept(peer, new LeaseRenewalRequest(id, hold.value(), since.value()));
  }

  /** A peer without the state service asks. Three requests at the service, with no write. */
  public void onRequest(NodeId sender, LeaseRenewalRequest request) {
    if (link.state() != StoreHealth.State.SERVED) {
      return;
    }
    LeaseId hold = new LeaseId(request.getLease());
    if (hold.equals(NO_LEASE)) {
      readChanges(sender, request, StoreKeys.ACTIVE_JOBS);
      return;
    }
    store.renewLease(
        hold,
        renewed -> {
          if (renewed instanceof ReadResult.Absent<Boolean>) {
            send.accept(sender, response(request, true, new Changes(List.of(), new Revision(0))));
          } else if (renewed instanceof ReadResult.Found<Boolean>) {
            readChanges(sender, request, StoreKeys.CONTROL);
          }
        });
  }

  private void readChanges(NodeId sender, LeaseRenewalRequest request, String prefix) {
    store.readChanges(
        prefix,
        new Revision(request.getSinceRevision()),
        KeyValueStore.Urgency.URGENT,
        answer -> {
          if (answer instanceof ReadResult.Found<Changes> found) {
            send.accept(sender, response(request, false, found.value()));
          }
        });
  }

  private static LeaseRenewalResponse response(
      LeaseRenewalRequest request, boolean over, Changes changes) {
    List<KeyChange> list = new ArrayList<>();
    int characters = 0;
    for (Change change : changes.changes()) {
      String value = change.value().map(Json::write).orElse("");
      characters += value.length();
      list.add(new KeyChange(change.key(), value, change.revision().value()));
    }
    boolean fits = characters <= MAX_CHARACTERS;
    return new LeaseRenewalResponse(
        request.getId(),
        request.getLease(),
        over,
        fits,
        changes.revision().value(),
        fits ? list : List.of());
  }

  /** Counted from when this node asked; an answer to no open question is out of date. */
  public void onResponse(NodeId sender, LeaseRenewalResponse answer) {
    PendingRequest question = pending.remove(answer.getId());
    if (question == null) {
      return;
    }
    if (question.lease.value() != answer.getLease()) {
      onInvalidResponse(sender, "of another lease");
    } else if (answer.getExpired()) {
      if (!question.lease.equals(NO_LEASE)) {
        session.onExpiryReportedByPeer(question.lease);
      }
    } else if (!answer.getComplete()) {
      onInvalidResponse(sender, "too much has changed");
    } else {
      apply(sender, question, answer);
    }
  }

  private void apply(NodeId sender, PendingRequest question, LeaseRenewalResponse answer) {
    Changes changes;
    try {
      changes = parse(question, answer);
    } catch (MalformedMessageException e) {
      onInvalidResponse(sender, e.getMessage());
      return;
    }
    if (question.lease.equals(NO_LEASE)) {
      // What is taken tells the session by itself.
      jobs.take(changes, question.sentAt);
    } else if (control.take(changes, question.sentAt)) {
      Map<ShardId, Revision> mine = new HashMap<>();
      view.grants()
          .forEach(
              (shard, grant) -> {
                if (grant.owner().equals(self)) {
                  mine.put(shard, grant.revision());
                }
              });
      session.onRenewedByPeer(question.lease, question.sentAt, mine);
    }
  }

  private static Changes parse(PendingRequest question, LeaseRenewalResponse answer)
      throws MalformedMessageException {
    if (answer.getRevision() < question.since.value()) {
      throw new MalformedMessageException("of an earlier revision than asked for");
    }
    List<Change> changes = new ArrayList<>();
    for (KeyChange change : answer.getChanges()) {
      if (!change.getKey().startsWith(question.prefix())
          || change.getVersion() > answer.getRevision()) {
        throw new MalformedMessageException(change.getKey() + " does not belong there");
      }
      Optional<JsonNode> value =
          change.getValue().isEmpty()
              ? Optional.empty()
              : Optional.of(Json.parseObject(change.getValue()));
      changes.add(new Change(change.getKey(), value, new Revision(change.getVersion())));
    }
    return new Changes(changes, new Revision(answer.getRevision()));
  }

  private void onInvalidResponse(NodeId sender, String why) {
    invalidResponses++;
    MonotonicTime now = loop.now();
    if (invalidLoggedAt.filter(at -> now.since(at).compareTo(INVALID_LOG_INTERVAL) < 0).isEmpty()) {
      invalidLoggedAt = Optional.of(now);
      LOG.warn("answer of {} proves nothing, {} so far: {}", sender, invalidResponses, why);
    }
  }
}
