package org.mulleinshift.coordination.membership;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import org.mulleinshift.bookkeeping.ControlView;
import org.mulleinshift.bookkeeping.Keys;
import org.mulleinshift.bookkeeping.PrefixView;
import org.mulleinshift.bookkeeping.StateStore;
import org.mulleinshift.bookkeeping.StateStore.Answer;
import org.mulleinshift.protocol.BadMessage;
import org.mulleinshift.protocol.BlockId;
import org.mulleinshift.protocol.HoldId;
import org.mulleinshift.protocol.Json;
import org.mulleinshift.protocol.NodeId;
import org.mulleinshift.protocol.Revision;
import org.mulleinshift.protocol.StateCodec.Change;
import org.mulleinshift.protocol.StateCodec.Changes;
import org.mulleinshift.protocol.peer.KeyChange;
import org.mulleinshift.protocol.peer.ProofAnswer;
import org.mulleinshift.protocol.peer.ProofRequest;
import org.mulleinshift.transport.EventLoop;
import org.mulleinshift.transport.SteadyTime;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A controller that lost the state service asks a served peer to renew its session lease, to tell
 * what has changed among the control keys, and what among the active jobs, where cancellations are;
 * so it goes on holding its blocks. What the peer does comes after the question: each ground of the
 * {@link RightToAct} counts from when it was asked for.
 *
 * <p>The question for the active jobs names no lease. A peer of an earlier build finds that lease
 * over, says so, and proves nothing by it.
 */
public final class PeerProofs {
  private static final Logger LOG = LoggerFactory.getLogger(PeerProofs.class);
  private static final Duration EVERY = Duration.ofSeconds(1);

  /** Longer answers are left out; the asker then runs to the end of its lease. */
  private static final int MOST_CHARACTERS = 1 << 19;

  private static final HoldId NO_LEASE = new HoldId(0);
  private static final Duration BAD_LOGGED = Duration.ofMinutes(1);

  private record Question(HoldId hold, Revision since, SteadyTime askedAt) {
    String prefix() {
      return hold.equals(NO_LEASE) ? Keys.ACTIVE : Keys.CONTROL;
    }
  }

  private final EventLoop loop;
  private final NodeId self;
  private final StateStore store;
  private final StateLink link;
  private final Links links;
  private final Session session;
  private final ControlView view;
  private final PrefixView control;
  private final PrefixView jobs;
  private final BiConsumer<NodeId, Object> send;
  private final Map<Long, Question> asked = new HashMap<>();
  private long questions;
  private long turns;
  private boolean running;
  private long bad;
  private Optional<SteadyTime> badLoggedAt = Optional.empty();

  /** What proofs are made of. */
  public record Parts(
      StateStore store,
      StateLink link,
      Links links,
      Session session,
      ControlView view,
      PrefixView control,
      PrefixView jobs) {}

  public PeerProofs(EventLoop loop, NodeId self, Parts parts, BiConsumer<NodeId, Object> send) {
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
    if (link.state() != StateLink.State.LOST) {
      running = false;
      asked.clear();
      return;
    }
    loop.after(EVERY, this::ask);
    List<NodeId> served = links.servedPeers();
    Optional<HoldId> hold = session.hold();
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

  private void ask(NodeId peer, HoldId hold, Revision since) {
    long id = ++questions;
    asked.put(id, new Question(hold, since, loop.now()));
    send.accept(peer, new ProofRequest(id, hold.value(), since.value()));
  }

  /** A peer without the state service asks. Three requests at the service, with no write. */
  public void onRequest(NodeId sender, ProofRequest request) {
    if (link.state() != StateLink.State.SERVED) {
      return;
    }
    HoldId hold = new HoldId(request.getHold());
    if (hold.equals(NO_LEASE)) {
      readChanges(sender, request, Keys.ACTIVE);
      return;
    }
    store.renew(
        hold,
        renewed -> {
          if (renewed instanceof Answer.Absent<Boolean>) {
            send.accept(sender, answer(request, true, new Changes(List.of(), new Revision(0))));
          } else if (renewed instanceof Answer.Found<Boolean>) {
            readChanges(sender, request, Keys.CONTROL);
          }
        });
  }

  private void readChanges(NodeId sender, ProofRequest request, String prefix) {
    store.changes(
        prefix,
        new Revision(request.getSince()),
        StateStore.Urgency.URGENT,
        answer -> {
          if (answer instanceof Answer.Found<Changes> found) {
            send.accept(sender, answer(request, false, found.value()));
          }
        });
  }

  private static ProofAnswer answer(ProofRequest request, boolean over, Changes changes) {
    List<KeyChange> list = new ArrayList<>();
    int characters = 0;
    for (Change change : changes.changes()) {
      String value = change.value().map(Json::write).orElse("");
      characters += value.length();
      list.add(new KeyChange(change.key(), value, change.version().value()));
    }
    boolean fits = characters <= MOST_CHARACTERS;
    return new ProofAnswer(
        request.getId(),
        request.getHold(),
        over,
        fits,
        changes.revision().value(),
        fits ? list : List.of());
  }

  /** Counted from when this node asked; an answer to no open question is out of date. */
  public void onAnswer(NodeId sender, ProofAnswer answer) {
    Question question = asked.remove(answer.getId());
    if (question == null) {
      return;
    }
    if (question.hold.value() != answer.getHold()) {
      provesNothing(sender, "of another lease");
    } else if (answer.getOver()) {
      if (!question.hold.equals(NO_LEASE)) {
        session.provenOver(question.hold);
      }
    } else if (!answer.getComplete()) {
      provesNothing(sender, "too much has changed");
    } else {
      take(sender, question, answer);
    }
  }

  private void take(NodeId sender, Question question, ProofAnswer answer) {
    Changes changes;
    try {
      changes = parse(question, answer);
    } catch (BadMessage e) {
      provesNothing(sender, e.getMessage());
      return;
    }
    if (question.hold.equals(NO_LEASE)) {
      // What is taken tells the session by itself.
      jobs.take(changes, question.askedAt);
    } else if (control.take(changes, question.askedAt)) {
      Map<BlockId, Revision> mine = new HashMap<>();
      view.grants()
          .forEach(
              (block, grant) -> {
                if (grant.holder().equals(self)) {
                  mine.put(block, grant.revision());
                }
              });
      session.proven(question.hold, question.askedAt, mine);
    }
  }

  private static Changes parse(Question question, ProofAnswer answer) throws BadMessage {
    if (answer.getRevision() < question.since.value()) {
      throw new BadMessage("of an earlier revision than asked for");
    }
    List<Change> changes = new ArrayList<>();
    for (KeyChange change : answer.getChanges()) {
      if (!change.getKey().startsWith(question.prefix())
          || change.getVersion() > answer.getRevision()) {
        throw new BadMessage(change.getKey() + " does not belong there");
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
    SteadyTime now = loop.now();
    if (badLoggedAt.filter(at -> now.since(at).compareTo(BAD_LOGGED) < 0).isEmpty()) {
      badLoggedAt = Optional.of(now);
      LOG.warn("answer of {} proves nothing, {} so far: {}", sender, bad, why);
    }
  }
}
