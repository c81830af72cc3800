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
import org.mulleinshift.store.KeyValueStore.Answer;
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
  private static final Duration BAD_LOGGED = Duration.ofMinutes(1);

  private record Question(LeaseId hold, Revision since, MonotonicTime askedAt) {
    String prefix() {
      return hold.equals(NO_LEASE) ? StoreKeys.ACTIVE : StoreKeys.CONTROL;
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
  private final Map<Long, Question> asked = new HashMap<>();
  private long questions;
  private long turns;
  private boolean running;
  private long bad;
  private Optional<MonotonicTime> badLoggedAt = Optional.empty();

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
      ask();
    }
  }

  private void ask() {
    if (link.state() != StoreHealth.State.LOST) {
      running = false;
      asked.clear();
      return;
    }
    loop.after(EVERY, this::ask);
    List<NodeId> served = links.servedPeers();
    Optional<LeaseId> hold = session.hold();
    if (hold.isEmpty() || served.isEmpty()) {
      return;
    }
    asked.values().removeIf(old -> loop.now().since(old.askedAt).compareTo(EVERY) > 0);
    // One after the other: a peer that does not answer costs one turn.
    NodeId peer = served.get((int) (turns % served.size()));
    turns++;
    ask(peer, hold.get(), control.revision());
    ask(peer, NO_LEASE, jobs.revision());
  }

  private void ask(NodeId peer, LeaseId hold, Revision since) {
    long id = ++questions;
    asked.put(id, new Question(hold, since, loop.now()));
    send.accept(peer, new LeaseRenewalRequest(id, hold.value(), since.value()));
  }

  /** A peer without the state service asks. Three requests at the service, with no write. */
  public void onRequest(NodeId sender, LeaseRenewalRequest request) {
    if (link.state() != StoreHealth.State.SERVED) {
      return;
    }
    LeaseId hold = new LeaseId(request.getLease());
    if (hold.equals(NO_LEASE)) {
      readChanges(sender, request, StoreKeys.ACTIVE);
      return;
    }
    store.renew(
        hold,
        renewed -> {
          if (renewed instanceof Answer.Absent<Boolean>) {
            send.accept(sender, answer(request, true, new Changes(List.of(), new Revision(0))));
          } else if (renewed instanceof Answer.Found<Boolean>) {
            readChanges(sender, request, StoreKeys.CONTROL);
          }
        });
  }

  private void readChanges(NodeId sender, LeaseRenewalRequest request, String prefix) {
    store.changes(
        prefix,
        new Revision(request.getSinceRevision()),
        KeyValueStore.Urgency.URGENT,
        answer -> {
          if (answer instanceof Answer.Found<Changes> found) {
            send.accept(sender, answer(request, false, found.value()));
          }
        });
  }

  private static LeaseRenewalResponse answer(
      LeaseRenewalRequest request, boolean over, Changes changes) {
    List<KeyChange> list = new ArrayList<>();
    int characters = 0;
    for (Change change : changes.changes()) {
      String value = change.value().map(Json::write).orElse("");
      characters += value.length();
      list.add(new KeyChange(change.key(), value, change.version().value()));
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
  public void onAnswer(NodeId sender, LeaseRenewalResponse answer) {
    Question question = asked.remove(answer.getId());
    if (question == null) {
      return;
    }
    if (question.hold.value() != answer.getLease()) {
      provesNothing(sender, "of another lease");
    } else if (answer.getExpired()) {
      if (!question.hold.equals(NO_LEASE)) {
        session.provenOver(question.hold);
      }
    } else if (!answer.getComplete()) {
      provesNothing(sender, "too much has changed");
    } else {
      take(sender, question, answer);
    }
  }

  private void take(NodeId sender, Question question, LeaseRenewalResponse answer) {
    Changes changes;
    try {
      changes = parse(question, answer);
    } catch (MalformedMessageException e) {
      provesNothing(sender, e.getMessage());
      return;
    }
    if (question.hold.equals(NO_LEASE)) {
      // What is taken tells the session by itself.
      jobs.take(changes, question.askedAt);
    } else if (control.take(changes, question.askedAt)) {
      Map<ShardId, Revision> mine = new HashMap<>();
      view.grants()
          .forEach(
              (shard, grant) -> {
                if (grant.owner().equals(self)) {
                  mine.put(shard, grant.revision());
                }
              });
      session.proven(question.hold, question.askedAt, mine);
    }
  }

  private static Changes parse(Question question, LeaseRenewalResponse answer)
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

  private void provesNothing(NodeId sender, String why) {
    bad++;
    MonotonicTime now = loop.now();
    if (badLoggedAt.filter(at -> now.since(at).compareTo(BAD_LOGGED) < 0).isEmpty()) {
      badLoggedAt = Optional.of(now);
      LOG.warn("answer of {} proves nothing, {} so far: {}", sender, bad, why);
    }
  }
}
