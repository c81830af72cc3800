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
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
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
import org.mulleinshift.store.PrefixWatcher;
import org.mulleinshift.store.StoreKeys;
import org.mulleinshift.transport.HttpRequest;
import org.mulleinshift.transport.HttpResponse;
import org.mulleinshift.transport.MonotonicTime;

/** Evidence in a peer's response is dated by the request, however late the response arrives. */
final class IndirectLeaseRenewalTest {
  private static final Duration LEASE = Duration.ofSeconds(10);
  private static final NodeId SELF = new NodeId("node-0");
  private static final NodeId PEER = new NodeId("node-1");
  private static final ShardId SHARD = new ShardId("a-0");
  private static final Revision GRANT = new Revision(40);

  private final VirtualEventLoop loop = new VirtualEventLoop();
  private final List<Object> sent = new ArrayList<>();
  private final ClusterView view = new ClusterView();
  private final PeerFailureDetector peers = new PeerFailureDetector(loop, SELF);
  private boolean storeUnreachable;
  private boolean watchDelayed;
  private final KeyValueStore store =
      new KeyValueStore(
          loop,
          this::answerStoreCall,
          this::answerStoreCall,
          new InetSocketAddress(1),
          new KeyValueStore.Rates(1000, 1000, 1, 1));
  private final StoreHealth storeHealth =
      new StoreHealth(
          loop,
          Duration.ofSeconds(1),
          Duration.ofMillis(500),
          this::probe,
          new StoreHealth.Listener() {
            @Override
            public void onSuspected() {
              peerSendsHeartbeat();
            }

            @Override
            public boolean anyPeerServedSince(MonotonicTime moment) {
              return peers.anyPeerServedSince(moment);
            }

            @Override
            public void onStateChanged(StoreHealth.State next) {
              if (next == StoreHealth.State.LOST) {
                renewal.start();
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
  private final PrefixWatcher control = follow(StoreKeys.CONTROL, () -> {});
  private final PrefixWatcher jobs =
      follow(
          StoreKeys.ACTIVE_JOBS,
          () -> jobs().currentAsOf().ifPresent(session::onCancellationsKnown));
  private final IndirectLeaseRenewal renewal =
      new IndirectLeaseRenewal(
          loop,
          SELF,
          new IndirectLeaseRenewal.Context(store, storeHealth, peers, session, view, control, jobs),
          (node, body) -> sent.add(body));

  private PrefixWatcher jobs() {
    return jobs;
  }

  private PrefixWatcher follow(String prefix, Runnable onCaughtUp) {
    return new PrefixWatcher(
        loop,
        store,
        prefix,
        Duration.ofMillis(40),
        new PrefixWatcher.Listener() {
          @Override
          public void onChange(String key, Optional<StoreCodec.KeyValue> item) {
            if (prefix.equals(StoreKeys.CONTROL)) {
              view.apply(key, item);
            }
          }

          @Override
          public void onCaughtUp(Revision revision) {
            onCaughtUp.run();
          }
        });
  }

  private void probe() {
    store.get(StoreKeys.LEADER, KeyValueStore.Urgency.URGENT, answer -> {});
  }

  private void peerSendsHeartbeat() {
    loop.post(
        () ->
            peers.onHeartbeat(
                PEER, new Heartbeat(1L, 0L, false, "WELL", "", 0L, "", false, List.of())));
  }

  /** Answers calls while the store is reachable; watches are never answered. */
  private void answerStoreCall(
      InetSocketAddress target, HttpRequest request, Consumer<HttpResponse> reply) {
    String path = request.path();
    String body =
        path.equals("/holds")
            ? "{\"hold\":7}"
            : path.startsWith("/keys?")
                ? "{\"rows\":[],\"more\":false,\"epoch\":3}"
                : "{\"epoch\":3,\"news\":[]}";
    boolean keyExists = !path.startsWith("/keys/");
    boolean watching = path.startsWith("/changes") && !path.endsWith("hold_ms=0");
    boolean delayed = watchDelayed && path.startsWith("/changes");
    if (storeUnreachable || delayed) {
      loop.after(request.timeout(), () -> reply.accept(HttpResponse.NO_RESPONSE));
    } else if (!watching) {
      loop.post(() -> reply.accept(new HttpResponse(keyExists ? 200 : 404, body)));
    }
  }

  private void startWithReachableStore() {
    store.setCallObserver(storeHealth);
    storeHealth.start();
    session.start();
    control.start();
    jobs.start();
    loop.runFor(1);
    assertEquals(ControllerSession.State.ACTIVE, session.state());
  }

  private LeaseRenewalRequest loseStoreAndRequestRenewal() {
    startWithReachableStore();
    storeUnreachable = true;
    for (int i = 0; i < 6 && sent.isEmpty(); i++) {
      peerSendsHeartbeat();
      loop.runFor(0.5);
    }
    assertEquals(StoreHealth.State.LOST, storeHealth.state());
    return (LeaseRenewalRequest) sent.get(0);
  }

  /** The request for cancellations, sent together with the one for the session. */
  private LeaseRenewalRequest cancellationsRequest() {
    return (LeaseRenewalRequest) sent.get(1);
  }

  private static LeaseRenewalResponse nothingCancelledResponse(LeaseRenewalRequest request) {
    return new LeaseRenewalResponse(
        request.getId(), request.getLease(), false, true, 50L, List.of());
  }

  private static LeaseRenewalResponse renewedResponse(LeaseRenewalRequest request) {
    return new LeaseRenewalResponse(
        request.getId(),
        request.getLease(),
        false,
        true,
        50L,
        List.of(new KeyChange("c/g/a-0", "{\"holder\":\"node-0\"}", GRANT.value())));
  }

  @Test
  void evidenceCountsFromTheRequest() {
    LeaseRenewalRequest request = loseStoreAndRequestRenewal();
    MonotonicTime requestedBy = loop.now();
    loop.runFor(0.4);
    renewal.onResponse(PEER, renewedResponse(request));
    renewal.onResponse(PEER, nothingCancelledResponse(cancellationsRequest()));
    assertTrue(session.isValidOwner(SHARD, GRANT));
    loop.runFor(LEASE.toMillis() / 1000.0 - 0.4 - 0.3);
    assertTrue(loop.now().since(requestedBy).compareTo(LEASE) < 0);
    loop.runFor(0.3);
    assertFalse(
        session.isValidOwner(SHARD, GRANT), "the lease starts at the request, not at the response");
  }

  @Test
  void lateResponseIsNoEvidence() {
    LeaseRenewalRequest request = loseStoreAndRequestRenewal();
    loop.runFor(12);
    renewal.onResponse(PEER, renewedResponse(request));
    renewal.onResponse(PEER, nothingCancelledResponse(cancellationsRequest()));
    assertFalse(session.isValidOwner(SHARD, GRANT));
  }

  @Test
  void expiryReportedByPeerEndsTheSession() {
    LeaseRenewalRequest request = loseStoreAndRequestRenewal();
    renewal.onResponse(PEER, renewedResponse(request));
    assertTrue(session.isValidOwner(SHARD, GRANT));
    peerSendsHeartbeat();
    loop.runFor(1.2);
    LeaseRenewalRequest next = (LeaseRenewalRequest) sent.get(sent.size() - 2);
    renewal.onResponse(
        PEER, new LeaseRenewalResponse(next.getId(), next.getLease(), true, true, 0L, List.of()));
    assertFalse(session.isValidOwner(SHARD, GRANT));
    assertEquals(Optional.empty(), session.lease());
  }

  /** Renews the session through the peer, and returns the last request for cancellations. */
  private LeaseRenewalRequest renewThroughPeerFor(int seconds) {
    for (int i = 0; i < seconds; i++) {
      peerSendsHeartbeat();
      loop.runFor(1);
      renewal.onResponse(PEER, renewedResponse((LeaseRenewalRequest) sent.get(sent.size() - 2)));
    }
    return (LeaseRenewalRequest) sent.get(sent.size() - 1);
  }

  @Test
  void renewalWithoutCancellationsLetsTheOwnershipLeaseExpire() {
    loseStoreAndRequestRenewal();
    LeaseRenewalRequest request = renewThroughPeerFor(12);
    assertFalse(
        session.isValidOwner(SHARD, GRANT),
        "expires one lease after cancellations were last known");
    renewal.onResponse(PEER, nothingCancelledResponse(request));
    assertTrue(session.isValidOwner(SHARD, GRANT));
  }

  @Test
  void peerOfAnEarlierBuildGivesNoEvidenceOfCancellations() {
    loseStoreAndRequestRenewal();
    LeaseRenewalRequest request = renewThroughPeerFor(12);
    // Such a peer finds no lease with that id and reports it as expired.
    renewal.onResponse(
        PEER,
        new LeaseRenewalResponse(request.getId(), request.getLease(), true, true, 0L, List.of()));
    assertFalse(session.isValidOwner(SHARD, GRANT));
    assertEquals(
        ControllerSession.State.ACTIVE, session.state(), "the session's own lease is still valid");
  }

  /** A defect that makes the response to the request for cancellations unusable. */
  private enum Defect {
    INCOMPLETE,
    EARLIER_REVISION,
    OTHER_LEASE,
    KEY_OUTSIDE_THE_PREFIX,
    CHANGE_AFTER_THE_REVISION,
    UNREADABLE_VALUE;

    private LeaseRenewalResponse responseTo(LeaseRenewalRequest request) {
      LeaseRenewalResponse response = nothingCancelledResponse(request);
      switch (this) {
        case INCOMPLETE -> response.setComplete(false);
        case EARLIER_REVISION -> response.setRevision(1L);
        case OTHER_LEASE -> response.setLease(9L);
        case KEY_OUTSIDE_THE_PREFIX ->
            response.setChanges(List.of(new KeyChange("c/g/a-0", "{}", 40L)));
        case CHANGE_AFTER_THE_REVISION ->
            response.setChanges(List.of(new KeyChange("a/run-1", "{}", 60L)));
        case UNREADABLE_VALUE -> response.setChanges(List.of(new KeyChange("a/run-1", "[", 40L)));
      }
      return response;
    }
  }

  @ParameterizedTest
  @EnumSource(Defect.class)
  void defectiveResponseIsNoEvidence(Defect defect) {
    // Given a controller whose knowledge of cancelled jobs is out of date
    loseStoreAndRequestRenewal();
    LeaseRenewalRequest request = renewThroughPeerFor(13);
    // When the response is defective
    LeaseRenewalResponse response = defect.responseTo(request);
    renewal.onResponse(PEER, response);
    // Then the controller may not act
    assertFalse(session.isValidOwner(SHARD, GRANT), response.toString());
    // And it may act once a valid response arrives
    renewal.onResponse(PEER, nothingCancelledResponse(renewThroughPeerFor(1)));
    assertTrue(session.isValidOwner(SHARD, GRANT), "a valid response is evidence");
  }

  @Test
  void delayedWatchLetsTheOwnershipLeaseExpireThoughRenewalsAreAnswered() {
    startWithReachableStore();
    loop.runFor(20);
    assertTrue(session.hasValidOwnershipLease());
    watchDelayed = true;
    loop.runFor(LEASE.toMillis() / 1000.0 + 1);
    assertFalse(session.hasValidOwnershipLease());
    watchDelayed = false;
    loop.runFor(5);
    assertTrue(session.hasValidOwnershipLease());
  }
}
