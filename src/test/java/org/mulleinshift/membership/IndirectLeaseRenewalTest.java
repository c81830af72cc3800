package org.mulleinshift.membership;

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
import org.mulleinshift.model.ClusterView;
import org.mulleinshift.protocol.NodeId;
import org.mulleinshift.protocol.Revision;
import org.mulleinshift.protocol.ShardId;
import org.mulleinshift.protocol.StoreCodec;
import org.mulleinshift.protocol.peer.Heartbeat;
import org.mulleinshift.protocol.peer.KeyChange;
import org.mulleinshift.protocol.peer.LeaseRenewalRequest;
import org.mulleinshift.protocol.peer.LeaseRenewalResponse;
import org.mulleinshift.store.KeyValueStore;
import org.mulleinshift.store.StoreKeys;
import org.mulleinshift.store.WatchCache;
import org.mulleinshift.transport.HttpRequest;
import org.mulleinshift.transport.HttpResponse;
import org.mulleinshift.transport.MonotonicTime;

/** Entitlement by a peer's proof counts from when this node asked, however late the answer is. */
final class IndirectLeaseRenewalTest {
  private static final Duration LEASE = Duration.ofSeconds(10);
  private static final NodeId SELF = new NodeId("node-0");
  private static final NodeId PEER = new NodeId("node-1");
  private static final ShardId SHARD = new ShardId("a-0");
  private static final Revision GRANT = new Revision(40);

  private final VirtualEventLoop loop = new VirtualEventLoop();
  private final List<Object> sent = new ArrayList<>();
  private final ClusterView view = new ClusterView();
  private final PeerFailureDetector links = new PeerFailureDetector(loop, SELF);
  private boolean cut;
  private boolean newsHeldBack;
  private final KeyValueStore store =
      new KeyValueStore(
          loop,
          this::state,
          this::state,
          new InetSocketAddress(1),
          new KeyValueStore.Rates(1000, 1000, 1, 1));
  private final StoreHealth link =
      new StoreHealth(
          loop,
          Duration.ofSeconds(1),
          Duration.ofMillis(500),
          this::probe,
          new StoreHealth.Listener() {
            @Override
            public void doubted() {
              peerSpeaks();
            }

            @Override
            public boolean peerServedSince(MonotonicTime moment) {
              return links.anyServedSince(moment);
            }

            @Override
            public void changed(StoreHealth.State next) {
              if (next == StoreHealth.State.LOST) {
                proofs.start();
              }
            }
          });
  private final ControllerSession session =
      new ControllerSession(
          loop,
          store,
          SELF,
          LEASE,
          Duration.ofSeconds(2),
          () -> jobs().confirmCurrentUrgently(),
          () -> {});
  private final WatchCache control = follow(StoreKeys.CONTROL, () -> {});
  private final WatchCache jobs =
      follow(
          StoreKeys.ACTIVE_JOBS,
          () -> jobs().currentAsOf().ifPresent(session::onCancellationsKnown));
  private final IndirectLeaseRenewal proofs =
      new IndirectLeaseRenewal(
          loop,
          SELF,
          new IndirectLeaseRenewal.Parts(store, link, links, session, view, control, jobs),
          (node, body) -> sent.add(body));

  private WatchCache jobs() {
    return jobs;
  }

  private WatchCache follow(String prefix, Runnable settled) {
    return new WatchCache(
        loop,
        store,
        prefix,
        Duration.ofMillis(40),
        new WatchCache.Listener() {
          @Override
          public void onChange(String key, Optional<StoreCodec.KeyValue> item) {
            if (prefix.equals(StoreKeys.CONTROL)) {
              view.apply(key, item);
            }
          }

          @Override
          public void onCaughtUp(Revision revision) {
            settled.run();
          }
        });
  }

  private void probe() {
    store.get(StoreKeys.LEADER, KeyValueStore.Urgency.URGENT, answer -> {});
  }

  private void peerSpeaks() {
    loop.post(
        () ->
            links.onHeartbeat(
                PEER, new Heartbeat(1L, 0L, false, "WELL", "", 0L, "", false, List.of())));
  }

  /** The state service until it is cut off; watches never answer. */
  private void state(InetSocketAddress target, HttpRequest request, Consumer<HttpResponse> reply) {
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
      loop.after(request.deadline(), () -> reply.accept(HttpResponse.NO_RESPONSE));
    } else if (!waits) {
      loop.post(() -> reply.accept(new HttpResponse(known ? 200 : 404, body)));
    }
  }

  private void served() {
    store.observe(link);
    link.start();
    session.start();
    control.start();
    jobs.start();
    loop.runFor(1);
    assertEquals(ControllerSession.State.ACTIVE, session.state());
  }

  private LeaseRenewalRequest cutOffAndAsked() {
    served();
    cut = true;
    for (int i = 0; i < 6 && sent.isEmpty(); i++) {
      peerSpeaks();
      loop.runFor(0.5);
    }
    assertEquals(StoreHealth.State.LOST, link.state());
    return (LeaseRenewalRequest) sent.get(0);
  }

  /** The question for what was cancelled, asked beside the one for the session. */
  private LeaseRenewalRequest second() {
    return (LeaseRenewalRequest) sent.get(1);
  }

  private static LeaseRenewalResponse nothingCancelled(LeaseRenewalRequest asked) {
    return new LeaseRenewalResponse(asked.getId(), asked.getLease(), false, true, 50L, List.of());
  }

  private static LeaseRenewalResponse answerTo(LeaseRenewalRequest asked) {
    return new LeaseRenewalResponse(
        asked.getId(),
        asked.getLease(),
        false,
        true,
        50L,
        List.of(new KeyChange("c/g/a-0", "{\"holder\":\"node-0\"}", GRANT.value())));
  }

  @Test
  void countsFromTheQuestion() {
    LeaseRenewalRequest asked = cutOffAndAsked();
    MonotonicTime askedBy = loop.now();
    loop.runFor(0.4);
    proofs.onResponse(PEER, answerTo(asked));
    proofs.onResponse(PEER, nothingCancelled(second()));
    assertTrue(session.mayActFor(SHARD, GRANT));
    loop.runFor(LEASE.toMillis() / 1000.0 - 0.4 - 0.3);
    assertTrue(loop.now().since(askedBy).compareTo(LEASE) < 0);
    loop.runFor(0.3);
    assertFalse(session.mayActFor(SHARD, GRANT), "a lease after the question, not the answer");
  }

  @Test
  void lateAnswerEntitlesToNothing() {
    LeaseRenewalRequest asked = cutOffAndAsked();
    loop.runFor(12);
    proofs.onResponse(PEER, answerTo(asked));
    proofs.onResponse(PEER, nothingCancelled(second()));
    assertFalse(session.mayActFor(SHARD, GRANT));
  }

  @Test
  void leaseFoundOverEndsEverything() {
    LeaseRenewalRequest asked = cutOffAndAsked();
    proofs.onResponse(PEER, answerTo(asked));
    assertTrue(session.mayActFor(SHARD, GRANT));
    peerSpeaks();
    loop.runFor(1.2);
    LeaseRenewalRequest next = (LeaseRenewalRequest) sent.get(sent.size() - 2);
    proofs.onResponse(
        PEER, new LeaseRenewalResponse(next.getId(), next.getLease(), true, true, 0L, List.of()));
    assertFalse(session.mayActFor(SHARD, GRANT));
    assertEquals(Optional.empty(), session.lease());
  }

  /**
   * Renews the session by the peer for so many seconds; the last question for what is cancelled.
   */
  private LeaseRenewalRequest renewedByPeerFor(int seconds) {
    for (int i = 0; i < seconds; i++) {
      peerSpeaks();
      loop.runFor(1);
      proofs.onResponse(PEER, answerTo((LeaseRenewalRequest) sent.get(sent.size() - 2)));
    }
    return (LeaseRenewalRequest) sent.get(sent.size() - 1);
  }

  @Test
  void sessionAndGrantsWithoutCancellationsEndTheRight() {
    cutOffAndAsked();
    LeaseRenewalRequest asked = renewedByPeerFor(12);
    assertFalse(session.mayActFor(SHARD, GRANT), "a lease after cancellations were last known");
    proofs.onResponse(PEER, nothingCancelled(asked));
    assertTrue(session.mayActFor(SHARD, GRANT));
  }

  @Test
  void peerOfAnEarlierBuildProvesNoCancellations() {
    cutOffAndAsked();
    LeaseRenewalRequest asked = renewedByPeerFor(12);
    // It looks for a lease of that name, finds none, and says that it is over.
    proofs.onResponse(
        PEER, new LeaseRenewalResponse(asked.getId(), asked.getLease(), true, true, 0L, List.of()));
    assertFalse(session.mayActFor(SHARD, GRANT));
    assertEquals(ControllerSession.State.ACTIVE, session.state(), "the session's own lease stands");
  }

  @Test
  void contradictionsProveNothing() {
    cutOffAndAsked();
    LeaseRenewalRequest asked = renewedByPeerFor(12);
    long id = asked.getId();
    KeyChange elsewhere = new KeyChange("c/g/a-0", "{}", 40L);
    KeyChange later = new KeyChange("a/run-1", "{}", 60L);
    KeyChange unreadable = new KeyChange("a/run-1", "[", 40L);
    List<LeaseRenewalResponse> bad =
        List.of(
            new LeaseRenewalResponse(id, asked.getLease(), false, false, 50L, List.of()),
            new LeaseRenewalResponse(id, asked.getLease(), false, true, 1L, List.of()),
            new LeaseRenewalResponse(id, 9L, false, true, 50L, List.of()),
            new LeaseRenewalResponse(id, asked.getLease(), false, true, 50L, List.of(elsewhere)),
            new LeaseRenewalResponse(id, asked.getLease(), false, true, 50L, List.of(later)),
            new LeaseRenewalResponse(id, asked.getLease(), false, true, 50L, List.of(unreadable)));
    for (LeaseRenewalResponse answer : bad) {
      LeaseRenewalRequest open = renewedByPeerFor(1);
      answer.setId(open.getId());
      proofs.onResponse(PEER, answer);
      assertFalse(session.mayActFor(SHARD, GRANT), answer.toString());
    }
    proofs.onResponse(PEER, nothingCancelled(renewedByPeerFor(1)));
    assertTrue(session.mayActFor(SHARD, GRANT));
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
