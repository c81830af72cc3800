package org.mulleinshift.coordination.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.mulleinshift.bookkeeping.ControlView;
import org.mulleinshift.bookkeeping.Keys;
import org.mulleinshift.bookkeeping.PrefixView;
import org.mulleinshift.bookkeeping.StateStore;
import org.mulleinshift.protocol.BlockId;
import org.mulleinshift.protocol.NodeId;
import org.mulleinshift.protocol.Revision;
import org.mulleinshift.protocol.StateCodec;
import org.mulleinshift.protocol.peer.Heartbeat;
import org.mulleinshift.protocol.peer.KeyChange;
import org.mulleinshift.protocol.peer.ProofAnswer;
import org.mulleinshift.protocol.peer.ProofRequest;
import org.mulleinshift.transport.HttpReply;
import org.mulleinshift.transport.HttpRequest;
import org.mulleinshift.transport.SteadyTime;

/** Entitlement by a peer's proof counts from when this node asked, however late the answer is. */
final class ProofTest {
  private static final Duration LEASE = Duration.ofSeconds(10);
  private static final NodeId SELF = new NodeId("node-0");
  private static final NodeId PEER = new NodeId("node-1");
  private static final BlockId BLOCK = new BlockId("a-0");
  private static final Revision GRANT = new Revision(40);

  private final VirtualLoop loop = new VirtualLoop();
  private final List<Object> sent = new ArrayList<>();
  private final ControlView view = new ControlView();
  private final Links links = new Links(loop, SELF);
  private boolean cut;
  private boolean newsHeldBack;
  private final StateStore store =
      new StateStore(
          loop,
          this::state,
          this::state,
          new InetSocketAddress(1),
          new StateStore.Rates(1000, 1000, 1, 1));
  private final StateLink link =
      new StateLink(
          loop,
          Duration.ofSeconds(1),
          Duration.ofMillis(500),
          this::probe,
          new StateLink.Listener() {
            @Override
            public void doubted() {
              peerSpeaks();
            }

            @Override
            public boolean peerServedSince(SteadyTime moment) {
              return links.anyServedSince(moment);
            }

            @Override
            public void changed(StateLink.State next) {
              if (next == StateLink.State.LOST) {
                proofs.start();
              }
            }
          });
  private final Session session =
      new Session(
          loop, store, SELF, LEASE, Duration.ofSeconds(2), () -> jobs().provePromptly(), () -> {});
  private final PrefixView control = follow(Keys.CONTROL, () -> {});
  private final PrefixView jobs =
      follow(Keys.ACTIVE, () -> jobs().knownAsOf().ifPresent(session::cancellationsKnown));
  private final PeerProofs proofs =
      new PeerProofs(
          loop,
          SELF,
          new PeerProofs.Parts(store, link, links, session, view, control, jobs),
          (node, body) -> sent.add(body));

  private PrefixView jobs() {
    return jobs;
  }

  private PrefixView follow(String prefix, Runnable settled) {
    return new PrefixView(
        loop,
        store,
        prefix,
        Duration.ofMillis(40),
        new PrefixView.Listener() {
          @Override
          public void changed(String key, Optional<StateCodec.Item> item) {
            if (prefix.equals(Keys.CONTROL)) {
              view.apply(key, item);
            }
          }

          @Override
          public void settled(Revision revision) {
            settled.run();
          }
        });
  }

  private void probe() {
    store.get(Keys.LEADER, StateStore.Urgency.URGENT, answer -> {});
  }

  private void peerSpeaks() {
    loop.post(
        () -> links.beat(PEER, new Heartbeat(1L, 0L, false, "WELL", "", 0L, "", false, List.of())));
  }

  /** The state service until it is cut off; watches never answer. */
  private void state(InetSocketAddress target, HttpRequest request, Consumer<HttpReply> reply) {
    String path = request.path();
    String body =
        path.equals("/holds")
            ? "{\"hold\":7}"
            : path.startsWith("/keys?")
                ? "{\"rows\":[],\"more\":false,\"epoch\":3}"
                : "{\"epoch\":3,\"news\":[]}";
    boolean known = !path.startsWith("/keys/");
    boolean waits = path.startsWith("/changes") && !path.endsWith("hold_ms=0");
    boolean heldBack = newsHeldBack && path.startsWith("/changes");
    if (cut || heldBack) {
      loop.after(request.deadline(), () -> reply.accept(HttpReply.NONE));
    } else if (!waits) {
      loop.post(() -> reply.accept(new HttpReply(known ? 200 : 404, body)));
    }
  }

  private void served() {
    store.tell(link);
    link.start();
    session.start();
    control.start();
    jobs.start();
    loop.runFor(1);
    assertEquals(Session.State.HELD, session.state());
  }

  private ProofRequest cutOffAndAsked() {
    served();
    cut = true;
    for (int i = 0; i < 6 && sent.isEmpty(); i++) {
      peerSpeaks();
      loop.runFor(0.5);
    }
    assertEquals(StateLink.State.LOST, link.state());
    return (ProofRequest) sent.get(0);
  }

  /** The question for what was cancelled, asked beside the one for the session. */
  private ProofRequest second() {
    return (ProofRequest) sent.get(1);
  }

  private static ProofAnswer nothingCancelled(ProofRequest asked) {
    return new ProofAnswer(asked.getId(), asked.getHold(), false, true, 50L, List.of());
  }

  private static ProofAnswer answerTo(ProofRequest asked) {
    return new ProofAnswer(
        asked.getId(),
        asked.getHold(),
        false,
        true,
        50L,
        List.of(new KeyChange("c/g/a-0", "{\"holder\":\"node-0\"}", GRANT.value())));
  }

  @Test
  void countsFromTheQuestion() {
    ProofRequest asked = cutOffAndAsked();
    SteadyTime askedBy = loop.now();
    loop.runFor(0.4);
    proofs.onAnswer(PEER, answerTo(asked));
    proofs.onAnswer(PEER, nothingCancelled(second()));
    assertTrue(session.entitled(BLOCK, GRANT));
    loop.runFor(LEASE.toMillis() / 1000.0 - 0.4 - 0.3);
    assertTrue(loop.now().since(askedBy).compareTo(LEASE) < 0);
    loop.runFor(0.3);
    assertFalse(session.entitled(BLOCK, GRANT), "a lease after the question, not the answer");
  }

  @Test
  void lateAnswerEntitlesToNothing() {
    ProofRequest asked = cutOffAndAsked();
    loop.runFor(12);
    proofs.onAnswer(PEER, answerTo(asked));
    proofs.onAnswer(PEER, nothingCancelled(second()));
    assertFalse(session.entitled(BLOCK, GRANT));
  }

  @Test
  void leaseFoundOverEndsEverything() {
    ProofRequest asked = cutOffAndAsked();
    proofs.onAnswer(PEER, answerTo(asked));
    assertTrue(session.entitled(BLOCK, GRANT));
    peerSpeaks();
    loop.runFor(1.2);
    ProofRequest next = (ProofRequest) sent.get(sent.size() - 2);
    proofs.onAnswer(PEER, new ProofAnswer(next.getId(), next.getHold(), true, true, 0L, List.of()));
    assertFalse(session.entitled(BLOCK, GRANT));
    assertEquals(Optional.empty(), session.hold());
  }

  /**
   * Renews the session by the peer for so many seconds; the last question for what is cancelled.
   */
  private ProofRequest renewedByPeerFor(int seconds) {
    for (int i = 0; i < seconds; i++) {
      peerSpeaks();
      loop.runFor(1);
      proofs.onAnswer(PEER, answerTo((ProofRequest) sent.get(sent.size() - 2)));
    }
    return (ProofRequest) sent.get(sent.size() - 1);
  }

  @Test
  void sessionAndGrantsWithoutCancellationsEndTheRight() {
    cutOffAndAsked();
    ProofRequest asked = renewedByPeerFor(12);
    assertFalse(session.entitled(BLOCK, GRANT), "a lease after cancellations were last known");
    proofs.onAnswer(PEER, nothingCancelled(asked));
    assertTrue(session.entitled(BLOCK, GRANT));
  }

  @Test
  void peerOfAnEarlierBuildProvesNoCancellations() {
    cutOffAndAsked();
    ProofRequest asked = renewedByPeerFor(12);
    // It looks for a lease of that name, finds none, and says that it is over.
    proofs.onAnswer(
        PEER, new ProofAnswer(asked.getId(), asked.getHold(), true, true, 0L, List.of()));
    assertFalse(session.entitled(BLOCK, GRANT));
    assertEquals(Session.State.HELD, session.state(), "the session's own lease stands");
  }

  @Test
  void contradictionsProveNothing() {
    cutOffAndAsked();
    ProofRequest asked = renewedByPeerFor(12);
    long id = asked.getId();
    KeyChange elsewhere = new KeyChange("c/g/a-0", "{}", 40L);
    KeyChange later = new KeyChange("a/run-1", "{}", 60L);
    KeyChange unreadable = new KeyChange("a/run-1", "[", 40L);
    List<ProofAnswer> bad =
        List.of(
            new ProofAnswer(id, asked.getHold(), false, false, 50L, List.of()),
            new ProofAnswer(id, asked.getHold(), false, true, 1L, List.of()),
            new ProofAnswer(id, 9L, false, true, 50L, List.of()),
            new ProofAnswer(id, asked.getHold(), false, true, 50L, List.of(elsewhere)),
            new ProofAnswer(id, asked.getHold(), false, true, 50L, List.of(later)),
            new ProofAnswer(id, asked.getHold(), false, true, 50L, List.of(unreadable)));
    for (ProofAnswer answer : bad) {
      ProofRequest open = renewedByPeerFor(1);
      answer.setId(open.getId());
      proofs.onAnswer(PEER, answer);
      assertFalse(session.entitled(BLOCK, GRANT), answer.toString());
    }
    proofs.onAnswer(PEER, nothingCancelled(renewedByPeerFor(1)));
    assertTrue(session.entitled(BLOCK, GRANT));
  }

  @Test
  void heldBackNewsEndTheRightThoughRenewalsAreAnswered() {
    served();
    loop.runFor(20);
    assertTrue(session.mayAct());
    newsHeldBack = true;
    loop.runFor(LEASE.toMillis() / 1000.0 + 1);
    assertFalse(session.mayAct());
    newsHeldBack = false;
    loop.runFor(5);
    assertTrue(session.mayAct());
  }
}
